/** The base of this program's errors. */

/** An error with a stable code, so that logs and callers tell errors apart without reading their text. */
export abstract class TackvaneError extends Error {
  abstract readonly code: string;
}

/** Whatever was thrown, as an error; anything else than an error becomes the cause of one. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error('not an error', { cause: thrown });
}
