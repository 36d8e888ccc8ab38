import type { AllocationsByMachine, JobRecord, Priority } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QueueUsage } from '../src/placement/usage.js';
import { SeededRandom } from './fakes/time.js';
import { JOB } from './fakes/world.js';

// What is kept up to date change by change must be what a walk over all jobs would find.
void test('usage: sums and waiting jobs stay right through many changes', () => {
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
    const priorities: Priority[] = ['critical', 'urgent', 'standard'];
    const priority = priorities[random.int(0, 2)] ?? 'idle';
    const team = random.chance(0.5) ? 'red' : 'blue';
    const spec = {
      ...JOB,
      tasks: 6,
      priority,
      team,
      cpus: 0.5,
      deadlineSeconds: random.chance(0.5) ? 9 : null,
    };
    const placed = random.int(0, 6);
    const allocationsByMachine: AllocationsByMachine =
      placed > 0 ? { 'i-1': Array.from({ length: placed * 2 }, () => 1) } : {};
    const job: JobRecord = {
      spec,
      acceptedAt: 0,
      lastAttempt: 1,
      firstUnplacedTask: placed,
      allocationsByMachine,
      requeuedTasks: [],
    };
    jobs.set(jobId, job);
    usage.update(jobId, job);
  }
  const tasks = ({ allocationsByMachine }: JobRecord): number =>
    (allocationsByMachine['i-1']?.length ?? 0) / 2;
  const sum = (of: (job: JobRecord) => boolean): number =>
    [...jobs.values()].filter(of).reduce((total, job) => total + tasks(job) * job.spec.cpus, 0);
  const waiting = [...jobs].filter(([, job]) => tasks(job) < 6).map(([jobId]) => jobId);
  assert.deepEqual([...usage.waitingJobs].sort(), waiting.sort());
  assert.equal(
    usage.deadlineCpus,
    sum(({ spec }) => spec.deadlineSeconds !== null),
  );
  for (const team of ['red', 'blue']) {
    const below = sum(({ spec }) => spec.team === team && spec.priority === 'standard');
    assert.equal(usage.usageBelow(team, 'urgent').cpus, below);
    assert.equal(usage.usageBelow(team, 'idle').cpus, 0);
  }
  assert.equal(usage.hasUsageBelow('standard'), false);
  assert.equal(usage.hasUsageBelow('critical'), true);
});
