/* eslint-disable */
// A machine fails every task that it starts for a while. See claim.txt.
import { climate, job, runCase, sleep } from '../lib/cluster.js';
import { Use } from '../lib/use.js';

const SICK_S = 15;
const WAIT_S = 90;
const GPU_LIMIT = 6;

const use = new Use();
const model = job({
  uid: 'j-000001',
  owner: 'cedar-tomato',
  jobclass: 'yield-model',
  shape: 'group',
  rank: 'urgent',
  tasks: 1,
  cpus: 10,
  cards: 2,
  memory_gb: 38,
  image: 'img-07',
  image_gb: 8,
  flavors: ['lampbox', 'glasshouse'],
  one_zone: true,
  expect_s: 20,
});
/** Another such job, which runs on the machine all the time. */
const other = { ...model, uid: 'j-000002', expect_s: 300 };
const machines = [
  { flavor: 'glasshouse', site: 'abbotsford', reclaimable: false },
  ...Array.from({ length: 6 }, (_, index) => ({
    flavor: 'trellis',
    site: index % 2 ? 'langley' : 'abbotsford',
    reclaimable: false,
  })),
];

await runCase(
  new URL('./', import.meta.url),
  climate({ ...use.hooks, machines }),
  async (cluster, trouble, recorder) => {
    const glasshouse = [...cluster.workers.values()].find(({ flavor }) => flavor === 'glasshouse');
    await sleep(3000);
    await cluster.submit(other);
    for (let tries = 0; tries < 100 && use.tasksOf(other.uid) === 0; tries++) await sleep(100);
    if (use.tasksOf(other.uid) === 0) throw new Error('the other job does not run');
    if (trouble) glasshouse.setSick(true);
    const accepted = await cluster.submit(model);
    if (accepted.status !== 201) throw new Error('not accepted');
    if (trouble) {
      await sleep(SICK_S * 1000);
      if (!use.starts.has(model.uid)) throw new Error('the sick machine got no task');
      glasshouse.setSick(false);
    }
    let waitingSince = null;
    let longest = 0;
    let asked = 0;
    while (recorder.seconds() < 117 && longest < WAIT_S + 1) {
      await sleep(500);
      const free = glasshouse.free();
      const hasRoom =
        cluster.workers.has(glasshouse.uid) && free.cpus >= model.cpus && free.cards >= model.cards;
      const isWaiting =
        use.tasksOf(model.uid) === 0 &&
        use.doneOf(model.uid) === 0 &&
        hasRoom &&
        model.cards + other.cards <= GPU_LIMIT;
      if (!isWaiting) waitingSince = null;
      else waitingSince ??= recorder.seconds();
      if (waitingSince !== null) longest = Math.max(longest, recorder.seconds() - waitingSince);
      if (recorder.seconds() - asked > 5) {
        asked = recorder.seconds();
        const answer = await cluster.ask('host-0', 'GET', `/v2/runs/${model.uid}`);
        if (answer?.body.phase === 'done') break;
      }
    }
    recorder.write(
      `starts of ${model.uid}: ${use.starts.get(model.uid) ?? 0}; its longest wait with room and under the limit: ${longest.toFixed(1)} s`,
    );
    return longest >= WAIT_S
      ? [
          `${model.uid} waited for ${longest.toFixed(1)} s while ${glasshouse.uid} had room for it and its team was under its limit`,
        ]
      : [];
  },
);
