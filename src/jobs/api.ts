import { compareNames, turnOf } from '../util/order.js';
import {
  allocatedCount,
  doneCount,
  finalPhase,
  finalStateOf,
  newJob,
} from '../model/job-lifecycle.js';
import type { FinalState, JobRecord } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/team.js';
import { decodeFinalState, encodeFinalState, encodeJob, keys } from '../store/records/index.js';
import { malformed } from '../store/records/schemas.js';
import { within, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { Write, Condition, Outcome, StoreClient, Transaction } from '../store/client.js';
import type { ReplicaWatcher } from '../store/watcher.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import { NoAnswer } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import { encodeJobSpec } from '../protocol/job-spec.js';
import { decodeSubmission, encodeJobPhase, encodeJobStatus, isJobId } from '../protocol/users.js';
import { neverRuns } from './submission.js';

export interface JobApiOptions {
  self: string;
  valueBytes: number;
  txnOps: number;
  /** What a user request may take here; a poll is waited for 2 s, everything else 5 s. */
  pollMs: number;
  requestMs: number;
}

type Known = { job: JobRecord } | { finalState: FinalState } | 'absent' | 'unknown';

/** The users' requests. Nothing is told that is not committed, and nothing non-final that is not current. */
export class JobApi {
  constructor(
    private readonly figures: JobApiOptions,
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly watcher: ReplicaWatcher,
    private readonly limiter: RateLimiter,
    private readonly teams: Map<string, TeamQuota>,
    private readonly machineTypes: () => ReadonlyMap<string, MachineType>,
    private readonly memoryIsShort: () => boolean,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Whether what is derived from the records can be built on. */
    private readonly isSound: () => boolean,
  ) {}

  async submit(body: Body): Promise<Reply> {
    const uid = body['uid'];
    if (!isJobId(uid)) return { status: 400, body: { error: 'uid: not a job id' } };
    const early = this.final(uid);
    if (early) return early;
    const parsed = decodeSubmission(body);
    const flavors = this.machineTypes();
    const fault =
      'fault' in parsed
        ? { status: 400, why: parsed.fault }
        : JSON.stringify(encodeJobSpec(parsed.spec)).length > this.figures.valueBytes * 0.4
          ? { status: 400, why: 'fields too long' }
          : null;
    if (!fault && 'spec' in parsed && flavors.size > 0) {
      const why = neverRuns(parsed.spec, flavors, this.teams);
      if (why === null) return this.accept(uid, newJob(parsed.spec, this.clock.wall()));
      return this.refuse(uid, { status: 422, why });
    }
    // Without the machine types a new job cannot be judged, but a known one can be answered.
    return this.refuse(uid, fault ?? { status: 503, why: 'machine types not known yet' });
  }

  /** A job that is known already gets its state, whatever is wrong with the repeat. */
  private async refuse(uid: string, fault: { status: number; why: string }): Promise<Reply> {
    const known = await this.lookUp(uid, this.figures.requestMs);
    if (known === 'unknown') return later();
    if (known !== 'absent') return this.tell(uid, known);
    if (fault.status === 503) return later(fault.why);
    return { status: fault.status, body: { error: fault.why } };
  }

  private async accept(uid: string, job: JobRecord): Promise<Reply> {
    if (this.state.jobs.has(uid)) return this.refuse(uid, { status: 503, why: 'try again' });
    // A process killed for memory would come back to the same jobs and be killed again.
    if (this.memoryIsShort()) return this.refuse(uid, { status: 503, why: 'memory is short' });
    const txn: Transaction = {
      conditions: [
        { key: keys.job(uid), modRevision: 0 },
        { key: keys.finalState(uid), modRevision: 0 },
      ],
      writes: [{ put: keys.job(uid), value: encodeJob(job) }],
    };
    const outcome = await this.commit(txn);
    if (outcome?.kind === 'done') return { status: 201, body: encodeJobPhase(uid, 'pending') };
    if (outcome?.kind === 'conflict') return this.refuse(uid, { status: 503, why: 'try again' });
    return later();
  }

  async poll(uid: string): Promise<Reply> {
    if (!isJobId(uid)) return { status: 404, body: { error: 'no such job' } };
    const early = this.final(uid);
    if (early) return early;
    const known = await this.lookUp(uid, this.figures.pollMs);
    if (known === 'unknown') return later();
    return this.tell(uid, known);
  }

  async cancelJob(uid: string): Promise<Reply> {
    if (!isJobId(uid)) return { status: 404, body: { error: 'no such job' } };
    const until = this.clock.now() + this.figures.requestMs;
    while (this.clock.now() < until) {
      const early = this.final(uid);
      if (early) return early;
      if (!this.state.jobs.has(uid)) {
        const known = await this.lookUp(uid, until - this.clock.now());
        if (known === 'unknown') return later();
        if (known === 'absent' || 'finalState' in known) return this.tell(uid, known);
      }
      // Read only now: what was found before the last wait may have changed since.
      const job = this.state.jobs.get(uid);
      if (!job) continue;
      if (job.cancelled) return cancelled(uid);
      const isDone = finalPhase(job) === 'done';
      const outcome = await (isDone ? this.conclude(uid) : this.cancel(uid, job));
      if (outcome?.kind === 'done' && !isDone) return cancelled(uid);
      if (outcome?.kind === 'done') continue;
      if (outcome?.kind !== 'conflict') return later();
      if (!(await this.watcher.confirmCurrent(this.figures.pollMs))) return later();
    }
    return later();
  }

  private cancel(uid: string, job: JobRecord): Promise<Outcome | null> {
    const key = keys.job(uid);
    return this.commit({
      conditions: [this.state.unchanged(key)],
      writes: [{ put: key, value: encodeJob({ ...job, cancelled: true }) }],
    });
  }

  /**
   * Commits the final state of a job that is over. An end that took only a part of a domain's records has
   * not changed the job, so a cancellation may still come first: the job's record decides between them.
   */
  private conclude(uid: string): Promise<Outcome | null> {
    const under = this.concluding.get(uid);
    if (under) return under;
    const ending = this.ending(uid);
    if (!ending) return Promise.resolve(null);
    const work = this.commit(ending).finally(() => this.concluding.delete(uid));
    this.concluding.set(uid, work);
    return work;
  }

  /** The transaction that replaces the record of a job that is over by its final state. */
  private ending(uid: string): Transaction | null {
    const job = this.state.jobs.get(uid);
    const end = job ? finalStateOf(job) : null;
    if (!end || !this.isSound()) return null;
    return {
      conditions: [
        this.state.unchanged(keys.job(uid)),
        { key: keys.finalState(uid), modRevision: 0 },
      ],
      writes: [
        { delete: keys.job(uid) },
        { put: keys.finalState(uid), value: encodeFinalState(end) },
      ],
    };
  }

  /** Jobs that are over leave the replica; their final state is kept for good under a key of its own. */
  source(): ProposalSource {
    return { name: 'finish', propose: () => this.finish() };
  }

  private readonly over = new Set<string>();
  /** Jobs whose final state is being committed because somebody asked. */
  private readonly concluding = new Map<string, Promise<Outcome | null>>();

  noteJob(uid: string): void {
    const job = this.state.jobs.get(uid);
    if (job && finalPhase(job) !== null) this.over.add(uid);
    else this.over.delete(uid);
  }

  private finish(): Proposal | null {
    const hosts = [...this.state.liveness.keys()].sort(compareNames);
    const guards: Condition[] = [];
    const apply: Write[] = [];
    for (const uid of this.over) {
      const ending = this.ending(uid);
      if (!ending && this.isSound()) this.over.delete(uid);
      // One of the live controllers does it; which one does not matter, as the guards decide.
      if (!ending || this.concluding.has(uid) || turnOf(uid, hosts, this.figures.self) !== 0)
        continue;
      guards.push(...ending.conditions);
      apply.push(...ending.writes);
      if (apply.length + 2 > this.figures.txnOps) break;
    }
    return apply.length > 0 ? { transaction: { conditions: guards, writes: apply } } : null;
  }

  private final(uid: string): Reply | null {
    const end = this.state.finalStates.get(uid);
    return end ? this.tell(uid, { finalState: end }) : null;
  }

  /**
   * What is known of a job as of now; `unknown` when the store cannot be asked. A job that is done is told
   * to be so only when that is recorded in its place, so it is recorded now.
   */
  private async lookUp(uid: string, timeoutMs: number): Promise<Known> {
    const until = this.clock.now() + timeoutMs;
    for (;;) {
      const leftMs = until - this.clock.now();
      if (leftMs <= 0 || !(await this.watcher.confirmCurrent(leftMs)) || !this.isSound())
        return 'unknown';
      const job = this.state.jobs.get(uid);
      if (!job) return this.lookUpEnd(uid, until);
      if (job.cancelled || finalPhase(job) === null) return { job };
      const rest = Math.max(1, until - this.clock.now());
      const outcome = await within(this.clock, rest, this.conclude(uid), null);
      if (outcome?.kind !== 'done' && outcome?.kind !== 'conflict') return 'unknown';
    }
  }

  /**
   * The final state of a job that was not among the live ones at a moment after the request came. Final
   * states are never removed, so that of a job that had ended by then is found now.
   */
  private async lookUpEnd(uid: string, until: number): Promise<Known> {
    const end = this.state.finalStates.get(uid);
    if (end) return { finalState: end };
    try {
      const got = await within(
        this.clock,
        Math.max(1, until - this.clock.now()),
        this.store.get(keys.finalState(uid)),
        null,
      );
      if (got === null) return 'unknown';
      if (!got.item) return 'absent';
      const fault = malformed(keys.finalState(uid), 'end', got.item.value);
      if (fault) {
        this.log.error(
          { ...fault, modRevision: got.item.modRevision },
          'stored record is malformed',
        );
        return 'unknown';
      }
      const found = decodeFinalState(got.item.value);
      this.state.finalStates.remember(uid, found);
      return { finalState: found };
    } catch (error) {
      if (error instanceof NoAnswer) return 'unknown';
      throw error;
    }
  }

  private tell(uid: string, known: Exclude<Known, 'unknown'>): Reply {
    if (known === 'absent') return { status: 404, body: { error: 'no such job' } };
    if ('finalState' in known) {
      const { phase, tasks } = known.finalState;
      const doneTasks = phase === 'done' ? tasks : 0;
      return {
        status: 200,
        body: encodeJobStatus({ jobId: uid, phase, doneTasks, runningTasks: 0 }),
      };
    }
    const { job } = known;
    const running = allocatedCount(job);
    const phase = job.cancelled ? 'cancelled' : running > 0 ? 'running' : 'pending';
    return {
      status: 200,
      body: encodeJobStatus({
        jobId: uid,
        phase,
        doneTasks: doneCount(job),
        runningTasks: running,
      }),
    };
  }

  private async commit(txn: Transaction): Promise<Outcome | null> {
    this.limiter.take(txn.writes.length);
    const work = this.store.commit(txn).then((outcome) => {
      if (outcome.kind === 'refused') this.limiter.refused();
      if (outcome.kind === 'done') this.state.replica.applied(txn.writes, outcome.revision);
      return outcome;
    });
    // An unanswered commit goes on being settled after the user has been told to come back.
    work.catch((error: unknown) => {
      this.log.error({ err: String(error) }, 'commit failed');
    });
    return within(this.clock, this.figures.requestMs, work, null);
  }
}

function cancelled(uid: string): Reply {
  return { status: 200, body: encodeJobPhase(uid, 'cancelled') };
}

function later(why = 'the state service cannot be asked'): Reply {
  return { status: 503, body: { error: why }, retryAfterS: 1 };
}
