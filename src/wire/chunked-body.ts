/** Takes a chunked body apart as it arrives; what was read once is not looked at again, however large the body is. */
import { MalformedResponse } from './malformed-response.js';

const LINE_END = Buffer.from('\r\n');
const CHUNK_SIZE = /^([0-9a-f]{1,7})[ \t]*(?:;.*)?$/i;
/** A size line or trailer line longer than this is none. */
const MAX_LINE_BYTES = 16 * 1024;

type Expecting = 'size' | 'data' | 'end of data' | 'trailer' | 'nothing';

/** The body of one chunked message. */
export class ChunkedBody {
  private expecting: Expecting = 'size';
  /** Bytes that were read and not used: part of a line. */
  private unread: Buffer = Buffer.alloc(0);
  private missing = 0;
  private readonly parts: Buffer[] = [];

  /** Takes a piece; whether the body is whole. Throws `MalformedResponse`. */
  push(piece: Buffer): boolean {
    this.unread = this.unread.length === 0 ? piece : Buffer.concat([this.unread, piece]);
    while (this.expecting !== 'nothing' && this.step());
    return this.expecting === 'nothing';
  }

  body(): Buffer {
    return Buffer.concat(this.parts);
  }

  /** Bytes came after the body: they belong to no response. */
  get hasMore(): boolean {
    return this.unread.length > 0;
  }

  /** Reads what is expected next; false if it has not arrived. */
  private step(): boolean {
    switch (this.expecting) {
      case 'data':
        return this.takeData();
      case 'size': {
        const line = this.takeLine();
        if (line === null) return false;
        const [, digits] = CHUNK_SIZE.exec(line) ?? [];
        if (digits === undefined) throw new MalformedResponse('bad chunk size');
        this.missing = parseInt(digits, 16);
        this.expecting = this.missing === 0 ? 'trailer' : 'data';
        return true;
      }
      case 'end of data': {
        if (this.unread.length < LINE_END.length) return false;
        this.unread = this.unread.subarray(LINE_END.length);
        this.expecting = 'size';
        return true;
      }
      case 'trailer': {
        // Trailer lines say nothing here; an empty one ends the body.
        const line = this.takeLine();
        if (line === '') this.expecting = 'nothing';
        return line !== null;
      }
      case 'nothing':
        return false;
    }
  }

  private takeData(): boolean {
    if (this.unread.length === 0) return false;
    const part = this.unread.subarray(0, this.missing);
    this.parts.push(part);
    this.unread = this.unread.subarray(part.length);
    this.missing -= part.length;
    if (this.missing === 0) this.expecting = 'end of data';
    return true;
  }

  private takeLine(): string | null {
    const end = this.unread.indexOf(LINE_END);
    if (end < 0) {
      if (this.unread.length > MAX_LINE_BYTES) throw new MalformedResponse('line too long');
      return null;
    }
    const line = this.unread.toString('latin1', 0, end);
    this.unread = this.unread.subarray(end + LINE_END.length);
    return line;
  }
}
