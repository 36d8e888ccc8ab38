/** Requests to the cloud that may go unanswered. */
import type { Log } from '../log.js';
import { NoAnswer } from '../wire/client.js';

/** What the cloud is asked for, as the log names it. */
export type CloudOperation = 'read machine types' | 'list machines' | 'rent' | 'delete machines';

/** Makes a request. One that goes unanswered is logged; the caller makes it again when it next looks. */
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
