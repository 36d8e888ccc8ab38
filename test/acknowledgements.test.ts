/** Messages that let a worker forget tasks must also make it refuse late copies of their starts. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { lastTokenOfRange } from '../src/model/fencing-token.js';
import type { WorkerCommand } from '../src/model/worker.js';
import { withFencedAcknowledgements } from '../src/workers/acknowledgements.js';
import { CommandTokens } from '../src/workers/command-tokens.js';

const FIRST = 65_537;
const LAST = lastTokenOfRange(FIRST);

const ACKNOWLEDGE: WorkerCommand = { kind: 'acknowledge', taskName: 'j/0', attempt: 1 };
const STOP: WorkerCommand = { kind: 'stop', taskName: 'j/1', attempt: 1, gracePeriodSeconds: 0 };
const START: WorkerCommand = { kind: 'start', taskName: 'j/2', attempt: 1 };

/** Tokens at `current`, where the last start was sent under that token or under a lower one. */
function tokensAt(current: number, startedAtCurrent: boolean): CommandTokens {
  const tokens = new CommandTokens(FIRST);
  tokens.noteReported(current);
  if (!startedAtCurrent) tokens.fenceStarts();
  return tokens;
}

const CASES: {
  name: string;
  tokens: CommandTokens;
  requestInFlight?: boolean;
  commands: WorkerCommand[];
  sent: WorkerCommand[];
  token: number;
}[] = [
  {
    name: 'after a start under the current token: the token is raised',
    tokens: tokensAt(FIRST + 4, true),
    commands: [ACKNOWLEDGE, START],
    sent: [ACKNOWLEDGE, START],
    token: FIRST + 5,
  },
  {
    name: 'no start under the current token: it fences all of them already',
    tokens: tokensAt(FIRST + 4, false),
    commands: [STOP, ACKNOWLEDGE],
    sent: [STOP, ACKNOWLEDGE],
    token: FIRST + 5,
  },
  {
    name: 'a new session does not know what an earlier one started under the first token',
    tokens: new CommandTokens(FIRST),
    commands: [ACKNOWLEDGE],
    sent: [ACKNOWLEDGE],
    token: FIRST + 1,
  },
  {
    name: 'without an acknowledgement the token stays',
    tokens: tokensAt(FIRST + 4, true),
    commands: [STOP, START],
    sent: [STOP, START],
    token: FIRST + 4,
  },
  {
    name: 'a request under the current token is in flight, which a higher one would void: not acknowledged yet',
    tokens: tokensAt(FIRST + 4, true),
    requestInFlight: true,
    commands: [STOP, ACKNOWLEDGE],
    sent: [STOP],
    token: FIRST + 4,
  },
  {
    name: 'a request without starts is in flight under a token that fences all of them: acknowledged',
    tokens: tokensAt(FIRST + 4, false),
    requestInFlight: true,
    commands: [ACKNOWLEDGE],
    sent: [ACKNOWLEDGE],
    token: FIRST + 5,
  },
  {
    name: 'the range is used up, and the next token is another owner’s: not acknowledged',
    tokens: tokensAt(LAST, true),
    commands: [STOP, ACKNOWLEDGE, START],
    sent: [STOP, START],
    token: LAST,
  },
];

for (const { name, tokens, requestInFlight = false, commands, sent, token } of CASES)
  void test(`acknowledgements: ${name}`, () => {
    assert.deepEqual(withFencedAcknowledgements({ tokens, requestInFlight }, commands), sent);
    assert.equal(tokens.current, token);
  });

void test('acknowledgements: a start after one is fenced by the next, and never by a token beyond the range', () => {
  const tokens = new CommandTokens(FIRST);
  const sentUnder: number[] = [];
  for (let request = 0; tokens.fenceStarts(); request++) {
    assert.ok(tokens.current > (sentUnder.at(-1) ?? FIRST));
    assert.equal(tokens.needsNewRange, LAST - tokens.current < 1024);
    tokens.noteStart();
    sentUnder.push(tokens.current);
  }
  assert.equal(sentUnder.at(-1), LAST);
  assert.equal(tokens.current, LAST);
});
