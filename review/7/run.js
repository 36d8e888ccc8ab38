// A machine fails a task while it is sick; afterwards the task is never started there again.
import { holdersOf, runCase, sleep, watchWaiting } from '../lib-2/deployment.js';

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

/** The rule's bound. */
const LIMIT_S = 90;
/** How long the machine fails the tasks that it starts. */
const SICK_S = 6;

const options = {
  flavors: [TRELLIS],
  teams: [TEAM],
  machines: [
    { flavor: 'trellis', site: 'abbotsford', reclaimable: false },
    { flavor: 'trellis', site: 'abbotsford', reclaimable: false },
    { flavor: 'trellis', site: 'langley', reclaimable: false },
  ],
};

await runCase(import.meta.url, options, async (deployment, trouble) => {
  const machine = [...deployment.workers.values()].find(({ box }) => box.site === 'langley');
  // A service keeps the machine in use, so that nobody gives it back as idle.
  await deployment.submit('j-000001', 0, {
    jobclass: 'vent-setpoint',
    shape: 'standing',
    rank: 'critical',
    site: 'langley',
    expect_s: 0,
  });
  await deployment.waitFor(
    'the service runs',
    15,
    () => holdersOf(deployment, 'j-000001').length > 0,
  );
  await sleep(1500);
  if (trouble) {
    machine.sick = true;
    deployment.note(`${machine.uid} fails every task that it starts, from now on`);
  }
  await deployment.submit('j-000002', 3, { site: 'langley', expect_s: 3 });
  if (trouble) {
    await sleep(SICK_S * 1000);
    machine.sick = false;
    deployment.note(`${machine.uid} is sound again: the trouble is over`);
  }
  const watched = await watchWaiting(deployment, 'j-000002', {
    limitS: LIMIT_S,
    maxS: LIMIT_S + 5,
    team: TEAM,
  });
  if (watched.waitedS < LIMIT_S) {
    await deployment.waitFor('the job is done', 15, async () => {
      await deployment.poll('j-000002');
      await sleep(900);
      return deployment.jobs.get('j-000002').phase === 'done';
    });
    return null;
  }
  return `j-000002 was left waiting for ${watched.waitedS.toFixed(0)} s after the trouble, with room on ${watched.room}`;
});
