/**
 * Parses the head of an HTTP/1.1 request in the form that common clients send. For anything else the result is null and
 * Node's own parser handles the request, so this module never decides whether a request is malformed.
 */

/** The parts of a request head that the server needs before the body. */
export interface RequestHead {
  method: 'GET' | 'POST';
  url: string;
  bodyBytes: number;
  /** Whether the client asks to close the connection after this request. */
  close: boolean;
}

const REQUEST_LINE = /^(GET|POST) (\/[!-~]*) HTTP\/1\.1$/;
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t -~]*?)[ \t]*$/;
const BODY_BYTES = /^\d{1,7}$/;

/** Headers that change how the message is framed or must be answered; requests with them are left to Node. */
const UNUSUAL_HEADERS: ReadonlySet<string> = new Set([
  'expect',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Parses a request head, without the empty line that ends it; returns null unless every line has a common form. */
export function parseRequestHead(text: string): RequestHead | null {
  const lines = text.split('\r\n');
  const [, method, url] = REQUEST_LINE.exec(lines[0] ?? '') ?? [];
  if (method === undefined || url === undefined) return null;
  const headers = parseHeaderLines(lines);
  if (!headers?.has('host')) return null;
  const length = headers.get('content-length') ?? '0';
  const close = closesConnection(headers.get('connection'));
  if (!BODY_BYTES.test(length) || close === null) return null;
  return { method: method === 'GET' ? 'GET' : 'POST', url, bodyBytes: Number(length), close };
}

/** Whether the client asks to close the connection; null if the header is neither `close` nor `keep-alive`. */
function closesConnection(header = 'keep-alive'): boolean | null {
  const connection = header.toLowerCase();
  if (connection === 'close') return true;
  return connection === 'keep-alive' ? false : null;
}

/** Returns the headers by lower-case name; null if any is malformed, repeated or in `UNUSUAL_HEADERS`. */
function parseHeaderLines(lines: readonly string[]): Map<string, string> | null {
  const headers = new Map<string, string>();
  for (let index = 1; index < lines.length; index++) {
    const [, name, value] = HEADER_LINE.exec(lines[index] ?? '') ?? [];
    if (name === undefined || value === undefined) return null;
    const lower = name.toLowerCase();
    if (headers.has(lower) || UNUSUAL_HEADERS.has(lower)) return null;
    headers.set(lower, value);
  }
  return headers;
}
