/** The error for responses that are not valid HTTP. It is shared by `ResponseReader` and `ChunkedBody`. */
import { TackvaneError } from '../errors.js';

/** The received bytes are not a valid HTTP response, or exceed a size limit. */
export class MalformedResponse extends TackvaneError {
  readonly code: string = 'malformed_response';
}
