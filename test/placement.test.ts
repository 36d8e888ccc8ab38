import { newJob, placeTasks } from '../src/model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../src/model/job.js';
import type { MachineType } from '../src/model/machine.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Settings } from '../src/config/settings.js';
import { neverRuns } from '../src/jobs/submission.js';
import { teamQuotas } from '../src/placement/snapshot.js';
import { plan, PRIORITIES, type Candidate, type Snapshot } from '../src/placement/plan.js';
import { runningOn, selectPreemptions } from '../src/placement/preempt.js';
import { JOB } from './fakes/world.js';

const SIZE = { cpus: 4, gpus: 0, memoryGb: 16 };

function box(id: string, more: Partial<Candidate> & { used?: number } = {}): Candidate {
  const size = more.capacity ?? SIZE;
  const free = { ...size, cpus: size.cpus - (more.used ?? 0) };
  return {
    id,
    machineType: 'plain',
    zone: 'x',
    spot: false,
    capacity: size,
    free,
    images: new Set(),
    ...more,
  };
}

const job = (spec: Partial<JobSpec>, at = 0): JobRecord => newJob({ ...JOB, ...spec }, at);

function snapshot(places: Candidate[], jobs: Record<string, JobRecord>): Snapshot {
  const used = new Map<string, { cpus: number; gpus: number }>();
  for (const { spec: s, allocationsByMachine: r } of Object.values(jobs)) {
    const tasks = Object.values(r).reduce((sum, pairs) => sum + pairs.length / 2, 0);
    const before = used.get(s.team) ?? { cpus: 0, gpus: 0 };
    used.set(s.team, {
      cpus: before.cpus + tasks * s.cpus,
      gpus: before.gpus + tasks * s.gpus,
    });
  }
  return {
    wall: 0,
    agedMs: 100_000,
    deadlineMultiples: [1],
    speed: 0,
    candidates: places,
    jobs: Object.entries(jobs).map(([uid, record]) => ({ uid, job: record })),
    teams: new Map([
      ['red', { guaranteedCpus: 4, guaranteedGpus: 2, cpuLimit: 12, gpuLimit: 4 }],
      ['blue', { guaranteedCpus: 4, guaranteedGpus: 0, cpuLimit: 8, gpuLimit: 0 }],
    ]),
    used,
    usageBelowPriority: (job) => {
      const lower = { cpus: 0, gpus: 0 };
      for (const { spec: s, allocationsByMachine: r } of Object.values(jobs)) {
        if (
          s.team !== job.spec.team ||
          PRIORITIES.indexOf(s.priority) <= PRIORITIES.indexOf(job.spec.priority)
        )
          continue;
        lower.cpus += (Object.values(r).flat().length / 2) * s.cpus;
      }
      return lower;
    },
    zoneOf: (id) => places.find((one) => one.id === id)?.zone ?? '',
    controllerZones: new Set(['x']),
    enforcesGuarantees: true,
    fitsWithoutGpus: (spec) => spec.gpus === 0,
  };
}

const CARDS = { cpus: 4, gpus: 2, memoryGb: 16 };

