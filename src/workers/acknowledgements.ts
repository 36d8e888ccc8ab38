/** Decides which acknowledgements a message to a worker may carry. */
import type { WorkerCommand } from '../model/worker.js';
import type { WorkerSession } from './worker-session.js';

/** Whether a command lets the worker forget a task. */
export function isAcknowledgement({ kind }: WorkerCommand): boolean {
  return kind === 'acknowledge';
}

/**
 * The commands for a message under the session's current token, which is raised if needed. A worker that has forgotten a
 * task would execute a late copy of its start, so the message that lets it forget must also make it refuse the copy.
 * Acknowledgements that cannot be fenced now are left out; the worker reports their tasks again.
 */
export function withFencedAcknowledgements(
  session: Pick<WorkerSession, 'tokens' | 'requestInFlight'>,
  commands: readonly WorkerCommand[],
): readonly WorkerCommand[] {
  if (!commands.some(isAcknowledgement)) return commands;
  const { tokens, requestInFlight } = session;
  // The worker would refuse the request in flight if it saw a higher token first.
  const isFenced = tokens.fencesStarts || (!requestInFlight && tokens.fenceStarts());
  return isFenced ? commands : commands.filter((command) => !isAcknowledgement(command));
}
