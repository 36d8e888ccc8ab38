/* eslint-disable */
// A completed task of a cancelled job is started again by a repeated request, long after the cancellation.
import { holdersOf, runCase, sleep } from '../lib-2/deployment.js';

const TRELLIS = {
  sku: 'trellis',
  cpus: 8,
  cards: 0,
  memory_gb: 32,
  cache_gb: 50,
  pull_gb_per_s: 1,
  rate: 0.46,
  low_price: 0.11,
  ready_s: 25,
  sites: ['abbotsford', 'langley'],
};
const TEAM = { name: 'cedar-tomato', cpus: 48, cpus_max: 136, gpus: 2, gpus_max: 6 };

const options = {
  flavors: [TRELLIS],
  teams: [TEAM],
  machines: [{ flavor: 'trellis', site: 'abbotsford', reclaimable: false }],
};

const SERVICE = 'j-000001';
const ARRAY = 'j-000002';
const FIRST_TASK = `${ARRAY}/0`;
/** `cancel_s` of the settings. */
const CANCEL_S = 39;
/** Time after it, and time for the copy to be carried out. */
const MARGIN_S = 1;
const AFTER_S = 8;

await runCase(import.meta.url, options, async (deployment, trouble) => {
  const [machine] = deployment.workers.values();
  const carriedOut = [];
  const starts = [];
  deployment.commandListeners.push((_, body) => carriedOut.push(structuredClone(body)));
  deployment.listeners.push((kind, worker, task) => {
    if (kind === 'started' && task.uid === ARRAY) starts.push({ at: performance.now(), task });
  });
  // A service keeps the machine in use, so that nobody gives it back as idle.
  await deployment.submit(SERVICE, 0, {
    jobclass: 'vent-setpoint',
    shape: 'standing',
    rank: 'critical',
    expect_s: 0,
  });
  await deployment.submit(ARRAY, (task) => (task === FIRST_TASK ? 1 : 600), { tasks: 2 });
  const reports = (name) => [...machine.tasks.values()].some((task) => task.name === name);
  await deployment.waitFor('both tasks have started', 20, () => starts.length === 2);
  await deployment.waitFor(
    'the first one is done, and the worker was told to forget it',
    20,
    () => {
      return !reports(FIRST_TASK);
    },
  );
  const answer = await deployment.cancel(ARRAY);
  const toldAt = performance.now();
  if (answer.body.phase !== 'cancelled') throw new Error('not cancelled');
  await deployment.waitFor(
    'the second one is gone',
    39,
    () => holdersOf(deployment, ARRAY).length === 0,
  );
  await sleep(toldAt + (CANCEL_S + MARGIN_S) * 1000 - performance.now());
  if (trouble) {
    const owner = [...deployment.nodes.keys()][machine.node % deployment.nodes.size];
    deployment.kill(owner);
    setTimeout(() => deployment.startController(owner), 3000);
    const copy = carriedOut.find(({ orders }) => {
      return orders.some(({ verb, task }) => verb === 'launch' && task === FIRST_TASK);
    });
    deployment.note(`a copy of a request of ${owner} arrives: ${JSON.stringify(copy)}`);
    const { status } = await deployment.client.call(
      machine.address,
      'POST',
      '/commands',
      copy,
      2000,
    );
    deployment.note(`the worker answers ${status}`);
  }
  await sleep(AFTER_S * 1000);
  const late = starts.filter(({ at }) => at > toldAt + CANCEL_S * 1000);
  if (late.length === 0) return null;
  const seconds = (late[0].at - toldAt) / 1000;
  return `${late[0].task.name} started ${seconds.toFixed(1)} s after its user was told that the job is cancelled`;
});
