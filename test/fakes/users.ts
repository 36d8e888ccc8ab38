/** Fake users: they submit, poll, cancel and resubmit jobs, and report the answers to the checker. */
import type { JobSpec } from '../../src/model/job.js';
import { decodeJobSpec, encodeJobSpec, type WireJobSpec } from '../../src/protocol/job-spec.js';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { Checker, UserAnswer } from './checker.js';
import type { SeededRandom, Timeline } from './time.js';

/** A small job in the form in which users submit it. */
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

/** How long a user retries a submission. */
const SUBMIT_TIMEOUT_MS = 60_000;
/** Delay before a failed request is retried. */
const RETRY_DELAY_MS = 1000;

export interface UsersOptions {
  time: Timeline;
  random: SeededRandom;
  checker: Checker;
  /** Controllers to which the load balancer sends users' requests. */
  hosts(): readonly string[];
  call(host: string, call: Call): Promise<Answer>;
  /** Time between two polls of a job. */
  pollMs: number;
  /** Time after which a user polls and submits a finished job once more. */
  repeatMs: number;
}

export class Users {
  readonly specs = new Map<string, JobSpec>();
  /** Job -> the final phase that was reported to its user. */
  readonly finalPhases = new Map<string, string>();
  private nextJob = 0;

  constructor(private readonly options: UsersOptions) {}

  /** Starts a user that submits a job, polls it until it is finished, and cancels it if `cancelAfterMs` is given. */
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
    const deadline = time.now + SUBMIT_TIMEOUT_MS;
    for (;;) {
      const { status } = await this.post(jobId, '/v2/runs', { uid: jobId, ...encodeJobSpec(spec) });
      if (status === 200 || status === 201) break;
      if (time.now > deadline || status === 400 || status === 422) return;
      await this.sleep(RETRY_DELAY_MS);
    }
    if (cancelAfterMs !== null)
      time.after(cancelAfterMs, () => {
        void this.cancel(jobId);
      });
    for (;;) {
      await this.sleep(this.options.pollMs);
      const { phase } = await this.poll(jobId);
      if (phase === 'done' || phase === 'cancelled') {
        this.finalPhases.set(jobId, phase);
        // A final state may be polled again at any time, and a submission may be repeated.
        await this.sleep(this.options.repeatMs);
        await this.poll(jobId);
        await this.post(jobId, '/v2/runs', { uid: jobId, ...encodeJobSpec(spec) });
        return;
      }
    }
  }

  /** Cancels a job. If `via` is given, all requests go to that controller; otherwise to random ones. */
  async cancel(jobId: string, via?: string): Promise<void> {
    this.options.checker.cancelRequested(jobId);
    for (;;) {
      const { status } = await this.post(jobId, `/v2/runs/${jobId}/withdraw`, {}, via);
      if (status === 200 || status === 404) return;
      await this.sleep(RETRY_DELAY_MS);
    }
  }

  /** Repeats the submission of a job, optionally with changed fields; returns the status of the answer. */
  async resubmit(jobId: string, changedFields: Body = {}): Promise<number> {
    const spec = this.specs.get(jobId);
    const body = { uid: jobId, ...(spec && encodeJobSpec(spec)), ...changedFields };
    return (await this.post(jobId, '/v2/runs', body)).status;
  }

  /** Makes a submission that no controller may accept, and retries it until it is answered; returns the status. */
  async submitInvalid(body: Body): Promise<number> {
    const jobId = `j-9${String(this.nextJob++).padStart(5, '0')}`;
    this.options.checker.invalidJobSubmitted(jobId);
    for (;;) {
      const { status } = await this.post(jobId, '/v2/runs', { uid: jobId, ...body });
      if (status !== 503 && status !== 0) return status;
      await this.sleep(RETRY_DELAY_MS);
    }
  }

  poll(jobId: string, via?: string): Promise<UserAnswer> {
    return this.request(jobId, { method: 'GET', path: `/v2/runs/${jobId}`, timeoutMs: 2000 }, via);
  }

  async request(jobId: string, call: Call, via?: string): Promise<UserAnswer> {
    const { random, checker, time } = this.options;
    const hosts = this.options.hosts();
    const host = via ?? hosts[random.int(0, hosts.length - 1)] ?? '';
    const askedAt = time.now;
    try {
      const answer = await this.options.call(host, call);
      const phase = typeof answer.body['phase'] === 'string' ? answer.body['phase'] : null;
      const userAnswer = { status: answer.status, phase };
      checker.userAnswered(jobId, userAnswer, time.now, askedAt);
      return userAnswer;
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
