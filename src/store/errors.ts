/** What goes wrong between this process and the state service, beside requests that get no answer at all. */
import { NoAnswer } from '../wire/client.js';

/** Requests to the state service. */
export type StoreOperation = 'get' | 'list' | 'changes' | 'new lease' | 'extend lease';

/** The state service answered with a status or a body that its protocol does not have for this request. */
export class UnexpectedStoreAnswer extends NoAnswer {
  override readonly code = 'unexpected_store_answer';

  constructor(
    readonly operation: StoreOperation,
    /** The key, prefix or lease that the request was about; null if it was about none. */
    readonly subject: string | null,
    readonly status: number,
  ) {
    const request = subject === null ? operation : `${operation} ${subject}`;
    super(`state service: ${request}: unexpected answer, status ${String(status)}`);
  }
}

/** A full reading cannot be completed: the state service no longer has all changes made since it began. */
export class ReadingOvertaken extends NoAnswer {
  override readonly code = 'reading_overtaken';

  constructor(
    /** Revision of the first part that was read. */
    readonly fromRevision: number,
  ) {
    super(`state service: changes since revision ${String(fromRevision)} are not available`);
  }
}
