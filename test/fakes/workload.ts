/** What users do on a day of drawn faults: both teams have more to do than their limits let them. */
import type { JobSpec } from '../../src/model/job.js';
import { afterSeconds } from './fault-injection.js';
import type { World } from './world.js';

const REQUEST_TIMEOUT_MS = 2000;

const smallTask = (index: number): Partial<JobSpec> => ({
  team: index % 2 === 0 ? 'red' : 'blue',
  image: `img-${String(index % 4)}`,
  cpus: 1,
  memoryGb: 2,
});

/** Submits jobs of all kinds over two minutes; `load` multiplies the batch work. */
export function submitWorkload(world: World, load: number): void {
  submitShortJobs(world, load);
  submitArrays(world, load);
  submitServices(world);
  submitGangs(world);
}

function submitShortJobs(world: World, load: number): void {
  const { random } = world;
  for (let index = 0; index < 260 * load; index++)
    afterSeconds(world, (index * 0.5) / load, () => {
      const cancelAfterMs = random.chance(0.25) ? random.real(0, 9000) : null;
      // Names of many lengths: what has room in one record has none in another.
      const suffix = 'x'.repeat(index % 3 === 0 ? random.int(20, 50) : 0);
      const spec = { ...smallTask(index), expectedSeconds: random.real(0.5, 9) };
      world.submit(spec, cancelAfterMs, suffix);
    });
}

function submitArrays(world: World, load: number): void {
  const { random } = world;
  for (let index = 0; index < 48 * load; index++)
    afterSeconds(world, (index * 2.5) / load, () => {
      const tasks = random.int(2, 14);
      world.submit({ ...smallTask(index), tasks, expectedSeconds: random.real(3, 25) });
    });
}

function submitServices(world: World): void {
  for (let index = 0; index < 4; index++)
    afterSeconds(world, index * 6, () => {
      world.submit({
        ...smallTask(index),
        kind: 'service',
        priority: 'critical',
        expectedSeconds: 0,
        tasks: 3,
        spreadAcrossZones: index % 2 === 0,
      });
    });
}

function submitGangs(world: World): void {
  for (let index = 0; index < 5; index++)
    afterSeconds(world, 8 + index * 18, () => {
      world.submit({
        kind: 'gang',
        priority: 'urgent',
        gpus: 1,
        cpus: 2,
        tasks: world.random.int(1, 3),
        singleZone: index % 2 === 0,
        expectedSeconds: 10,
      });
    });
}

/** Users ask all controllers, and some cancel, within milliseconds of the end of a task. */
export function queryOnCompletion(world: World): void {
  const { random } = world;
  world.onTaskDone = (jobId) => {
    if (!random.chance(0.3)) return;
    if (random.chance(0.3))
      world.time.after(random.real(0, 600), () => {
        void world.cancel(jobId);
      });
    const query = {
      method: 'GET',
      path: `/v2/runs/${jobId}`,
      timeoutMs: REQUEST_TIMEOUT_MS,
    } as const;
    for (const host of world.hosts())
      for (let count = 0; count < 2; count++)
        world.time.after(random.real(0, 900), () => {
          void world.request(jobId, query, host);
        });
  };
}
