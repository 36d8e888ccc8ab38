/** Frames of the protocol between controllers: a length of four bytes, followed by a CBOR map. */
import type { Socket } from 'node:net';
import { decodeMap, encode, type Body } from '../wire/codec.js';

const HEADER_BYTES = 4;
/** Enough for about 20,000 cordoned and lost machines, with names of 64 characters and their revisions. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Encodes a message as a frame. */
export function encodeFrame(message: Body): Buffer {
  const payload = encode(message);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
}

/** Calls `onMessage` for each complete frame; a malformed or oversized frame ends the connection. */
export function readFrames(socket: Socket, onMessage: (message: Body) => void): void {
  let buffered: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= HEADER_BYTES) {
      const length = buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        socket.destroy();
        return;
      }
      if (buffered.length < HEADER_BYTES + length) return;
      const message = decodeMap(buffered.subarray(HEADER_BYTES, HEADER_BYTES + length));
      buffered = buffered.subarray(HEADER_BYTES + length);
      if (!message) {
        socket.destroy();
        return;
      }
      onMessage(message);
    }
  });
}
