import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { systemClock } from '../src/clock.js';
import { StoreClient, type CommitOutcome, type Transaction } from '../src/store/client.js';
import { UnexpectedStoreAnswer, type StoreOperation } from '../src/store/errors.js';
import { Replica } from '../src/store/replica.js';
import { AnswerTooLarge, NoAnswer, type Answer, type Caller } from '../src/wire/client.js';

const TRANSACTION: Transaction = {
  conditions: [{ key: 'tv/x', modRevision: 3 }],
  writes: [{ put: 'tv/x', value: {} }],
};

/** A client whose requests all go to one stand-in of the state service. */
const clientOf = (call: Caller): StoreClient =>
  new StoreClient({
    call,
    watchCall: call,
    clock: systemClock,
    log: pino({ level: 'silent' }),
    timeoutMs: 4,
  });

/** How each try of a commit is answered, and the outcome that its caller gets. */
interface CommitCase {
  name: string;
  /** Answers in turn; null: none comes. */
  answers: (Answer | null)[];
  kind: CommitOutcome['kind'];
}

const done: Answer = { status: 200, body: { generation: 7 } };
const conflict: Answer = { status: 409, body: { generation: 7, failed: ['tv/x'] } };
const refused = (status: number): Answer => ({ status, body: { error: 'no such lease' } });

const COMMITS: CommitCase[] = [
  { name: 'answered', answers: [done], kind: 'done' },
  { name: 'a condition fails', answers: [conflict], kind: 'conflict' },
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
    const client = clientOf(call);
    assert.equal((await client.commit(TRANSACTION)).kind, kind);
    assert.deepEqual(left, []);
  });

/** How a watch is answered, and the revision that its caller gets; null: everything must be read anew. */
const WATCHES: { name: string; answer: () => Promise<Answer>; revision: number | null }[] = [
  {
    name: 'answered',
    answer: () => Promise.resolve({ status: 200, body: { generation: 9, log: [] } }),
    revision: 9,
  },
  { name: 'too far behind', answer: () => Promise.resolve(refused(410)), revision: null },
  // A store answers with all changes, however many: asked again, they would be as many or more.
  {
    name: 'more than is accepted at once',
    answer: () => Promise.reject(new AnswerTooLarge('too large')),
    revision: null,
  },
];

for (const { name, answer, revision } of WATCHES)
  void test(`changes: ${name}`, async () => {
    const client = clientOf(answer);
    const changes = await client.changes('tv/', 3, 0);
    assert.equal(changes?.revision ?? null, revision);
  });

void test('changes: without an answer nothing is read anew', async () => {
  const call = (): Promise<Answer> => Promise.reject(new NoAnswer('lost'));
  const client = clientOf(call);
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
  void test(`replica: ${name} of its own is kept over an older full reading`, () => {
    const replica = new Replica(() => undefined);
    const items = [{ key: 'tv/x', value: { n: 1 }, modRevision: 4 }];
    replica.load(items, 0, { revision: 5, events: [] }, 0);
    replica.applied(own, 9);
    replica.load(items, 1, { revision: 8, events: [] }, 1);
    assert.deepEqual(replica.get('tv/x')?.value, value);
    assert.equal(replica.get('tv/y') !== undefined, name === 'a new key');
  });

void test('replica: what a full reading does not hold is removed', () => {
  const replica = new Replica(() => undefined);
  const item = { key: 'tv/x', value: {}, modRevision: 4 };
  replica.load([item], 0, { revision: 5, events: [] }, 0);
  replica.load([], 1, { revision: 9, events: [] }, 1);
  assert.equal(replica.get('tv/x'), undefined);
});

const unexpected: Answer = { status: 500, body: {} };

/** Requests that are answered with what their protocol does not have, and what the error says of them. */
const UNEXPECTED: {
  operation: StoreOperation;
  subject: string | null;
  request: (client: StoreClient) => Promise<unknown>;
}[] = [
  { operation: 'get', subject: 'tv/x', request: (client) => client.get('tv/x') },
  { operation: 'list', subject: 'tv/dom/', request: (client) => client.list('tv/dom/') },
  { operation: 'changes', subject: 'tv/', request: (client) => client.changes('tv/', 3, 0) },
  { operation: 'new lease', subject: null, request: (client) => client.newLease(1000) },
  { operation: 'extend lease', subject: '7', request: (client) => client.extendLease(7, 1000) },
];

for (const { operation, subject, request } of UNEXPECTED)
  void test(`${operation}: an unexpected answer counts as none, and is named in the error`, async () => {
    const client = clientOf(() => Promise.resolve(unexpected));
    await assert.rejects(request(client), (error) => {
      assert.ok(error instanceof UnexpectedStoreAnswer && error instanceof NoAnswer);
      assert.deepEqual([error.operation, error.subject, error.status], [operation, subject, 500]);
      return true;
    });
  });
