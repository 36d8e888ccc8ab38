/**
 * Keeps the process within the memory quota that the platform gives it. V8 collects garbage earlier when the heap
 * approaches its budget, and new work is refused before memory runs out.
 *
 * V8's own heap limit (`--max-old-space-size`) is fixed when the process starts, before the settings are read; changing
 * the flag later has no effect. The flag is therefore set for the largest fleet. The budget is enforced through the
 * growth that the heap is allowed between two collections: V8 reads that flag again at each collection.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

/** V8's heap statistics, in bytes. */
export interface HeapUse {
  used_heap_size: number;
  external_memory: number;
  heap_size_limit: number;
}

/** Fraction of the heap limit above which new work is refused. */
const SHORT_MEMORY_RATIO = 0.85;
/** Memory that the process uses outside the heap, for code and stacks. */
const OUTSIDE_HEAP_BYTES = 40 * 1024 * 1024;
/** Memory that an idle connection uses outside the heap, including buffers and a safety margin. */
const SOCKET_BYTES = 8 * 1024;
/** Fraction of the heap budget above which the heap grows in small steps. */
const SLOW_GROWTH_RATIO = 0.4;
/** Growth, in percent, allowed before the next collection when the heap is above `SLOW_GROWTH_RATIO`. */
const SLOW_GROWTH_PERCENT = 15;
/** V8 chooses the growth itself. */
const DEFAULT_GROWTH_PERCENT = 0;

/**
 * Returns the bytes of the memory quota that the heap may use; the rest is for code, stacks and the maximum number of
 * sockets.
 */
export function heapBudget(quotaBytes: number, maxSockets: number): number {
  return quotaBytes - OUTSIDE_HEAP_BYTES - maxSockets * SOCKET_BYTES;
}

/** Whether the heap is close to V8's limit or to its budget, whichever is smaller. */
export function memoryIsShort(heap: HeapUse, budgetBytes: number): boolean {
  const limitBytes = Math.min(heap.heap_size_limit, budgetBytes);
  return usedBytes(heap) > limitBytes * SHORT_MEMORY_RATIO;
}

/** Returns the growth in percent that the heap is allowed before its next collection; 0 lets V8 choose. */
export function growthPercent(heap: HeapUse, budgetBytes: number): number {
  const growsSlowly = usedBytes(heap) > budgetBytes * SLOW_GROWTH_RATIO;
  return growsSlowly ? SLOW_GROWTH_PERCENT : DEFAULT_GROWTH_PERCENT;
}

function usedBytes(heap: HeapUse): number {
  return heap.used_heap_size + heap.external_memory;
}

/** Monitors the heap of this process. */
export class MemoryGuard {
  /** Whether new work must be refused. */
  isShort = false;
  private currentGrowthPercent = DEFAULT_GROWTH_PERCENT;

  constructor(
    private readonly budgetBytes: number,
    private readonly readHeap: () => HeapUse = getHeapStatistics,
    private readonly setGrowth: (percent: number) => void = setHeapGrowth,
  ) {}

  /**
   * Reads the heap statistics and updates `isShort` and the allowed growth. It takes microseconds. Call it several
   * times within the time in which a burst of requests could fill the heap.
   */
  check(): void {
    const heap = this.readHeap();
    this.isShort = memoryIsShort(heap, this.budgetBytes);
    const growth = growthPercent(heap, this.budgetBytes);
    if (growth === this.currentGrowthPercent) return;
    this.currentGrowthPercent = growth;
    this.setGrowth(growth);
  }
}

function setHeapGrowth(percent: number): void {
  setFlagsFromString(`--heap-growing-percent=${String(percent)}`);
}
