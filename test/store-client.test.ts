import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { systemClock } from '../src/clock.js';
import { StoreClient, type Outcome, type Transaction } from '../src/store/client.js';
import { Replica } from '../src/store/replica.js';
import { AnswerTooLarge, NoAnswer, type Answer } from '../src/wire/client.js';

const TXN: Transaction = {
  conditions: [{ key: 'tv/x', modRevision: 3 }],
  writes: [{ put: 'tv/x', value: {} }],
};

/** What each try of a commit meets, and what its caller is told. */
interface CommitCase {
  name: string;
  /** Answers in turn; null: none comes. */
  answers: (Answer | null)[];
  kind: Outcome['kind'];
}

const done: Answer = { status: 200, body: { generation: 7 } };
const conflict: Answer = { status: 409, body: { generation: 7, failed: ['tv/x'] } };
const refused = (status: number): Answer => ({ status, body: { error: 'no such lease' } });

const COMMITS: CommitCase[] = [
  { name: 'answered', answers: [done], kind: 'done' },
  { name: 'a guard fails', answers: [conflict], kind: 'conflict' },
  { name: 'refused at once', answers: [refused(503)], kind: 'refused' },
  { name: 'malformed', answers: [refused(400)], kind: 'refused' },
  { name: 'unanswered, then done', answers: [null, done], kind: 'done' },
  {
    name: 'unanswered, then refused, then done',
    answers: [null, refused(429), done],
    kind: 'done',
  },
  // The first copy may have been carried out before its lease ended, or may yet be.
  { name: 'unanswered, then its lease is gone', answers: [null, refused(400)], kind: 'conflict' },
];

for (const { name, answers, kind } of COMMITS)
  void test(`commit: ${name}: ${kind}`, async () => {
    const left = [...answers];
    const call = (): Promise<Answer> => {
      const answer = left.shift();
      return answer ? Promise.resolve(answer) : Promise.reject(new NoAnswer('lost'));
    };
    const client = new StoreClient(call, call, systemClock, pino({ level: 'silent' }), 4);
    assert.equal((await client.commit(TXN)).kind, kind);
    assert.deepEqual(left, []);
  });

/** What a watch is told, and what its caller makes of it: nothing means that all must be read anew. */
const WATCHES: { name: string; answer: () => Promise<Answer>; generation: number | null }[] = [
  {
    name: 'answered',
    answer: () => Promise.resolve({ status: 200, body: { generation: 9, log: [] } }),
    generation: 9,
  },
  { name: 'too far behind', answer: () => Promise.resolve(refused(410)), generation: null },
  // A store answers with all changes, however many: asked again, it would be as many and more.
  {
    name: 'more than is taken at once',
    answer: () => Promise.reject(new AnswerTooLarge('too large')),
    generation: null,
  },
];

for (const { name, answer, generation } of WATCHES)
  void test(`changes: ${name}`, async () => {
    const client = new StoreClient(answer, answer, systemClock, pino({ level: 'silent' }), 4);
    const changes = await client.changes('tv/', 3, 0);
    assert.equal(changes?.revision ?? null, generation);
  });

void test('changes: no answer is no reading anew', async () => {
  const call = (): Promise<Answer> => Promise.reject(new NoAnswer('lost'));
  const client = new StoreClient(call, call, systemClock, pino({ level: 'silent' }), 4);
  await assert.rejects(client.changes('tv/', 3, 0), NoAnswer);
});

/** A full reading may be older than an own commit that was confirmed while it was read. */
interface ReadingCase {
  name: string;
  own: Parameters<Replica['applied']>[0];
  value: object | undefined;
}

const READINGS: ReadingCase[] = [
  { name: 'a put', own: [{ put: 'tv/x', value: { n: 2 } }], value: { n: 2 } },
  { name: 'a deletion', own: [{ delete: 'tv/x' }], value: undefined },
  { name: 'a new key', own: [{ put: 'tv/y', value: { n: 3 } }], value: { n: 1 } },
];

for (const { name, own, value } of READINGS)
  void test(`replica: ${name} of its own outlives an older full reading`, () => {
    const replica = new Replica(() => undefined);
    const items = [{ key: 'tv/x', value: { n: 1 }, modRevision: 4 }];
    replica.load(items, 0, { revision: 5, events: [] }, 0);
    replica.applied(own, 9);
    replica.load(items, 1, { revision: 8, events: [] }, 1);
    assert.deepEqual(replica.get('tv/x')?.value, value);
    assert.equal(replica.get('tv/y') !== undefined, name === 'a new key');
  });

void test('replica: what a full reading lacks is dropped', () => {
  const replica = new Replica(() => undefined);
  const item = { key: 'tv/x', value: {}, modRevision: 4 };
  replica.load([item], 0, { revision: 5, events: [] }, 0);
  replica.load([], 1, { revision: 9, events: [] }, 1);
  assert.equal(replica.get('tv/x'), undefined);
});
