/** User activity in runs with drawn faults: both teams submit more work than their limits allow to run at once. */
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

/** Submits jobs of all kinds over two minutes; `loadFactor` multiplies the batch work. */
export function submitWorkload(world: World, loadFactor: number): void {
  submitShortJobs(world, loadFactor);
  submitArrays(world, loadFactor);
  submitServices(world);
  submitGangs(world);
}

function submitShortJobs(world: World, loadFactor: number): void {
  const { random } = world;
  for (let index = 0; index < 260 * loadFactor; index++)
    afterSeconds(world, (index * 0.5) / loadFactor, () => {
      const cancelAfterMs = random.chance(0.25) ? random.real(0, 9000) : null;
      // Job ids of varying length, so that the number of entries that fit into a record varies.
      const suffix = 'x'.repeat(index % 3 === 0 ? random.int(20, 50) : 0);
      const spec = { ...smallTask(index), expectedSeconds: random.real(0.5, 9) };
      world.submit(spec, cancelAfterMs, suffix);
    });
}

function submitArrays(world: World, loadFactor: number): void {
  const { random } = world;
  for (let index = 0; index < 48 * loadFactor; index++)
    afterSeconds(world, (index * 2.5) / loadFactor, () => {
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

/** After some task completions, users query all controllers within 900 ms, and some cancel the job within 600 ms. */
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
