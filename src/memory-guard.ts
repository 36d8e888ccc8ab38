/** Tells when so little memory is left that nothing may be taken on any more. */
import { getHeapStatistics } from 'node:v8';

/** What V8 says of its heap, in bytes. */
export interface HeapUse {
  used_heap_size: number;
  external_memory: number;
  heap_size_limit: number;
}

/** Part of what the heap may take above which new work is refused. */
const SHORT_SHARE = 0.85;
/** What a process takes beside its heap: code, stacks, socket buffers. */
const OUTSIDE_HEAP_BYTES = 40 * 1024 * 1024;

/** Whether the heap is nearly as large as V8's limit, or the process's quota, allows. */
export function memoryIsShort(heap: HeapUse, quotaBytes: number): boolean {
  const most = Math.min(heap.heap_size_limit, quotaBytes - OUTSIDE_HEAP_BYTES);
  return heap.used_heap_size + heap.external_memory > most * SHORT_SHARE;
}

/** Asks V8 at most once in `everyMs`, for the question comes with each submission. */
export function memoryGuard(
  quotaBytes: number,
  everyMs: number,
  now: () => number = () => performance.now(),
  heap: () => HeapUse = getHeapStatistics,
): () => boolean {
  let askedAt = -Infinity;
  let short = false;
  return () => {
    if (now() - askedAt >= everyMs) {
      askedAt = now();
      short = memoryIsShort(heap(), quotaBytes);
    }
    return short;
  };
}
