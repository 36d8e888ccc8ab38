/* eslint-disable */
// Gangs come four times as often for a moment. See claim.txt.
import { job, runCase, siniestros, sleep } from '../lib/cluster.js';
import { Use } from '../lib/use.js';

const WAIT_S = 90;
const LIMIT = 48;
const USUAL = 3;
const FACTOR = 4;

const use = new Use();
const teams = Array.from({ length: 12 }, (_, index) => ({
  name: index === 0 ? 'intake' : `intake-${index + 1}`,
  cpus: 16,
  cpus_max: LIMIT,
  gpus: 0,
  gpus_max: 0,
}));
const gangs = (count) =>
  Array.from({ length: count }, (_, index) =>
    job({
      uid: `j-${String(index + 1).padStart(6, '0')}`,
      owner: teams[index].name,
      jobclass: 'blight-train',
      shape: 'group',
      rank: 'standard',
      tasks: 4,
      cpus: 8,
      memory_gb: 16,
      image: 'img-07',
      expect_s: 10,
    }),
  );
const service = job({
  uid: 'j-000100',
  owner: teams[11].name,
  jobclass: 'radicado',
  shape: 'standing',
  rank: 'critical',
  tasks: 3,
  cpus: 2,
  memory_gb: 9.8,
  spread: true,
  expect_s: 0,
});

await runCase(
  new URL('./', import.meta.url),
  siniestros({ ...use.hooks, teams }),
  async (cluster, trouble, recorder) => {
    await sleep(4000);
    const jobs = [...gangs(trouble ? USUAL * FACTOR : USUAL), service];
    const answers = await Promise.all(jobs.map((submission) => cluster.submit(submission)));
    if (answers.some(({ status }) => status !== 201)) throw new Error('not accepted');
    recorder.write(`${jobs.length} jobs are accepted; nothing else happens from here on`);

    const isDone = (submission) =>
      submission !== service && use.doneOf(submission.uid) === submission.tasks;
    const waits = new Map();
    let longest = 0;
    let longestJob = '';
    let shown = 0;
    while (recorder.seconds() < 117 && longest < WAIT_S + 1) {
      await sleep(500);
      for (const submission of jobs) {
        const missing = submission.tasks - use.tasksOf(submission.uid);
        // A gang needs room for all of its tasks at once, a service for one more.
        const needed = submission === service ? Math.min(1, missing) : missing;
        const isWaiting =
          !isDone(submission) &&
          needed > 0 &&
          use.roomFor(cluster, submission) >= needed &&
          use.cpusOf(submission.owner) + needed * submission.cpus <= LIMIT;
        if (!isWaiting) waits.delete(submission.uid);
        else if (!waits.has(submission.uid)) waits.set(submission.uid, recorder.seconds());
        const waited = recorder.seconds() - (waits.get(submission.uid) ?? Infinity);
        if (waited > longest) [longest, longestJob] = [waited, submission.uid];
      }
      if (recorder.seconds() - shown > 5) {
        shown = recorder.seconds();
        recorder.write(
          `machines: ${use.on.size} tasks on them, room for ${use.roomFor(cluster, jobs[0])} tasks of a gang; ${jobs.filter(isDone).length} gangs done`,
        );
        await Promise.all(
          [jobs[0], service].map(({ uid }) => cluster.ask('host-0', 'GET', `/v2/runs/${uid}`)),
        );
        if (
          jobs.every(
            (submission) => isDone(submission) || use.tasksOf(submission.uid) === submission.tasks,
          )
        )
          break;
      }
    }
    const waiting = [...waits]
      .filter(([, since]) => recorder.seconds() - since >= WAIT_S)
      .map(([uid]) => uid);
    recorder.write(
      `longest wait with room and under the limit: ${longest.toFixed(1)} s, ${longestJob}`,
    );
    return longest >= WAIT_S
      ? [
          `${waiting.join(' ')} waited for ${longest.toFixed(1)} s while machines had room and their teams were under their limits`,
        ]
      : [];
  },
);
