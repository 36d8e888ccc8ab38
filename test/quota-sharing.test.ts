import { turnOf } from '../src/util/order.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { rebalanceQuota, transferQuota, type QuotaUsage } from '../src/domain/quota-sharing.js';

const cpus = (amount: number) => ({ cpus: amount, gpus: 0 });
const used = (amount: number) => new Map([['red', cpus(amount)]]);

const TRANSFERS: {
  name: string;
  from: [number, number];
  to: number;
  moving: number;
  share: number;
  want: [number, number];
}[] = [
  {
    name: 'what the tasks use goes along',
    from: [10, 4],
    to: 5,
    moving: 4,
    share: 0,
    want: [6, 9],
  },
  {
    name: 'and a share of what is unused',
    from: [10, 4],
    to: 5,
    moving: 2,
    share: 0.5,
    want: [5, 10],
  },
  { name: 'all of it with the last', from: [10, 4], to: 0, moving: 4, share: 1, want: [0, 10] },
  // A part that is cut would cover less than runs there, and nobody would hear of it.
  {
    name: 'what is in use is never cut, the shortage stays with the giver',
    from: [3, 4],
    to: 0,
    moving: 4,
    share: 1,
    want: [-1, 4],
  },
];

for (const { name, from, to, moving, share, want } of TRANSFERS)
  void test(`quota moves with machines: ${name}`, () => {
    const got = transferQuota(
      { quota: { red: cpus(from[0]) }, used: used(from[1]) },
      { quota: { red: cpus(to) }, moving: used(moving) },
      share,
    );
    assert.deepEqual([got.giver['red']?.cpus, got.receiver['red']?.cpus], want);
  });

const REBALANCES: {
  name: string;
  own: [number, number];
  others: [number, number][];
  all: number;
  whole?: number;
  least?: number;
  want: number[] | null;
}[] = [
  {
    name: 'to the mean of what is unused',
    own: [4, 4],
    others: [
      [8, 0],
      [4, 0],
    ],
    all: 20,
    want: [8, 4, 4],
  },
  {
    name: 'no more than is lacking',
    own: [4, 4],
    others: [
      [8, 0],
      [8, 0],
    ],
    all: 1,
    want: [5, 7, 8],
  },
  {
    name: 'nothing near the limit, where all have as little',
    own: [5, 4],
    others: [[5, 4]],
    all: 9,
    want: null,
  },
  { name: 'nothing that is used', own: [4, 4], others: [[8, 8]], all: 9, want: null },
  {
    name: 'what a gang needs at once, beyond the mean',
    own: [2, 0],
    others: [
      [2, 0],
      [2, 0],
    ],
    all: 6,
    whole: 6,
    want: [6, 0, 0],
  },
  {
    name: 'what one task needs, out of what is too little in each part',
    own: [5.5, 5],
    others: [
      [8.5, 8],
      [10.5, 10],
    ],
    all: 6,
    least: 1.5,
    want: [6.5, 8, 10],
  },
  {
    name: 'nothing where all together cannot hold one task',
    own: [5.5, 5],
    others: [[8.5, 8]],
    all: 6,
    least: 2,
    want: null,
  },
  {
    name: 'what one task needs, where the gang finds too little',
    own: [5.5, 5],
    others: [[8.5, 8]],
    all: 6,
    whole: 4,
    least: 1,
    want: [6, 8],
  },
  {
    name: 'nothing for a gang that all together cannot hold',
    own: [2, 0],
    others: [[2, 0]],
    all: 6,
    whole: 6,
    want: null,
  },
];

for (const { name, own, others, all, whole, least, want } of REBALANCES)
  void test(`quota is rebalanced: ${name}`, () => {
    const parts = others.map(([have, use], index): [string, QuotaUsage] => [
      `h${String(index)}`,
      { quota: { red: cpus(have) }, used: used(use) },
    ]);
    const got = rebalanceQuota(
      { quota: { red: cpus(own[0]) }, used: used(own[1]) },
      new Map([
        [
          'red',
          { total: cpus(all), indivisible: cpus(whole ?? 0), smallestTask: cpus(least ?? 0) },
        ],
      ]),
      new Map(parts),
      9,
    );
    const after = got && [
      got.own['red']?.cpus,
      ...parts.map(([host, { quota }]) => (got.givers.get(host) ?? quota)['red']?.cpus),
    ];
    assert.deepEqual(after, want);
    const sum = (values: (number | undefined)[]) =>
      values.reduce<number>((a, b) => a + (b ?? 0), 0);
    if (after) assert.equal(sum(after), sum([own[0], ...others.map(([have]) => have)]));
  });

void test('turns: every host has its own, and the first differs from job to job', () => {
  const hosts = ['a', 'b', 'c', 'd', 'e'];
  const firsts = new Set<string>();
  for (let at = 0; at < 40; at++) {
    const turns = hosts.map((host) => turnOf(`j-${String(at)}`, hosts, host));
    assert.deepEqual([...turns].sort(), [0, 1, 2, 3, 4]);
    firsts.add(hosts[turns.indexOf(0)] ?? '');
  }
  assert.equal(firsts.size, hosts.length);
});
