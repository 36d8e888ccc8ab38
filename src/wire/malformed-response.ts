import { TackvaneError } from '../errors.js';

/** What came is no HTTP response, or more than is taken. */
export class MalformedResponse extends TackvaneError {
  readonly code: string = 'malformed_response';
}
