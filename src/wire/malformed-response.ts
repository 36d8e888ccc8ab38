/** The error for responses that are not HTTP; both readers of responses use it. */
import { TackvaneError } from '../errors.js';

/** What came is no HTTP response, or more than is taken. */
export class MalformedResponse extends TackvaneError {
  readonly code: string = 'malformed_response';
}
