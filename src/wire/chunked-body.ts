/**
 * Decodes an HTTP body in chunked encoding as it arrives. Each byte is parsed only once, so large bodies stay cheap.
 */
import { MalformedResponse } from './malformed-response.js';

const LINE_END = Buffer.from('\r\n');
const CHUNK_SIZE = /^([0-9a-f]{1,7})[ \t]*(?:;.*)?$/i;
/** A size line or trailer line longer than this is an error. */
const MAX_LINE_BYTES = 16 * 1024;

type Expecting = 'size' | 'data' | 'end of data' | 'trailer' | 'nothing';

/** The body of one chunked message. */
export class ChunkedBody {
  private expecting: Expecting = 'size';
  /** Bytes received but not parsed yet, such as an incomplete line. */
  private unread: Buffer = Buffer.alloc(0);
  private remainingBytes = 0;
  private readonly parts: Buffer[] = [];

  /** Adds received bytes; returns true once the body is complete. Throws `MalformedResponse`. */
  push(piece: Buffer): boolean {
    this.unread = this.unread.length === 0 ? piece : Buffer.concat([this.unread, piece]);
    while (this.expecting !== 'nothing' && this.parseNext());
    return this.expecting === 'nothing';
  }

  body(): Buffer {
    return Buffer.concat(this.parts);
  }

  /** Whether bytes were received after the end of the body; they belong to no response. */
  get hasMore(): boolean {
    return this.unread.length > 0;
  }

  /** Parses the next element of the body; returns false if it has not arrived yet. */
  private parseNext(): boolean {
    switch (this.expecting) {
      case 'data':
        return this.readData();
      case 'size': {
        const line = this.readLine();
        if (line === null) return false;
        const [, digits] = CHUNK_SIZE.exec(line) ?? [];
        if (digits === undefined) throw new MalformedResponse('invalid chunk size');
        this.remainingBytes = parseInt(digits, 16);
        this.expecting = this.remainingBytes === 0 ? 'trailer' : 'data';
        return true;
      }
      case 'end of data': {
        if (this.unread.length < LINE_END.length) return false;
        this.unread = this.unread.subarray(LINE_END.length);
        this.expecting = 'size';
        return true;
      }
      case 'trailer': {
        // Trailer lines are ignored; an empty line ends the body.
        const line = this.readLine();
        if (line === '') this.expecting = 'nothing';
        return line !== null;
      }
      case 'nothing':
        return false;
    }
  }

  private readData(): boolean {
    if (this.unread.length === 0) return false;
    const part = this.unread.subarray(0, this.remainingBytes);
    this.parts.push(part);
    this.unread = this.unread.subarray(part.length);
    this.remainingBytes -= part.length;
    if (this.remainingBytes === 0) this.expecting = 'end of data';
    return true;
  }

  private readLine(): string | null {
    const end = this.unread.indexOf(LINE_END);
    if (end < 0) {
      if (this.unread.length > MAX_LINE_BYTES)
        throw new MalformedResponse('chunk size or trailer line too long');
      return null;
    }
    const line = this.unread.toString('latin1', 0, end);
    this.unread = this.unread.subarray(end + LINE_END.length);
    return line;
  }
}
