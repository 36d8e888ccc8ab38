/** Fencing tokens. They are taken in ranges of consecutive tokens; records name a range by its first token. */

/** Number of tokens in a range: the owner of a machine can raise its token that often without a write. */
const TOKENS_PER_RANGE = 65_536;

/** The last token of the range that starts with `firstToken`. */
export function lastTokenOfRange(firstToken: number): number {
  return firstToken + TOKENS_PER_RANGE - 1;
}
