import type { Flavor } from '../cloud/client.js';
import { within, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { TeamShare } from '../placement/plan.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { Change, Guard, Outcome, StoreClient, Txn } from '../store/client.js';
import { compare, turnOf } from '../domain/dealing.js';
import type { ReplicaWatcher } from '../store/watcher.js';
import type { Proposal, Source } from '../store/commit-loop.js';
import { asBody, keys, storeJob, type EndRecord, type JobRecord } from '../store/records.js';
import type { State } from '../store/state.js';
import { NoAnswer } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import { doneCount, finalState, newJob, placedCount } from './life.js';
import { neverRuns, parseSubmission, validUid } from './submission.js';

export interface JobApiOptions {
  self: string;
  valueBytes: number;
  txnOps: number;
  /** What a user request may take here; a poll is waited for 2 s, everything else 5 s. */
  pollMs: number;
  requestMs: number;
}

type Known = { job: JobRecord } | { end: EndRecord } | 'absent' | 'unknown';

/** The users' requests. Nothing is told that is not committed, and nothing non-final that is not current. */
export class JobApi {
  constructor(
    private readonly figures: JobApiOptions,
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly watcher: ReplicaWatcher,
    private readonly limiter: RateLimiter,
    private readonly teams: Map<string, TeamShare>,
    private readonly flavors: () => ReadonlyMap<string, Flavor>,
    private readonly memoryIsShort: () => boolean,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  async submit(body: Body): Promise<Reply> {
    const uid = body['uid'];
    if (!validUid(uid)) return { status: 400, body: { error: 'uid: not a job id' } };
    const early = this.final(uid);
    if (early) return early;
    const parsed = parseSubmission(body);
    const flavors = this.flavors();
    const fault =
      'fault' in parsed
        ? { status: 400, why: parsed.fault }
        : JSON.stringify(parsed.spec).length > this.figures.valueBytes * 0.4
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
    const txn: Txn = {
      guards: [
        { key: keys.job(uid), stamp: 0 },
        { key: keys.end(uid), stamp: 0 },
      ],
      apply: [{ put: keys.job(uid), value: storeJob(job) }],
    };
    const outcome = await this.commit(txn);
    if (outcome?.kind === 'done') return { status: 201, body: { uid, phase: 'pending' } };
    if (outcome?.kind === 'conflict') return this.refuse(uid, { status: 503, why: 'try again' });
    return later();
  }

  async poll(uid: string): Promise<Reply> {
    if (!validUid(uid)) return { status: 404, body: { error: 'no such job' } };
    const early = this.final(uid);
    if (early) return early;
    const known = await this.lookUp(uid, this.figures.pollMs);
    if (known === 'unknown') return later();
    return this.tell(uid, known);
  }

  async withdraw(uid: string): Promise<Reply> {
    if (!validUid(uid)) return { status: 404, body: { error: 'no such job' } };
    const until = this.clock.now() + this.figures.requestMs;
    while (this.clock.now() < until) {
      const early = this.final(uid);
      if (early) return early;
      let job = this.state.jobs.get(uid);
      if (!job) {
        const known = await this.lookUp(uid, until - this.clock.now());
        if (known === 'unknown') return later();
        if (known === 'absent' || 'end' in known) return this.tell(uid, known);
        job = known.job;
      }
      const over = finalState(job);
      if (job.cancelled || over === 'done') {
        // Already so by this replica, and it stays so: both are final.
        return { status: 200, body: { uid, phase: job.cancelled ? 'cancelled' : 'done' } };
      }
      const key = keys.job(uid);
      const stamp = this.state.stampOf(key);
      const outcome = await this.commit({
        guards: [{ key, stamp }],
        apply: [{ put: key, value: storeJob({ ...job, cancelled: true }) }],
      });
      if (outcome?.kind === 'done') return { status: 200, body: { uid, phase: 'cancelled' } };
      if (outcome?.kind !== 'conflict') return later();
      if (!(await this.watcher.current(this.figures.pollMs))) return later();
    }
    return later();
  }

  /** Jobs that are over leave the replica; their final state is kept for good under a key of its own. */
  source(): Source {
    return { name: 'finish', propose: () => this.finish() };
  }

  private readonly over = new Set<string>();

  noteJob(uid: string): void {
    const job = this.state.jobs.get(uid);
    if (job && finalState(job) !== null) this.over.add(uid);
    else this.over.delete(uid);
  }

  private finish(): Proposal | null {
    const hosts = [...this.state.live.keys()].sort(compare);
    const guards: Guard[] = [];
    const apply: Change[] = [];
    for (const uid of this.over) {
      const job = this.state.jobs.get(uid);
      const ph = job ? finalState(job) : null;
      if (!job || ph === null) {
        this.over.delete(uid);
        continue;
      }
      // One of the live controllers does it; which one does not matter, as the guards decide.
      if (turnOf(uid, hosts, this.figures.self) !== 0) continue;
      const end: EndRecord = { ph, tasks: job.s.tasks };
      guards.push(
        { key: keys.job(uid), stamp: this.state.stampOf(keys.job(uid)) },
        { key: keys.end(uid), stamp: 0 },
      );
      apply.push({ delete: keys.job(uid) }, { put: keys.end(uid), value: asBody(end) });
      if (apply.length + 2 > this.figures.txnOps) break;
    }
    return apply.length > 0 ? { txn: { guards, apply } } : null;
  }

  private final(uid: string): Reply | null {
    const end = this.state.ends.get(uid);
    return end ? this.tell(uid, { end }) : null;
  }

  /** What is known of a job as of now; `unknown` when the store cannot be asked. */
  private async lookUp(uid: string, timeoutMs: number): Promise<Known> {
    const until = this.clock.now() + timeoutMs;
    if (!(await this.watcher.current(timeoutMs))) return 'unknown';
    const job = this.state.jobs.get(uid);
    if (job) return { job };
    const end = this.state.ends.get(uid);
    if (end) return { end };
    // Not among the live jobs as of a moment after the request came. Final states are never removed, so
    // a job that had ended by then is found now.
    try {
      const got = await within(
        this.clock,
        Math.max(1, until - this.clock.now()),
        this.store.get(keys.end(uid)),
        null,
      );
      if (got === null) return 'unknown';
      if (!got.item) return 'absent';
      const found = got.item.value as unknown as EndRecord;
      this.state.remember(uid, found);
      return { end: found };
    } catch (error) {
      if (error instanceof NoAnswer) return 'unknown';
      throw error;
    }
  }

  private tell(uid: string, known: Exclude<Known, 'unknown'>): Reply {
    if (known === 'absent') return { status: 404, body: { error: 'no such job' } };
    if ('end' in known) {
      const { ph, tasks } = known.end;
      return { status: 200, body: { uid, phase: ph, done: ph === 'done' ? tasks : 0, running: 0 } };
    }
    const { job } = known;
    const running = placedCount(job);
    const phase = job.cancelled
      ? 'cancelled'
      : (finalState(job) ?? (running > 0 ? 'running' : 'pending'));
    return { status: 200, body: { uid, phase, done: doneCount(job), running } };
  }

  private async commit(txn: Txn): Promise<Outcome | null> {
    this.limiter.take(txn.apply.length);
    const work = this.store.commit(txn).then((outcome) => {
      if (outcome.kind === 'refused') this.limiter.refused();
      if (outcome.kind === 'done') this.state.replica.applied(txn.apply, outcome.generation);
      return outcome;
    });
    // An unanswered commit goes on being settled after the user has been told to come back.
    work.catch((error: unknown) => {
      this.log.error({ err: String(error) }, 'commit failed');
    });
    return within(this.clock, this.figures.requestMs, work, null);
  }
}

function later(why = 'the state service cannot be asked'): Reply {
  return { status: 503, body: { error: why }, retryAfterS: 1 };
}
