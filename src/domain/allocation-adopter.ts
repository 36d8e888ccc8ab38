/** Moves misplaced allocations: those on own machines that are still recorded under another domain. */
import type { Proposal } from '../store/commit-loop.js';
import { TransactionBuilder } from '../store/transaction-builder.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import type { DomainContext } from './context.js';

/** Proposes transactions that move misplaced allocations into the own domain's records. */
export class AllocationAdopter {
  private mayHaveMisplaced = true;

  constructor(private readonly context: DomainContext) {}

  /** Called when machines have joined the domain: their allocations may still be recorded under another domain. */
  requestScan(): void {
    this.mayHaveMisplaced = true;
  }

  propose(): Proposal | null {
    if (!this.mayHaveMisplaced) return null;
    const { options, state, ownDomain } = this.context;
    const transaction = new TransactionBuilder(state, options.self, {
      maxWrites: options.maxWrites,
      maxValueBytes: options.maxValueBytes,
      maxBytes: MAX_TRANSACTION_BYTES,
    });
    transaction.require(ownDomain.ownershipCondition());
    for (const controller of state.hostsWithAllocationPartitions())
      if (controller !== options.self) this.adoptFrom(controller, transaction);
    if (transaction.size === 0) {
      this.mayHaveMisplaced = false;
      return null;
    }
    return { transaction: transaction.build() };
  }

  /** Adds the allocations on own machines that are recorded under another domain, until the transaction is full. */
  private adoptFrom(host: string, transaction: TransactionBuilder): void {
    const { state, ownDomain } = this.context;
    const isOwn = (machineId: string): boolean => ownDomain.fencingTokenFor(machineId) !== null;
    for (const key of state.allocationPartitionKeys(host))
      if (!transaction.adopt(key, isOwn)) return;
  }
}
