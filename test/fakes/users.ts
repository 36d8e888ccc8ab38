/** Stand-ins of users: they submit, poll, cancel and repeat, and tell the checker what they were answered. */
import type { JobSpec } from '../../src/model/job.js';
import { decodeJobSpec, encodeJobSpec, type WireJobSpec } from '../../src/protocol/job-spec.js';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { Checker } from './checker.js';
import type { SeededRandom, Timeline } from './time.js';

/** A small job, as its user submits it. */
export const WIRE_JOB: WireJobSpec = {
  jobclass: 'k',
  owner: 'red',
  shape: 'array',
  rank: 'standard',
  tasks: 1,
  cpus: 2,
  cards: 0,
  memory_gb: 4,
  image: 'img-0',
  image_gb: 1,
  flavors: null,
  site: null,
  one_zone: false,
  spread: false,
  reclaimable: false,
  expect_s: 5,
  snapshot_s: 0,
  flush_s: 0,
  due_s: null,
};

export const JOB: JobSpec = decodeJobSpec(WIRE_JOB);

export interface UserWorld {
  time: Timeline;
  chance: SeededRandom;
  checker: Checker;
  /** Controllers that the load balancer passes users on to. */
  hosts(): readonly string[];
  call(host: string, call: Call): Promise<Answer>;
  /** Time between two questions about a job. */
  pollMs: number;
  /** Time after which a user asks again about a job that is over, and submits it once more. */
  repeatMs: number;
}

/** What a user was answered; status 0: nothing. */
export interface UserAnswer {
  status: number;
  phase: string | null;
}

export class Users {
  readonly specs = new Map<string, JobSpec>();
  /** Job -> the final state that its user was told. */
  readonly finals = new Map<string, string>();
  private nextJob = 0;

  constructor(private readonly world: UserWorld) {}

  /** A user that submits a job, polls it until it is over, and may withdraw it. */
  user(overrides: Partial<JobSpec>, withdrawAfterMs: number | null = null, suffix = ''): string {
    const uid = `j-${String(this.nextJob++).padStart(6, '0')}${suffix}`;
    const spec = { ...JOB, ...overrides };
    const { checker, time } = this.world;
    this.specs.set(uid, spec);
    checker.submitted(uid, spec, time.now);
    void this.submit(uid, spec, withdrawAfterMs);
    return uid;
  }

  private async submit(uid: string, spec: JobSpec, withdrawAfterMs: number | null): Promise<void> {
    const { time } = this.world;
    const until = time.now + 60_000;
    for (;;) {
      const { status } = await this.post(uid, '/v2/runs', { uid, ...encodeJobSpec(spec) });
      if (status === 200 || status === 201) break;
      if (time.now > until || status === 400 || status === 422) return;
      await this.pause(1000);
    }
    if (withdrawAfterMs !== null)
      time.after(withdrawAfterMs, () => {
        void this.withdraw(uid);
      });
    for (;;) {
      await this.pause(this.world.pollMs);
      const { phase } = await this.poll(uid);
      if (phase === 'done' || phase === 'cancelled') {
        this.finals.set(uid, phase);
        // Final states may be asked for again at any time, and a submission may be repeated.
        await this.pause(this.world.repeatMs);
        await this.poll(uid);
        await this.post(uid, '/v2/runs', { uid, ...encodeJobSpec(spec) });
        return;
      }
    }
  }

  /** `via`: the only controller that the user asks; any of them otherwise. */
  async withdraw(uid: string, via?: string): Promise<void> {
    this.world.checker.withdrawAsked(uid);
    for (;;) {
      const { status } = await this.post(uid, `/v2/runs/${uid}/withdraw`, {}, via);
      if (status === 200 || status === 404) return;
      await this.pause(1000);
    }
  }

  /** A submission that was carried out comes again, perhaps with other fields. */
  async repeat(uid: string, changed: Body = {}): Promise<number> {
    const spec = this.specs.get(uid);
    const body = { uid, ...(spec && encodeJobSpec(spec)), ...changed };
    return (await this.post(uid, '/v2/runs', body)).status;
  }

  /** A submission that no controller may accept; what it was answered at last. */
  async wrong(body: Body): Promise<number> {
    const uid = `j-9${String(this.nextJob++).padStart(5, '0')}`;
    this.world.checker.submittedWrong(uid);
    for (;;) {
      const { status } = await this.post(uid, '/v2/runs', { uid, ...body });
      if (status !== 503 && status !== 0) return status;
      await this.pause(1000);
    }
  }

  poll(uid: string, via?: string): Promise<UserAnswer> {
    return this.ask(uid, { method: 'GET', path: `/v2/runs/${uid}`, timeoutMs: 2000 }, via);
  }

  async ask(uid: string, call: Call, via?: string): Promise<UserAnswer> {
    const { hosts, chance, checker, time } = this.world;
    const up = hosts();
    const host = via ?? up[chance.int(0, up.length - 1)] ?? '';
    const askedAt = time.now;
    try {
      const answer = await this.world.call(host, call);
      const phase = typeof answer.body['phase'] === 'string' ? answer.body['phase'] : null;
      checker.answered(uid, answer.status, phase, time.now, askedAt);
      return { status: answer.status, phase };
    } catch {
      return { status: 0, phase: null };
    }
  }

  private post(uid: string, path: string, body: Body, via?: string): Promise<UserAnswer> {
    return this.ask(uid, { method: 'POST', path, body, timeoutMs: 5000 }, via);
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => this.world.time.after(ms, resolve));
  }
}
