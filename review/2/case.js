/* eslint-disable */
// One huge array of small tasks. See claim.txt.
import { climate, job, runCase, sleep } from '../lib/cluster.js';

const FORGOTTEN_S = 75;
const WATCH_S = 90;
const known = job({
  uid: 'j-000001',
  owner: 'delta-pepper',
  jobclass: 'vent-setpoint',
  shape: 'standing',
  rank: 'critical',
  tasks: 3,
  expect_s: 0,
});
const grid = {
  uid: 'j-000002',
  owner: 'coastal-cuke',
  jobclass: 'cultivar-grid',
  cpus: 0.001,
  memory_gb: 0.005,
  expect_s: 20,
};

await runCase(new URL('./', import.meta.url), climate(), async (cluster, trouble, recorder) => {
  await sleep(2500);
  const accepted = await cluster.submit(known);
  if (accepted.status !== 201) throw new Error('not accepted');
  await sleep(3000);
  const array = job({ ...grid, tasks: trouble ? 100_000 : 100 });
  cluster.jobs.set(array.uid, array);
  await cluster.ask('host-0', 'POST', '/v2/runs', array);

  let lastAnswer = recorder.seconds();
  let longest = 0;
  const until = recorder.seconds() + WATCH_S;
  const noteGap = () => (longest = Math.max(longest, recorder.seconds() - lastAnswer));
  await Promise.all(
    [...cluster.hosts.keys()].map(async (name) => {
      while (recorder.seconds() < until) {
        if (await cluster.ask(name, 'GET', `/v2/runs/${known.uid}`)) {
          noteGap();
          lastAnswer = recorder.seconds();
        }
        await sleep(1500);
      }
    }),
  );
  noteGap();
  recorder.write(
    `longest time without any answer to a question for ${known.uid}: ${longest.toFixed(1)} s`,
  );
  return longest >= FORGOTTEN_S
    ? [`no question for j-000001 was answered at any controller for ${longest.toFixed(1)} s`]
    : [];
});
