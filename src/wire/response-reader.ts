/** Reads one HTTP/1.x response from the pieces in which it arrives. */
import { TackvaneError } from '../errors.js';
import { ChunkedBody } from './chunked-body.js';
import { MalformedResponse } from './malformed-response.js';

export { MalformedResponse };

/** A whole response with its body unread. */
export interface RawResponse {
  status: number;
  body: Buffer;
  /** Whether the connection may carry another request. */
  reusable: boolean;
}

/** More than the reader takes: what was asked for must be asked for in another way. */
export class ResponseTooLarge extends MalformedResponse {
  override readonly code = 'response_too_large';
}

/** The connection ended before the response did. */
export class TruncatedResponse extends TackvaneError {
  readonly code = 'response_truncated';
}

const MAX_HEAD_BYTES = 16 * 1024;
/** What a response may hold unless its reader is told otherwise. */
export const DEFAULT_BODY_BYTES = 16 * 1024 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');

const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: |\r\n|$)/;
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?:\r\n|$)/i;
const CHUNKED = /\r\ntransfer-encoding:[ \t]*chunked[ \t]*(?:\r\n|$)/i;
const CLOSE = /\r\nconnection:[ \t]*close[ \t]*(?:\r\n|$)/i;
const KEEP_ALIVE = /\r\nconnection:[ \t]*keep-alive[ \t]*(?:\r\n|$)/i;

interface Head {
  status: number;
  reusable: boolean;
  /** Bytes of the body; `chunked`, or `rest` for all until the connection ends. */
  length: number | 'chunked' | 'rest';
  bodyFrom: number;
}

/** Takes pieces until the response is whole. */
export class ResponseReader {
  private pieces: Buffer[] = [];
  private size = 0;
  private head: Head | null = null;
  private chunks: ChunkedBody | null = null;

  constructor(private readonly maxBodyBytes = DEFAULT_BODY_BYTES) {}

  /** The response once it is whole, null before; throws `MalformedResponse`. */
  push(piece: Buffer): RawResponse | null {
    this.pieces.push(piece);
    this.size += piece.length;
    if (this.size > MAX_HEAD_BYTES + this.maxBodyBytes) throw new ResponseTooLarge('too large');
    this.head ??= this.parseHead();
    const { head } = this;
    if (!head) return null;
    if (head.length === 'rest') return null;
    if (head.length === 'chunked') return this.finishChunked(head);
    const to = head.bodyFrom + head.length;
    if (this.size < to) return null;
    // Bytes beyond the response belong to no request: such a connection is not used again.
    return this.finish(head, this.joinPieces().subarray(head.bodyFrom, to), this.size === to);
  }

  /** The connection has ended: whole only if the response is one that ends with it. */
  end(): RawResponse {
    const { head } = this;
    if (head?.length !== 'rest') throw new TruncatedResponse('answer cut off');
    return this.finish(head, this.joinPieces().subarray(head.bodyFrom), false);
  }

  private finish(head: Head, body: Buffer, reusable: boolean): RawResponse {
    return { status: head.status, body, reusable: reusable && head.reusable };
  }

  private joinPieces(): Buffer {
    const [only] = this.pieces;
    if (only && this.pieces.length === 1) return only;
    const all = Buffer.concat(this.pieces);
    this.pieces = [all];
    return all;
  }

  private parseHead(): Head | null {
    const bytes = this.joinPieces();
    const end = bytes.indexOf(HEAD_END);
    if (end < 0 || end > MAX_HEAD_BYTES) {
      if (bytes.length > MAX_HEAD_BYTES) throw new MalformedResponse('head too large');
      return null;
    }
    const bodyFrom = end + HEAD_END.length;
    const text = bytes.toString('latin1', 0, end);
    const [, minor, digits] = STATUS_LINE.exec(text) ?? [];
    if (digits === undefined) throw new MalformedResponse('not an HTTP response');
    const status = Number(digits);
    if (status < 200) return this.skipInterim(bytes, bodyFrom);
    const length = bodyLength(text, status);
    const persistent = minor === '1' ? !CLOSE.test(text) : KEEP_ALIVE.test(text);
    return { status, length, bodyFrom, reusable: persistent && length !== 'rest' };
  }

  /** An interim response (1xx) says nothing yet; the final one follows. */
  private skipInterim(bytes: Buffer, from: number): Head | null {
    const rest = bytes.subarray(from);
    this.pieces = [rest];
    this.size = rest.length;
    return this.parseHead();
  }

  private finishChunked(head: Head): RawResponse | null {
    const bytes = this.joinPieces();
    this.pieces = [];
    this.chunks ??= new ChunkedBody();
    const isFirst = bytes.length === this.size;
    if (!this.chunks.push(isFirst ? bytes.subarray(head.bodyFrom) : bytes)) return null;
    return this.finish(head, this.chunks.body(), !this.chunks.hasMore);
  }
}

function bodyLength(head: string, status: number): Head['length'] {
  if (status === 204 || status === 304) return 0;
  if (CHUNKED.test(head)) return 'chunked';
  const [, digits] = CONTENT_LENGTH.exec(head) ?? [];
  return digits === undefined ? 'rest' : Number(digits);
}
