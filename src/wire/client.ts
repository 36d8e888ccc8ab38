/** HTTP client for other components: CBOR maps over persistent connections. */
import { TackvaneError, toError } from '../errors.js';
import { decodeMap, encode, type Body } from './codec.js';
import { ConnectionPool } from './connection-pool.js';
import { ResponseTooLarge } from './response-reader.js';

/** No usable answer was received. The request may have been executed, or may still be executed later. */
export class NoAnswer extends TackvaneError {
  readonly code: string = 'no_answer';
}

/** The answer exceeded the size limit. Repeating the request would give the same result. */
export class AnswerTooLarge extends NoAnswer {
  override readonly code = 'answer_too_large';
}

/** The request was not sent, so it was certainly not executed. */
export class NotSent extends NoAnswer {
  override readonly code = 'not_sent';
}

/** The path contains characters that a request line cannot contain; this is a bug in the caller. */
export class InvalidRequestPath extends TackvaneError {
  readonly code = 'invalid_request_path';

  constructor(readonly path: string) {
    super(`not a request path: ${JSON.stringify(path)}`);
  }
}

/** An answer whose body was decoded. */
export interface Answer {
  status: number;
  body: Body;
}

/** A request to another component. */
export interface Call {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: Body;
  timeoutMs: number;
}

/** Sends a request to one HTTP server. Test fakes implement this type without a network. */
export type Caller = (call: Call) => Promise<Answer>;

/** Splits an address such as `10.0.0.1:8080` into host and port. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Makes a caller for one server; a call whose answer exceeds `maxBodyBytes` fails with `AnswerTooLarge`. */
export function httpCaller(address: string, maxSockets: number, maxBodyBytes?: number): Caller {
  const { host, port } = splitAddress(address);
  const pool = new ConnectionPool(host, port, maxSockets, maxBodyBytes);
  return (call) => send(pool, address, call);
}

/** Sends one request over a connection pool to that address. */
export async function send(pool: ConnectionPool, address: string, call: Call): Promise<Answer> {
  const name = `${call.method} ${call.path}`;
  const pending = pool.request(requestBytes(address, call));
  const deadline = { isOver: false };
  const timer = setTimeout(() => {
    deadline.isOver = true;
    pending.cancel();
  }, call.timeoutMs);
  try {
    const { status, body: bytes } = await pending.response;
    const body = bytes.length === 0 ? {} : decodeMap(bytes);
    if (body === null) throw new NoAnswer(`${name}: malformed answer`);
    return { status, body };
  } catch (error) {
    throw toNoAnswer(error, name, deadline.isOver);
  } finally {
    clearTimeout(timer);
  }
}

/** Converts the error of a failed request to the one that the caller receives. */
function toNoAnswer(error: unknown, request: string, timedOut: boolean): NoAnswer {
  if (error instanceof NoAnswer) return error;
  if (error instanceof ResponseTooLarge) return new AnswerTooLarge(`${request}: ${error.message}`);
  const reason = timedOut ? 'no answer in time' : toError(error).message;
  return new NoAnswer(`${request}: ${reason}`, { cause: error });
}

const UNSAFE_PATH = /[^!-~]/;

function requestBytes(address: string, { method, path, body }: Call): Buffer {
  if (UNSAFE_PATH.test(path)) throw new InvalidRequestPath(path);
  const start = `${method} ${path} HTTP/1.1\r\nhost: ${address}\r\n`;
  if (body === undefined) return Buffer.from(`${start}\r\n`, 'latin1');
  const payload = encode(body);
  const head = `${start}content-type: application/cbor\r\ncontent-length: ${String(payload.length)}\r\n\r\n`;
  const bytes = Buffer.allocUnsafe(head.length + payload.length);
  bytes.write(head, 0, 'latin1');
  payload.copy(bytes, head.length);
  return bytes;
}
