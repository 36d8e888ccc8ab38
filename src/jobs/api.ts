/**
 * Handles users' requests. Replies contain only committed state. State that can still change is read only after the
 * replica has been confirmed current.
 */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import { finalPhase, newJob } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/team.js';
import { isJobId, submittedJobId } from '../protocol/users.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import type { ProposalSource } from '../store/commit-loop.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import { encodeJob, keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import type { ReplicaWatcher } from '../store/watcher.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import { Finalizer } from './finalizer.js';
import { JobLookup, type LookupResult } from './job-lookup.js';
import { finalStatus, statusOf } from './job-status.js';
import { RequestCommitter } from './request-committer.js';
import {
  NOT_FOUND,
  STORE_UNREACHABLE,
  rejected,
  replyOf,
  type JobRejection,
  type JobResult,
} from './results.js';
import { validateSubmission } from './submission.js';

/** Timeouts and limits of requests. */
export interface JobApiOptions {
  /** Name of this controller. */
  self: string;
  /** Maximum size of a stored value, in bytes. */
  maxValueBytes: number;
  /** Maximum number of writes in a transaction. */
  maxWrites: number;
  /** Timeout of a poll, in milliseconds; users wait 2 s for the reply. */
  pollTimeoutMs: number;
  /** Timeout of any other request, in milliseconds; users wait 5 s for the reply. */
  requestTimeoutMs: number;
}

/** Dependencies of a `JobApi`. */
export interface JobApiDependencies {
  store: StoreClient;
  state: State;
  watcher: ReplicaWatcher;
  /** Limits the rate of this controller's writes to the store. */
  writeLimiter: RateLimiter;
  teamQuotas: ReadonlyMap<string, TeamQuota>;
  /** Machine types by name; empty until they have been read from the cloud. */
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Whether new jobs must be rejected because little memory is left. */
  memoryIsShort: () => boolean;
  clock: Clock;
  log: Log;
  /** Whether the state derived from the records can be relied on (see `Integrity`). */
  isSound: () => boolean;
}

/** The handlers of submissions, polls and cancellations. */
export class JobApi {
  private readonly committer: RequestCommitter;
  private readonly finalizer: Finalizer;
  private readonly lookup: JobLookup;

  constructor(
    private readonly options: JobApiOptions,
    private readonly dependencies: JobApiDependencies,
  ) {
    this.committer = new RequestCommitter(options.requestTimeoutMs, dependencies);
    this.finalizer = new Finalizer(options, { ...dependencies, committer: this.committer });
    this.lookup = new JobLookup({ ...dependencies, finalizer: this.finalizer });
  }

  /** Accepts a job. If the job id exists already, replies with its status, even to an invalid submission. */
  async submit(body: Body): Promise<Reply> {
    const jobId = submittedJobId(body);
    if (jobId === null)
      return replyOf(rejected({ kind: 'malformed', reason: 'uid: not a job id' }));
    const final = this.cachedFinalReply(jobId);
    if (final) return final;
    const { machineTypes, teamQuotas, clock } = this.dependencies;
    const { maxValueBytes } = this.options;
    const validation = validateSubmission(body, maxValueBytes, machineTypes(), teamQuotas);
    if (validation.kind === 'rejected') return this.rejectUnlessKnown(jobId, validation.rejection);
    return this.accept(jobId, newJob(validation.spec, clock.wallClock()));
  }

  async poll(jobId: string): Promise<Reply> {
    if (!isJobId(jobId)) return replyOf(NOT_FOUND);
    const final = this.cachedFinalReply(jobId);
    if (final) return final;
    const found = await this.lookup.find(jobId, this.options.pollTimeoutMs);
    return replyOf(resultOf(jobId, found));
  }

  async cancel(jobId: string): Promise<Reply> {
    if (!isJobId(jobId)) return replyOf(NOT_FOUND);
    const { state, clock, watcher } = this.dependencies;
    const deadline = clock.now() + this.options.requestTimeoutMs;
    while (clock.now() < deadline) {
      const final = this.cachedFinalReply(jobId);
      if (final) return final;
      if (!state.jobs.has(jobId)) {
        const found = await this.lookup.find(jobId, deadline - clock.now());
        if (found.kind !== 'live') return replyOf(resultOf(jobId, found));
      }
      // Read the job only after the last wait: it may have changed during the wait.
      const job = state.jobs.get(jobId);
      if (!job) continue;
      if (job.cancelled) return replyOf({ kind: 'cancelled', jobId });
      const outcome = await this.cancelOrFinalize(jobId, job);
      const result = cancellationResult(jobId, job, outcome);
      if (result) return replyOf(result);
      const isBehind = outcome?.kind === 'conflict';
      if (isBehind && !(await watcher.confirmCurrent(this.options.pollTimeoutMs)))
        return replyOf(STORE_UNREACHABLE);
    }
    return replyOf(STORE_UNREACHABLE);
  }

  /** Proposes the final states of jobs that have ended. */
  source(): ProposalSource {
    return this.finalizer.source();
  }

  /** Called when a job has changed. */
  jobChanged(jobId: string): void {
    this.finalizer.jobChanged(jobId);
  }

  private async accept(jobId: string, job: JobRecord): Promise<Reply> {
    if (this.dependencies.state.jobs.has(jobId))
      return this.rejectUnlessKnown(jobId, { kind: 'undecidable', reason: 'try again' });
    // Accepted jobs are read again after a restart, so a process killed for lack of memory would be killed again.
    if (this.dependencies.memoryIsShort())
      return this.rejectUnlessKnown(jobId, { kind: 'undecidable', reason: 'memory is short' });
    const outcome = await this.committer.commit({
      conditions: [
        { key: keys.job(jobId), modRevision: 0 },
        { key: keys.finalState(jobId), modRevision: 0 },
      ],
      writes: [{ put: keys.job(jobId), value: encodeJob(job) }],
    });
    if (outcome?.kind === 'done') return replyOf({ kind: 'accepted', jobId });
    if (outcome?.kind === 'conflict')
      return this.rejectUnlessKnown(jobId, { kind: 'undecidable', reason: 'try again' });
    return replyOf(STORE_UNREACHABLE);
  }

  private async rejectUnlessKnown(jobId: string, rejection: JobRejection): Promise<Reply> {
    const found = await this.lookup.find(jobId, this.options.requestTimeoutMs);
    return replyOf(found.kind === 'absent' ? rejected(rejection) : resultOf(jobId, found));
  }

  /** Commits the cancellation, or the final state if all tasks are done: such a job can no longer be cancelled. */
  private cancelOrFinalize(jobId: string, job: JobRecord): Promise<CommitOutcome | null> {
    if (finalPhase(job) === 'done') return this.finalizer.finalize(jobId);
    const key = keys.job(jobId);
    return this.committer.commit({
      conditions: [this.dependencies.state.unchangedCondition(key)],
      writes: [{ put: key, value: encodeJob({ ...job, cancelled: true }) }],
    });
  }

  /** The reply for a job whose final state is cached, or null. A final state never changes, so no read is needed. */
  private cachedFinalReply(jobId: string): Reply | null {
    const finalState = this.lookup.cachedFinalState(jobId);
    return finalState ? replyOf({ kind: 'status', status: finalStatus(jobId, finalState) }) : null;
  }
}

/** The result of a cancellation from its commit's outcome; null if the job must be looked up again. */
function cancellationResult(
  jobId: string,
  job: JobRecord,
  outcome: CommitOutcome | null,
): JobResult | null {
  if (outcome?.kind === 'conflict') return null;
  if (outcome?.kind !== 'done') return STORE_UNREACHABLE;
  return finalPhase(job) === 'done' ? null : { kind: 'cancelled', jobId };
}

function resultOf(jobId: string, found: LookupResult): JobResult {
  switch (found.kind) {
    case 'unknown':
      return STORE_UNREACHABLE;
    case 'absent':
      return NOT_FOUND;
    default:
      return { kind: 'status', status: statusOf(jobId, found) };
  }
}
