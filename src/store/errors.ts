/** Errors of requests to the state service, apart from requests that get no answer at all. */
import { NoAnswer } from '../wire/client.js';

/** Kinds of requests to the state service. */
export type StoreOperation = 'get' | 'list' | 'changes' | 'new lease' | 'extend lease';

/** The state service answered with a status or a body that its protocol does not define for this request. */
export class UnexpectedStoreAnswer extends NoAnswer {
  override readonly code = 'unexpected_store_answer';

  constructor(
    readonly operation: StoreOperation,
    /** The key, prefix or lease that the request refers to; null if it refers to none. */
    readonly subject: string | null,
    readonly status: number,
  ) {
    const request = subject === null ? operation : `${operation} ${subject}`;
    super(`state service: ${request}: unexpected answer, status ${String(status)}`);
  }
}

/**
 * A full read cannot be completed: the state service no longer has all changes made since it began. The class name and
 * the code are older terms: both appear in logs, and log consumers may match them.
 */
export class ReadingOvertaken extends NoAnswer {
  override readonly code = 'reading_overtaken';

  constructor(
    /** Lowest revision among the parts that were read. */
    readonly fromRevision: number,
  ) {
    super(`state service: changes since revision ${String(fromRevision)} are not available`);
  }
}
