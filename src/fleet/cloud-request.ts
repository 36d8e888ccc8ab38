/** Requests to the cloud that may fail without a usable answer. */
import type { Log } from '../log.js';
import { NoAnswer } from '../wire/client.js';

/** Kinds of requests to the cloud, as named in the log. */
export type CloudOperation = 'read machine types' | 'list machines' | 'rent' | 'delete machines';

/**
 * Makes a request. A request without a usable answer is logged and not retried here; the caller repeats it on its next
 * run.
 */
export async function attemptCloudRequest(
  log: Log,
  operation: CloudOperation,
  request: () => Promise<void>,
): Promise<void> {
  try {
    await request();
  } catch (error) {
    if (!(error instanceof NoAnswer)) throw error;
    log.info({ operation, err: error }, 'cloud request unanswered');
  }
}
