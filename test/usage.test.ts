import type { JobRecord, Priority } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QueueUsage } from '../src/placement/usage.js';
import { SeededRandom } from './fakes/time.js';
import { JOB } from './fakes/world.js';

const TASKS = 6;
const PRIORITIES: Priority[] = ['critical', 'urgent', 'standard'];

/** Draws a job with a random number of its tasks placed. */
function drawJob(random: SeededRandom): JobRecord {
  const priority = PRIORITIES[random.int(0, 2)] ?? 'idle';
  const team = random.chance(0.5) ? 'red' : 'blue';
  const deadlineSeconds = random.chance(0.5) ? 9 : null;
  const placed = random.int(0, TASKS);
  return {
    spec: { ...JOB, tasks: TASKS, priority, team, cpus: 0.5, deadlineSeconds },
    acceptedAt: 0,
    lastAttempt: 1,
    firstUnplacedTask: placed,
    allocationsByMachine: placed > 0 ? { 'i-1': Array<number>(placed * 2).fill(1) } : {},
    requeuedTasks: [],
  };
}

const placedTasks = ({ allocationsByMachine }: JobRecord): number =>
  (allocationsByMachine['i-1']?.length ?? 0) / 2;

// The incrementally updated sums and waiting jobs must equal those found by a scan over all jobs.
void test('usage: sums and waiting jobs are correct after many changes', () => {
  const random = new SeededRandom(11);
  const usage = new QueueUsage();
  const jobs = new Map<string, JobRecord>();
  for (let step = 0; step < 2000; step++) {
    const jobId = `j-${String(random.int(0, 40))}`;
    if (random.chance(0.2)) {
      jobs.delete(jobId);
      usage.update(jobId, undefined);
      continue;
    }
    const job = drawJob(random);
    jobs.set(jobId, job);
    usage.update(jobId, job);
  }
  const cpusOf = (matches: (job: JobRecord) => boolean): number =>
    [...jobs.values()]
      .filter(matches)
      .reduce((total, job) => total + placedTasks(job) * job.spec.cpus, 0);
  const waiting = [...jobs].filter(([, job]) => placedTasks(job) < TASKS).map(([jobId]) => jobId);
  assert.deepEqual([...usage.waitingJobs].sort(), waiting.sort());
  assert.equal(
    usage.deadlineCpus,
    cpusOf(({ spec }) => spec.deadlineSeconds !== null),
  );
  for (const team of ['red', 'blue']) {
    const below = cpusOf(({ spec }) => spec.team === team && spec.priority === 'standard');
    assert.equal(usage.usageBelow(team, 'urgent').cpus, below);
    assert.equal(usage.usageBelow(team, 'idle').cpus, 0);
  }
  assert.equal(usage.hasUsageBelow('standard'), false);
  assert.equal(usage.hasUsageBelow('critical'), true);
});
