import type { JobRecord, Priority } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QueueUsage } from '../src/placement/usage.js';
import { SeededRandom } from './fakes/time.js';
import { JOB } from './fakes/world.js';

// What is kept up to date change by change must be what a walk over all jobs would find.
void test('load: sums and waiting jobs stay right through many changes', () => {
  const chance = new SeededRandom(11);
  const load = new QueueUsage();
  const jobs = new Map<string, JobRecord>();
  for (let step = 0; step < 2000; step++) {
    const uid = `j-${String(chance.int(0, 40))}`;
    if (chance.hit(0.2)) {
      jobs.delete(uid);
      load.note(uid, undefined);
      continue;
    }
    const ranks: Priority[] = ['critical', 'urgent', 'standard'];
    const rank = ranks[chance.int(0, 2)] ?? 'idle';
    const owner = chance.hit(0.5) ? 'red' : 'blue';
    const spec = {
      ...JOB,
      tasks: 6,
      priority: rank,
      team: owner,
      cpus: 0.5,
      deadlineSeconds: chance.hit(0.5) ? 9 : null,
    };
    const placed = chance.int(0, 6);
    const r = placed > 0 ? { 'i-1': Array.from({ length: placed * 2 }, () => 1) } : {};
    const job: JobRecord = {
      spec,
      acceptedAt: 0,
      lastAttempt: 1,
      firstUnplacedTask: placed,
      allocationsByMachine: r,
      requeuedTasks: [],
    };
    jobs.set(uid, job);
    load.note(uid, job);
  }
  const tasks = ({ allocationsByMachine: r }: JobRecord): number => (r['i-1']?.length ?? 0) / 2;
  const sum = (of: (job: JobRecord) => boolean): number =>
    [...jobs.values()].filter(of).reduce((total, job) => total + tasks(job) * job.spec.cpus, 0);
  const waiting = [...jobs].filter(([, job]) => tasks(job) < 6).map(([uid]) => uid);
  assert.deepEqual([...load.waiting].sort(), waiting.sort());
  assert.equal(
    load.dueCpus,
    sum(({ spec: s }) => s.deadlineSeconds !== null),
  );
  for (const team of ['red', 'blue']) {
    const below = sum(({ spec: s }) => s.team === team && s.priority === 'standard');
    assert.equal(load.below(team, 'urgent').cpus, below);
    assert.equal(load.below(team, 'idle').cpus, 0);
  }
  assert.equal(load.anyBelow('standard'), false);
  assert.equal(load.anyBelow('critical'), true);
});
