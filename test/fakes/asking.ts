/** Asks a controller of a world as a user's client does. */
import type { Answer, Call } from '../../src/wire/client.js';
import type { World } from './world.js';

/** What a user's client waits for an answer. */
const USER_MS = 5000;
const STEP_MS = 20;

/** Sends a request to one controller, without letting the time go on. */
export function ask(
  world: World,
  host: string,
  request: Pick<Call, 'method' | 'path' | 'body'>,
): Promise<Answer> {
  const call = world.net.caller(
    'user',
    () => host,
    () => true,
  );
  return call({ ...request, timeoutMs: USER_MS });
}

/** The same, with the time going on until the answer is there. */
export async function answerOf(
  world: World,
  host: string,
  request: Pick<Call, 'method' | 'path' | 'body'>,
): Promise<Answer> {
  const asked = ask(world, host, request);
  const answer = { isSettled: false };
  const settle = (): void => {
    answer.isSettled = true;
  };
  asked.then(settle, settle);
  const until = world.time.now + USER_MS + STEP_MS;
  while (!answer.isSettled && world.time.now < until)
    await world.time.runUntil(world.time.now + STEP_MS);
  return asked;
}