const CASES: {
  name: string;
  places: Candidate[];
  jobs: Record<string, JobRecord>;
  want: Record<string, string[]>;
}[] = [
  {
    name: 'the machine that has the image comes before the emptier one',
    places: [box('1'), box('2', { used: 2, images: new Set(['img-0']) })],
    jobs: { j: job({}) },
    want: { j: ['2'] },
  },
  {
    name: 'without the image, the one with most free room',
    places: [box('1', { used: 2 }), box('2')],
    jobs: { j: job({}) },
    want: { j: ['2'] },
  },
  {
    name: 'a team stops at its limit',
    places: [box('1'), box('2'), box('3'), box('4')],
    jobs: { j: job({ team: 'blue', tasks: 9 }) },
    want: { j: ['1', '1', '2', '2'] },
  },
  {
    name: 'a team within its guarantee goes before one that borrows',
    places: [box('1', { used: 2 })],
    jobs: {
      j: {
        ...job({ team: 'red', tasks: 3 }),
        firstUnplacedTask: 2,
        allocationsByMachine: { '9': [0, 1, 1, 1] },
      },
      k: job({ team: 'blue' }, 5),
    },
    want: { k: ['1'] },
  },
  {
    name: 'rank goes before share',
    places: [box('1', { used: 2 })],
    jobs: {
      j: {
        ...job({ priority: 'critical', tasks: 3 }),
        firstUnplacedTask: 2,
        allocationsByMachine: { '9': [0, 1, 1, 1] },
      },
      k: job({ team: 'blue' }),
    },
    want: { j: ['1'] },
  },
  {
    name: 'of arrays that have grown old, the eldest begins with one task before all ranks',
    places: [box('1', { used: 2 })],
    jobs: {
      j: job({ priority: 'critical' }),
      k: job({ priority: 'idle', tasks: 5 }, -300_000),
      l: job({ priority: 'idle', tasks: 5 }, -200_000),
    },
    want: { k: ['1'] },
  },
  {
    name: 'and the others that have grown old wait for what is urgent',
    places: [box('1')],
    jobs: {
      j: job({ priority: 'critical' }),
      k: job({ priority: 'idle', tasks: 5 }, -300_000),
      l: job({ priority: 'idle', tasks: 5 }, -200_000),
    },
    want: { j: ['1'], k: ['1'] },
  },
  {
    name: 'a spread job puts at most half of its tasks, rounded up, into a zone',
    places: [box('1'), box('2')],
    jobs: { j: job({ kind: 'service', spreadAcrossZones: true, tasks: 3 }) },
    want: { j: ['1', '2'] },
  },
  {
    name: 'a gang takes all its machines or none',
    places: [box('1'), box('2', { used: 2 })],
    jobs: { j: job({ kind: 'gang', tasks: 3, cpus: 4 }), k: job({ team: 'blue' }) },
    want: { k: ['1'] },
  },
  {
    name: 'a gang of one zone is not torn apart',
    places: [box('1'), box('2', { zone: 'y' }), box('3', { zone: 'y' })],
    jobs: { j: job({ kind: 'gang', tasks: 2, cpus: 4, singleZone: true }) },
    want: { j: ['2', '3'] },
  },
  {
    name: 'only reclaimable jobs go to spot machines',
    places: [box('1', { spot: true })],
    jobs: { j: job({}), k: job({ spot: true }) },
    want: { k: ['1'] },
  },
  {
    name: 'a service keeps off card machines',
    places: [box('1', { capacity: CARDS })],
    jobs: { j: job({ kind: 'service' }) },
    want: {},
  },
  {
    name: 'a job waits out its pause after failures',
    places: [box('1')],
    jobs: { j: { ...job({}), notBefore: 1 } },
    want: {},
  },
  {
    name: 'a job is not put where it failed last',
    places: [box('1'), box('2', { used: 2 })],
    jobs: { j: { ...job({}), avoidedMachines: ['1'] } },
    want: { j: ['2'] },
  },
  {
    name: 'what can still be in time goes before what is late already',
    places: [box('1', { used: 2 })],
    jobs: { j: job({ deadlineSeconds: 1 }), k: job({ deadlineSeconds: 60 }) },
    want: { k: ['1'] },
  },
  {
    // Found by the stand-ins: small work of its own team took whatever became free of the limit.
    name: "a gang at its team's limit keeps lower ranks from taking what becomes free",
    places: [box('1'), box('2'), box('3')],
    jobs: {
      i: placeTasks(job({ team: 'blue', tasks: 3 }), ['9', '9', '9']),
      j: job({ team: 'blue', kind: 'gang', priority: 'urgent', tasks: 2 }),
      k: job({ team: 'blue' }),
    },
    want: {},
  },
  {
    name: 'a gang that lower ranks are not alone in the way of keeps nothing back',
    places: [box('1'), box('2'), box('3')],
    jobs: {
      i: placeTasks(job({ team: 'blue', priority: 'critical', tasks: 3 }), ['9', '9', '9']),
      j: job({ team: 'blue', kind: 'gang', priority: 'urgent', tasks: 2 }),
      k: job({ team: 'blue' }),
    },
    want: { k: ['1'] },
  },
  {
    name: 'a cancelled job gets nothing',
    places: [box('1')],
    jobs: { j: { ...job({}), cancelled: true } },
    want: {},
  },
];

