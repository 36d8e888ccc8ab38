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

/** A client that sends all its requests to a fake state service. */
const clientOf = (call: Caller): StoreClient =>
  new StoreClient({
    call,
    watchCall: call,
    clock: systemClock,
    log: pino({ level: 'silent' }),
    timeoutMs: 4,
  });

/** How each attempt of a commit is answered, and the outcome that the caller gets. */
interface CommitCase {
  name: string;
  /** Answers in order; null if there is no answer. */
  answers: (Answer | null)[];
  kind: CommitOutcome['kind'];
}

const done: Answer = { status: 200, body: { generation: 7 } };
const conflict: Answer = { status: 409, body: { generation: 7, failed: ['tv/x'] } };
const refused = (status: number): Answer => ({ status, body: { error: 'no such lease' } });

const COMMITS: CommitCase[] = [
  { name: 'answered', answers: [done], kind: 'done' },
  { name: 'a condition fails', answers: [conflict], kind: 'conflict' },
  { name: 'refused at the first attempt', answers: [refused(503)], kind: 'refused' },
  { name: 'malformed', answers: [refused(400)], kind: 'refused' },
  { name: 'unanswered, then done', answers: [null, done], kind: 'done' },
  {
    name: 'unanswered, then refused, then done',
    answers: [null, refused(429), done],
    kind: 'done',
  },
  // The first attempt may have been applied before its lease ended, or may still be applied.
  { name: 'unanswered, then its lease has ended', answers: [null, refused(400)], kind: 'conflict' },
];

for (const { name, answers, kind } of COMMITS)
  void test(`commit: ${name}: ${kind}`, async () => {
    const remaining = [...answers];
    const call = (): Promise<Answer> => {
      const answer = remaining.shift();
      return answer ? Promise.resolve(answer) : Promise.reject(new NoAnswer('lost'));
    };
    const client = clientOf(call);
    assert.equal((await client.commit(TRANSACTION)).kind, kind);
    assert.deepEqual(remaining, []);
  });

/** How a watch is answered, and the revision that the caller gets; null if a full read is needed. */
const WATCHES: { name: string; answer: () => Promise<Answer>; revision: number | null }[] = [
  {
    name: 'answered',
    answer: () => Promise.resolve({ status: 200, body: { generation: 9, log: [] } }),
    revision: 9,
  },
  { name: 'too far behind', answer: () => Promise.resolve(refused(410)), revision: null },
  // The store answers with all changes, however many there are. A retry would get as many or more.
  {
    name: 'larger than the client accepts',
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

void test('changes: a missing answer is an error and does not ask for a full read', async () => {
  const call = (): Promise<Answer> => Promise.reject(new NoAnswer('lost'));
  const client = clientOf(call);
  await assert.rejects(client.changes('tv/', 3, 0), NoAnswer);
});

/** An own commit that was confirmed during a full read; the pages read may be older than the commit. */
interface FullReadCase {
  name: string;
  ownWrites: Parameters<Replica['applyOwnCommit']>[0];
  expectedValue: object | undefined;
}

const FULL_READS: FullReadCase[] = [
  { name: 'a put', ownWrites: [{ put: 'tv/x', value: { n: 2 } }], expectedValue: { n: 2 } },
  { name: 'a deletion', ownWrites: [{ delete: 'tv/x' }], expectedValue: undefined },
  { name: 'a new key', ownWrites: [{ put: 'tv/y', value: { n: 3 } }], expectedValue: { n: 1 } },
];

for (const { name, ownWrites, expectedValue } of FULL_READS)
  void test(`replica: ${name} by an own commit is kept over an older full read`, () => {
    const replica = new Replica(() => undefined);
    const items = [{ key: 'tv/x', value: { n: 1 }, modRevision: 4 }];
    replica.load(items, 0, { revision: 5, events: [] }, 0);
    replica.applyOwnCommit(ownWrites, 9);
    replica.load(items, 1, { revision: 8, events: [] }, 1);
    assert.deepEqual(replica.get('tv/x')?.value, expectedValue);
    assert.equal(replica.get('tv/y') !== undefined, name === 'a new key');
  });

void test('replica: records that are missing from a full read are removed', () => {
  const replica = new Replica(() => undefined);
  const item = { key: 'tv/x', value: {}, modRevision: 4 };
  replica.load([item], 0, { revision: 5, events: [] }, 0);
  replica.load([], 1, { revision: 9, events: [] }, 1);
  assert.equal(replica.get('tv/x'), undefined);
});

const unexpected: Answer = { status: 500, body: {} };

/** Requests that get an answer outside the protocol, and the operation and subject that the error must name. */
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
  void test(`${operation}: an unexpected answer is treated as no answer, and the error names the request`, async () => {
    const client = clientOf(() => Promise.resolve(unexpected));
    await assert.rejects(request(client), (error) => {
      assert.ok(error instanceof UnexpectedStoreAnswer && error instanceof NoAnswer);
      assert.deepEqual([error.operation, error.subject, error.status], [operation, subject, 500]);
      return true;
    });
  });
