/** Sends requests to a controller of a simulated cluster as a user's client does. */
import type { Answer, Call } from '../../src/wire/client.js';
import type { World } from './world.js';

/** Time for which a user's client waits for an answer, in milliseconds. */
const USER_TIMEOUT_MS = 5000;
const STEP_MS = 20;

/** Sends a request to one controller without advancing the simulated time. */
export function sendRequest(
  world: World,
  host: string,
  request: Pick<Call, 'method' | 'path' | 'body'>,
): Promise<Answer> {
  const call = world.net.caller(
    'user',
    () => host,
    () => true,
  );
  return call({ ...request, timeoutMs: USER_TIMEOUT_MS });
}

/** Sends a request to one controller and advances the simulated time until the answer arrives. */
export async function requestAndWait(
  world: World,
  host: string,
  request: Pick<Call, 'method' | 'path' | 'body'>,
): Promise<Answer> {
  const pending = sendRequest(world, host, request);
  const answer = { isSettled: false };
  const settle = (): void => {
    answer.isSettled = true;
  };
  pending.then(settle, settle);
  const deadlineMs = world.time.now + USER_TIMEOUT_MS + STEP_MS;
  while (!answer.isSettled && world.time.now < deadlineMs)
    await world.time.runUntil(world.time.now + STEP_MS);
  return pending;
}
