// A replica of a critical service waits while the GPU machine has room for it.
import { holdersOf, runCase, sleep, watchWaiting } from '../lib-2/deployment.js';

const SILL = {
  sku: 'sill',
  cpus: 4,
  cards: 0,
  memory_gb: 32,
  cache_gb: 50,
  pull_gb_per_s: 1,
  rate: 0.24,
  low_price: 0.06,
  ready_s: 50,
  sites: ['abbotsford', 'langley'],
};
const LAMPBOX = {
  sku: 'lampbox',
  cpus: 12,
  cards: 2,
  memory_gb: 48,
  cache_gb: 50,
  pull_gb_per_s: 1,
  rate: 4.79,
  low_price: 1.35,
  ready_s: 30,
  sites: ['abbotsford', 'langley'],
};
const TEAM = { name: 'cedar-tomato', cpus: 48, cpus_max: 136, gpus: 2, gpus_max: 6 };

/** The rule's bound. */
const LIMIT_S = 90;
/** 9.6 jobs a minute: four times 2.4. */
const BURST_INTERVAL_S = 6.25;

const options = {
  flavors: [SILL, LAMPBOX],
  teams: [TEAM],
  machines: [
    { flavor: 'sill', site: 'abbotsford', reclaimable: false },
    { flavor: 'lampbox', site: 'langley', reclaimable: false },
  ],
};

const VENT = {
  jobclass: 'vent-setpoint',
  shape: 'standing',
  rank: 'critical',
  expect_s: 0,
};

await runCase(import.meta.url, options, async (deployment, trouble) => {
  const runs = (uid) =>
    deployment.waitFor(`${uid} runs`, 20, () => holdersOf(deployment, uid).length > 0);
  // A yield model on the GPU machine leaves 2 CPUs and 10 GB of it free.
  await deployment.submit('j-000001', 600, {
    jobclass: 'yield-model',
    shape: 'group',
    rank: 'urgent',
    cpus: 10,
    cards: 2,
    memory_gb: 38,
    image: 'img-09',
    image_gb: 1.2,
    one_zone: true,
    expect_s: 600,
    snapshot_s: 20,
    flush_s: 2,
  });
  await runs('j-000001');
  await deployment.submit('j-000002', 0, VENT);
  await runs('j-000002');
  // 2.4 a minute come on an ordinary day: one more within the run. In the burst they come four times as often.
  const last = trouble ? 'j-000004' : 'j-000003';
  for (const uid of trouble ? ['j-000003', 'j-000004'] : ['j-000003']) {
    if (uid === 'j-000004') await sleep(BURST_INTERVAL_S * 1000);
    await deployment.submit(uid, 0, VENT);
  }
  if (trouble) deployment.note('no further job comes: the burst is over');
  const watched = await watchWaiting(deployment, last, {
    limitS: LIMIT_S,
    maxS: LIMIT_S + 5,
    team: TEAM,
  });
  if (watched.waitedS < LIMIT_S) {
    await runs(last);
    return null;
  }
  return `${last} was left waiting for ${watched.waitedS.toFixed(0)} s, with room on ${watched.room}`;
});