for (const { name, places, jobs, want } of CASES)
  void test(`plan: ${name}`, () => {
    const got = Object.fromEntries(
      plan(snapshot(places, jobs)).map(({ uid, machines: boxes }) => [uid, boxes]),
    );
    assert.deepEqual(got, want);
  });

const PREEMPTIONS: {
  name: string;
  places: Candidate[];
  jobs: Record<string, JobRecord>;
  want: string[];
}[] = [
  {
    name: 'a higher rank stops a lower one',
    places: [box('1', { used: 4 })],
    jobs: {
      j: placeTasks(job({ priority: 'idle', cpus: 4 }), ['1']),
      k: job({ team: 'blue', priority: 'urgent' }),
    },
    want: ['j/0'],
  },
  {
    name: 'the same rank is not stopped for work beyond a guarantee',
    places: [box('1', { used: 4 })],
    jobs: {
      j: placeTasks(job({ cpus: 4 }), ['1']),
      k: job({ team: 'blue', cpus: 6 }),
    },
    want: [],
  },
  {
    name: 'a team gets its guarantee from one that runs beyond its own',
    places: [box('1', { used: 4 }), box('2', { used: 4 })],
    jobs: {
      j: placeTasks(job({ cpus: 4, tasks: 2 }), ['1', '2']),
      k: job({ team: 'blue' }),
    },
    want: ['j/0'],
  },
  {
    // Found on the bench: a spread service that could not use the zone had tasks stopped for it forever.
    name: 'nothing stops for a service that may not use the zone',
    places: [box('1', { used: 4 }), box('2')],
    jobs: {
      j: placeTasks(job({ priority: 'idle', cpus: 4 }), ['1']),
      k: placeTasks(
        job({
          team: 'blue',
          kind: 'service',
          priority: 'critical',
          tasks: 2,
          spreadAcrossZones: true,
        }),
        ['2'],
      ),
    },
    want: [],
  },
  {
    // Found by the stand-ins: a lost replica waited behind arrays that had filled its own team's limit.
    name: 'a team at its limit stops its own lower ranks',
    places: [box('1', { used: 4 }), box('2', { used: 4 }), box('3')],
    jobs: {
      j: placeTasks(job({ team: 'blue', cpus: 4, tasks: 2 }), ['1', '2']),
      k: job({ team: 'blue', kind: 'service', priority: 'critical' }),
    },
    want: ['j/0'],
  },
  {
    name: 'room that is on its way is not made twice',
    places: [box('1', { used: 4 })],
    jobs: {
      j: { ...placeTasks(job({ priority: 'idle', tasks: 2 }), ['1', '1']), preemptedTasks: [0] },
      k: job({ team: 'blue', priority: 'urgent' }),
    },
    want: [],
  },
];

for (const { name, places, jobs, want } of PREEMPTIONS)
  void test(`preempt: ${name}`, () => {
    const shot = snapshot(places, jobs);
    const planned = new Set(plan(shot).map(({ uid }) => uid));
    const lacking = shot.jobs.filter(({ uid }) => !planned.has(uid));
    const on = (id: string): string[] =>
      Object.entries(jobs)
        .filter(([, record]) => id in record.allocationsByMachine)
        .map(([uid]) => uid);
    const running = runningOn(places, on, (uid) => jobs[uid]);
    const stop = selectPreemptions(shot, lacking, running, 10);
    const got = stop.map(({ uid, task }) => `${uid}/${String(task)}`);
    assert.deepEqual(got, want);
  });

void test('a team with a limit of 0 has none: it is a guest that takes what nobody else wants', () => {
  const team = { name: 'green', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
  const settings = {
    settings: { teams: [team, { ...team, name: 'red', cpus_max: 8, gpus_max: 1 }] },
  };
  const teams = teamQuotas(settings as unknown as Settings);
  const flavors = new Map([
    ['plain', { name: 'plain', cpus: 8, gpus: 4, memoryGb: 64, zones: ['x'] }],
  ]) as unknown as ReadonlyMap<string, MachineType>;
  const asked = { ...JOB, kind: 'gang', tasks: 25, cpus: 1, gpus: 1 } as const;
  assert.equal(neverRuns({ ...asked, team: 'green' }, flavors, teams), null);
  assert.notEqual(neverRuns({ ...asked, team: 'red' }, flavors, teams), null);
});
