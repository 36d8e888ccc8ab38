/** The counter in the state service from which all ranges of fencing tokens are taken. */
import { lastTokenOfRange } from '../model/fencing-token.js';
import type { Condition, Write } from './client.js';
import { encodeFencingToken, keys } from './records/index.js';
import type { State } from './state.js';

/** A range of tokens that no other transaction can take, and what a transaction needs to take it. */
export interface FencingTokenRange {
  /** First token of the range, higher than all tokens taken before. */
  fencingToken: number;
  condition: Condition;
  write: Write;
}

/** The range that the next transaction may take. */
export function nextFencingTokenRange(state: State): FencingTokenRange {
  const fencingToken = state.fencingToken + 1;
  return {
    fencingToken,
    condition: state.unchangedCondition(keys.fencingToken),
    write: { put: keys.fencingToken, value: encodeFencingToken(lastTokenOfRange(fencingToken)) },
  };
}
