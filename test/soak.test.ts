/** The soak test's own parts: its relay, its arguments, and that it reports a broken program. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Relay } from './soak/relay.js';
import { drawSoakFaults } from './soak/schedule.js';

const MAIN = fileURLToPath(new URL('./soak/main.js', import.meta.url));

const ARGUMENTS: { name: string; args: string[]; line: RegExp }[] = [
  { name: 'no seed', args: ['--seconds', '14'], line: /^soak: --seed: must be a whole number/ },
  {
    name: 'a seed that is not a number',
    args: ['--seed', 'x', '--seconds', '14'],
    line: /^soak: --seed: must be/,
  },
  {
    name: 'a duration that is too short',
    args: ['--seed', '1', '--seconds', '3'],
    line: /^soak: --seconds: must be a whole number from 12/,
  },
  {
    name: 'zero as the number of seeds',
    args: ['--seed', '1', '--seconds', '14', '--seeds', '0'],
    line: /^soak: --seeds: must be/,
  },
  { name: 'an unknown flag', args: ['--speed', '1'], line: /^soak: Unknown option '--speed'/ },
  {
    name: 'a program that does not exist',
    args: ['--seed', '1', '--seconds', '14', '--program', '/none'],
    line: /^soak: --program: \/none is not there/,
  },
];

for (const { name, args, line } of ARGUMENTS)
  void test(`soak: ${name} is a bad argument, reported in one line`, () => {
    const { status, stderr, stdout } = spawnSync(process.execPath, [MAIN, ...args], {
      encoding: 'utf8',
    });
    assert.equal(status, 2);
    assert.match(stderr, line);
    assert.equal(stderr.trim().split('\n').length, 1);
    assert.equal(stdout, '');
  });

void test('soak: a program that exits and serves nothing is reported, with the events before it', () => {
  const folder = mkdtempSync(join(tmpdir(), 'soak-test-'));
  const program = join(folder, 'ends.cjs');
  writeFileSync(program, 'setTimeout(() => process.exit(3), 300);');
  const args = ['--seed', '5', '--seconds', '12', '--program', program];
  const { status, stdout } = spawnSync(process.execPath, [MAIN, ...args], { encoding: 'utf8' });
  rmSync(folder, { recursive: true });
  assert.equal(status, 1);
  assert.match(stdout, /^seed 5, 12 s, schedule:/);
  assert.match(stdout, /last events before it:\n\s+\d+\.\d+ h0 started, pid \d+/);
  assert.match(stdout, /broken: ended: h0: code 3/);
  assert.match(stdout, /broken: nothing_ran: 0 starts/);
  assert.match(stdout, /\n0 passed, 1 failed\n$/);
});

void test('soak: the same seed draws the same faults, all over before the end', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const faults = drawSoakFaults(seed, 20, 3);
    assert.deepEqual(drawSoakFaults(seed, 20, 3), faults);
    assert.ok(faults.length >= 2);
    for (const { kind, atS, forS } of faults)
      assert.ok(kind === 'kill' || (atS >= 4 && atS + forS <= 14.001), `${String(seed)}: ${kind}`);
  }
});

/** Calls `run` with a relay before an echo server, a client connected to it, and the text that the client received. */
async function throughRelay(
  run: (relay: Relay, socket: Socket, received: () => string) => Promise<void>,
): Promise<void> {
  const echo = createServer((socket) => socket.pipe(socket));
  await new Promise<void>((resolve) => echo.listen(0, '127.0.0.1', resolve));
  const relay = new Relay({ host: '127.0.0.1', port: (echo.address() as AddressInfo).port });
  const socket = connect(await relay.listen('127.0.0.1'), '127.0.0.1');
  let text = '';
  socket.on('data', (bytes) => {
    text += String(bytes);
  });
  try {
    await run(relay, socket, () => text);
  } finally {
    socket.destroy();
    relay.close();
    echo.close();
  }
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Waits for a condition, up to 10 s as the machine may be busy. Returns also when the time is up: the assertion that
 * follows then fails and shows the difference.
 */
async function until(isMet: () => boolean): Promise<void> {
  const deadline = performance.now() + 10_000;
  while (!isMet() && performance.now() < deadline) await pause(5);
}

void test('soak: a relay passes, holds, drops and delays bytes', () =>
  throughRelay(async (relay, socket, received) => {
    socket.write('a');
    await until(() => received() === 'a');
    assert.equal(received(), 'a');
    relay.setMode('hold');
    socket.write('b');
    await until(() => relay.heldChunks > 0);
    await pause(100);
    assert.equal(received(), 'a');
    relay.setMode('pass');
    await until(() => received() === 'ab');
    assert.equal(received(), 'ab');
    relay.setMode('drop');
    socket.write('c');
    await until(() => relay.droppedChunks > 0);
    relay.setMode('pass', 200);
    const sentAt = performance.now();
    socket.write('d');
    await pause(100);
    assert.equal(received(), 'ab');
    await until(() => received() === 'abd');
    assert.equal(received(), 'abd');
    // 200 ms in each direction; timers may fire up to 1 ms early.
    assert.ok(performance.now() - sentAt > 399);
  }));
