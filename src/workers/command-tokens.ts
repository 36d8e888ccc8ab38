/** The fencing tokens of the messages that a controller sends to one worker. */
import { lastTokenOfRange } from '../model/fencing-token.js';

/** A new range is taken when fewer tokens than this are left: enough for several worker leases. */
const MIN_TOKENS_LEFT = 1024;

/**
 * Rises within the range under which the machine is owned. A worker refuses requests below the highest token that it has
 * seen, so a message under a higher token than that of a start keeps late copies of the start from being executed.
 */
export class CommandTokens {
  /** Token of the next message. */
  private token: number;
  /** No start was sent under a higher token of this range. */
  private lastStartToken: number;
  private readonly lastToken: number;

  constructor(firstToken: number) {
    this.token = firstToken;
    // An earlier session of the machine may have sent starts under the same range.
    this.lastStartToken = firstToken;
    this.lastToken = lastTokenOfRange(firstToken);
  }

  get current(): number {
    return this.token;
  }

  /** Whether the range is nearly used up. */
  get needsNewRange(): boolean {
    return this.lastToken - this.token < MIN_TOKENS_LEFT;
  }

  /** Records that a start is about to be sent under the current token. */
  noteStart(): void {
    this.lastStartToken = this.token;
  }

  /** Records a token of this range that the worker has seen. An earlier session may have used a higher one. */
  noteReported(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.lastStartToken = token;
  }

  /** Whether the worker refuses copies of all starts sent so far once it has executed a message under the current token. */
  get fencesStarts(): boolean {
    return this.token > this.lastStartToken;
  }

  /** Raises the token so that it fences all starts sent so far; returns false if the range is used up. */
  fenceStarts(): boolean {
    if (!this.fencesStarts && this.token < this.lastToken) this.token++;
    return this.fencesStarts;
  }
}
