/**
 * Keeps the process within the memory that the platform gives it: V8 collects garbage earlier as the heap approaches its
 * budget, and new work is refused before there is no memory left.
 *
 * V8's own limit is fixed when a process starts, before the settings are read (`--max-old-space-size`; set later it has
 * no effect). So that flag allows for the largest fleet, and the budget is kept by how far the heap may grow between
 * two collections, which V8 reads from its flags each time.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

/** What V8 says of its heap, in bytes. */
export interface HeapUse {
  used_heap_size: number;
  external_memory: number;
  heap_size_limit: number;
}

/** Part of the heap's limit above which new work is refused. */
const SHORT_HEAP_RATIO = 0.85;
/** What a process takes beside its heap: code and stacks. */
const OUTSIDE_HEAP_BYTES = 40 * 1024 * 1024;
/** What an idle connection takes outside the heap, buffers included, with room to spare. */
const SOCKET_BYTES = 8 * 1024;
/** Part of the heap's budget above which it grows in small steps. */
const TIGHT_HEAP_RATIO = 0.4;
/** How much, in percent, a tight heap may grow before it is collected. */
const TIGHT_GROWTH_PERCENT = 15;
/** Leaves the growth to V8. */
const DEFAULT_GROWTH_PERCENT = 0;

/** Bytes that the heap may take of a process's memory quota; the rest is for code and for all sockets that may be open. */
export function heapBudget(quotaBytes: number, maxSockets: number): number {
  return quotaBytes - OUTSIDE_HEAP_BYTES - maxSockets * SOCKET_BYTES;
}

/** Whether the heap is nearly as large as V8's limit, or its budget, allows. */
export function memoryIsShort(heap: HeapUse, budgetBytes: number): boolean {
  const limitBytes = Math.min(heap.heap_size_limit, budgetBytes);
  return usedBytes(heap) > limitBytes * SHORT_HEAP_RATIO;
}

/** How much, in percent, the heap may grow before its next collection; 0 leaves that to V8. */
export function growthPercent(heap: HeapUse, budgetBytes: number): number {
  const isTight = usedBytes(heap) > budgetBytes * TIGHT_HEAP_RATIO;
  return isTight ? TIGHT_GROWTH_PERCENT : DEFAULT_GROWTH_PERCENT;
}

function usedBytes(heap: HeapUse): number {
  return heap.used_heap_size + heap.external_memory;
}

/** Watches the heap of this process. */
export class MemoryGuard {
  /** Whether new work must be refused. */
  isShort = false;
  private growth = DEFAULT_GROWTH_PERCENT;

  constructor(
    private readonly budgetBytes: number,
    private readonly heap: () => HeapUse = getHeapStatistics,
    private readonly setGrowth: (percent: number) => void = setHeapGrowth,
  ) {}

  /** Takes microseconds; to be called a few times in the time that a burst of requests takes to fill the heap. */
  look(): void {
    const heap = this.heap();
    this.isShort = memoryIsShort(heap, this.budgetBytes);
    const growth = growthPercent(heap, this.budgetBytes);
    if (growth === this.growth) return;
    this.growth = growth;
    this.setGrowth(growth);
  }
}

function setHeapGrowth(percent: number): void {
  setFlagsFromString(`--heap-growing-percent=${String(percent)}`);
}
