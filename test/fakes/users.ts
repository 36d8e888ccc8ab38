/** Fakes of users: they submit, poll, cancel and repeat, and tell the checker what they were answered. */
import type { JobSpec } from '../../src/model/job.js';
import { decodeJobSpec, encodeJobSpec, type WireJobSpec } from '../../src/protocol/job-spec.js';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { Checker, UserAnswer } from './checker.js';
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

/** How long a user tries to submit, and how long after a failure it tries again. */
const SUBMIT_FOR_MS = 60_000;
const RETRY_MS = 1000;

export interface UsersOptions {
  time: Timeline;
  random: SeededRandom;
  checker: Checker;
  /** Controllers that the load balancer passes users on to. */
  hosts(): readonly string[];
  call(host: string, call: Call): Promise<Answer>;
  /** Time between two polls of a job. */
  pollMs: number;
  /** Time after which a user asks again about a job that is over, and submits it once more. */
  repeatMs: number;
}

export class Users {
  readonly specs = new Map<string, JobSpec>();
  /** Job -> the final state that its user was told. */
  readonly finals = new Map<string, string>();
  private nextJob = 0;

  constructor(private readonly options: UsersOptions) {}

  /** A user that submits a job, polls it until it is over, and may cancel it. */
  submit(overrides: Partial<JobSpec>, cancelAfterMs: number | null = null, suffix = ''): string {
    const jobId = `j-${String(this.nextJob++).padStart(6, '0')}${suffix}`;
    const spec = { ...JOB, ...overrides };
    const { checker, time } = this.options;
    this.specs.set(jobId, spec);
    checker.jobSubmitted(jobId, spec, time.now);
    void this.runJob(jobId, spec, cancelAfterMs);
    return jobId;
  }

  private async runJob(jobId: string, spec: JobSpec, cancelAfterMs: number | null): Promise<void> {
    const { time } = this.options;
    const deadline = time.now + SUBMIT_FOR_MS;
    for (;;) {
      const { status } = await this.post(jobId, '/v2/runs', { uid: jobId, ...encodeJobSpec(spec) });
      if (status === 200 || status === 201) break;
      if (time.now > deadline || status === 400 || status === 422) return;
      await this.sleep(RETRY_MS);
    }
    if (cancelAfterMs !== null)
      time.after(cancelAfterMs, () => {
        void this.cancel(jobId);
      });
    for (;;) {
      await this.sleep(this.options.pollMs);
      const { phase } = await this.poll(jobId);
      if (phase === 'done' || phase === 'cancelled') {
        this.finals.set(jobId, phase);
        // Final states may be asked for again at any time, and a submission may be repeated.
        await this.sleep(this.options.repeatMs);
        await this.poll(jobId);
        await this.post(jobId, '/v2/runs', { uid: jobId, ...encodeJobSpec(spec) });
        return;
      }
    }
  }

  /** Cancels a job. `via`: the only controller that the user asks; any of them otherwise. */
  async cancel(jobId: string, via?: string): Promise<void> {
    this.options.checker.cancelRequested(jobId);
    for (;;) {
      const { status } = await this.post(jobId, `/v2/runs/${jobId}/withdraw`, {}, via);
      if (status === 200 || status === 404) return;
      await this.sleep(RETRY_MS);
    }
  }

  /** A submission that was carried out comes again, perhaps with other fields. */
  async resubmit(jobId: string, changed: Body = {}): Promise<number> {
    const spec = this.specs.get(jobId);
    const body = { uid: jobId, ...(spec && encodeJobSpec(spec)), ...changed };
    return (await this.post(jobId, '/v2/runs', body)).status;
  }

  /** A submission that no controller may accept; what it was answered at last. */
  async submitInvalid(body: Body): Promise<number> {
    const jobId = `j-9${String(this.nextJob++).padStart(5, '0')}`;
    this.options.checker.invalidJobSubmitted(jobId);
    for (;;) {
      const { status } = await this.post(jobId, '/v2/runs', { uid: jobId, ...body });
      if (status !== 503 && status !== 0) return status;
      await this.sleep(RETRY_MS);
    }
  }

  poll(jobId: string, via?: string): Promise<UserAnswer> {
    return this.request(jobId, { method: 'GET', path: `/v2/runs/${jobId}`, timeoutMs: 2000 }, via);
  }

  async request(jobId: string, call: Call, via?: string): Promise<UserAnswer> {
    const { random, checker, time } = this.options;
    const up = this.options.hosts();
    const host = via ?? up[random.int(0, up.length - 1)] ?? '';
    const askedAt = time.now;
    try {
      const answer = await this.options.call(host, call);
      const phase = typeof answer.body['phase'] === 'string' ? answer.body['phase'] : null;
      const seen = { status: answer.status, phase };
      checker.userAnswered(jobId, seen, time.now, askedAt);
      return seen;
    } catch {
      return { status: 0, phase: null };
    }
  }

  private post(jobId: string, path: string, body: Body, via?: string): Promise<UserAnswer> {
    return this.request(jobId, { method: 'POST', path, body, timeoutMs: 5000 }, via);
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.options.time.after(ms, resolve));
  }
}
