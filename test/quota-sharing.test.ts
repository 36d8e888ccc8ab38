/** How the quotas of domains change when machines change owners and when quota is rebalanced. */
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
  unusedShare: number;
  want: [number, number];
}[] = [
  {
    name: 'the quota that the tasks use moves with them',
    from: [10, 4],
    to: 5,
    moving: 4,
    unusedShare: 0,
    want: [6, 9],
  },
  {
    name: 'a share of the unused quota moves as well',
    from: [10, 4],
    to: 5,
    moving: 2,
    unusedShare: 0.5,
    want: [5, 10],
  },
  {
    name: 'all quota moves with the last machine',
    from: [10, 4],
    to: 0,
    moving: 4,
    unusedShare: 1,
    want: [0, 10],
  },
  // A reduced quota would be smaller than the usage of the tasks that run there, and nothing would report that.
  {
    name: 'the quota for the tasks is never reduced; the shortage stays with the giver',
    from: [3, 4],
    to: 0,
    moving: 4,
    unusedShare: 1,
    want: [-1, 4],
  },
];

for (const { name, from, to, moving, unusedShare, want } of TRANSFERS)
  void test(`quota moves with machines: ${name}`, () => {
    const got = transferQuota(
      { quota: { red: cpus(from[0]) }, used: used(from[1]) },
      { quota: { red: cpus(to) }, moving: used(moving) },
      unusedShare,
    );
    assert.deepEqual([got.giver['red']?.cpus, got.receiver['red']?.cpus], want);
  });

const REBALANCES: {
  name: string;
  own: [number, number];
  others: [number, number][];
  total: number;
  indivisible?: number;
  smallestTask?: number;
  want: number[] | null;
}[] = [
  {
    name: 'the unused quota is evened out to its mean',
    own: [4, 4],
    others: [
      [8, 0],
      [4, 0],
    ],
    total: 20,
    want: [8, 4, 4],
  },
  {
    name: 'no more than the shortfall moves',
    own: [4, 4],
    others: [
      [8, 0],
      [8, 0],
    ],
    total: 1,
    want: [5, 7, 8],
  },
  {
    name: 'nothing moves near the limit, when all parts have equally little unused',
    own: [5, 4],
    others: [[5, 4]],
    total: 9,
    want: null,
  },
  { name: 'quota in use does not move', own: [4, 4], others: [[8, 8]], total: 9, want: null },
  {
    name: 'a gang gets what it needs at once, even beyond the mean',
    own: [2, 0],
    others: [
      [2, 0],
      [2, 0],
    ],
    total: 6,
    indivisible: 6,
    want: [6, 0, 0],
  },
  {
    name: 'one task gets what it needs from parts that are each too small for it',
    own: [5.5, 5],
    others: [
      [8.5, 8],
      [10.5, 10],
    ],
    total: 6,
    smallestTask: 1.5,
    want: [6.5, 8, 10],
  },
  {
    name: 'nothing moves if all parts together are too small for one task',
    own: [5.5, 5],
    others: [[8.5, 8]],
    total: 6,
    smallestTask: 2,
    want: null,
  },
  {
    name: 'one task gets what it needs if there is too little for the gang',
    own: [5.5, 5],
    others: [[8.5, 8]],
    total: 6,
    indivisible: 4,
    smallestTask: 1,
    want: [6, 8],
  },
  {
    name: 'nothing moves for a gang if all parts together are too small for it',
    own: [2, 0],
    others: [[2, 0]],
    total: 6,
    indivisible: 6,
    want: null,
  },
];

for (const { name, own, others, total, indivisible, smallestTask, want } of REBALANCES)
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
          {
            total: cpus(total),
            indivisible: cpus(indivisible ?? 0),
            smallestTask: cpus(smallestTask ?? 0),
          },
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

void test('turns: every host has a different turn, and the first host differs from job to job', () => {
  const hosts = ['a', 'b', 'c', 'd', 'e'];
  const firsts = new Set<string>();
  for (let at = 0; at < 40; at++) {
    const turns = hosts.map((host) => turnOf(`j-${String(at)}`, hosts, host));
    assert.deepEqual([...turns].sort(), [0, 1, 2, 3, 4]);
    firsts.add(hosts[turns.indexOf(0)] ?? '');
  }
  assert.equal(firsts.size, hosts.length);
});
