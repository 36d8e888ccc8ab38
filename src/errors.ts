/** The base class of this program's errors. */

/** An error with a stable code, by which logs and callers distinguish errors without parsing the message. */
export abstract class TackvaneError extends Error {
  abstract readonly code: string;
}

/** Returns a thrown value as an `Error`; a value that is not an `Error` becomes the cause of a new one. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error
    ? thrown
    : new Error('thrown value is not an Error', { cause: thrown });
}
