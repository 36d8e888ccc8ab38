/**
 * Reads the head of an HTTP/1.1 request as ordinary clients write it. Anything else yields null and is left
 * to Node's own parser, so this module never decides what is malformed.
 */

/** What the service needs to know of a request before its body. */
export interface RequestHead {
  method: 'GET' | 'POST';
  url: string;
  bodyBytes: number;
  /** The client closes the connection after this request. */
  close: boolean;
}

const REQUEST_LINE = /^(GET|POST) (\/[!-~]*) HTTP\/1\.1$/;
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t -~]*?)[ \t]*$/;
const BODY_BYTES = /^\d{1,7}$/;

/** Headers that change how the message is framed or answered. */
const UNUSUAL_HEADERS: ReadonlySet<string> = new Set([
  'expect',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Parses the text before the empty line that ends a head; null unless every line is ordinary. */
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

/** Whether the client closes the connection after the request; null if it says something unusual of it. */
function closesConnection(header = 'keep-alive'): boolean | null {
  const connection = header.toLowerCase();
  if (connection === 'close') return true;
  return connection === 'keep-alive' ? false : null;
}

/** Header names in lower case with their values; null if any is malformed, repeated or unusual. */
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
