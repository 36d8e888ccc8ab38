/** Moves misplaced allocations: those on own machines that the records of other domains still hold. */
import type { Proposal } from '../store/commit-loop.js';
import { TransactionBuilder } from '../store/transaction-builder.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import type { DomainContext } from './context.js';

/** Proposes transactions that move misplaced allocations into the own domain's records. */
export class AllocationAdopter {
  private mayHaveMisplaced = true;

  constructor(private readonly context: DomainContext) {}

  /** Machines have come into the domain: their allocations may still be recorded elsewhere. */
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
    for (const host of state.recordingHosts())
      if (host !== options.self) this.adoptFrom(host, transaction);
    if (transaction.size === 0) {
      this.mayHaveMisplaced = false;
      return null;
    }
    return { transaction: transaction.build() };
  }

  /** Adds what another domain records on own machines, as far as the transaction can hold it. */
  private adoptFrom(host: string, transaction: TransactionBuilder): void {
    const { state, ownDomain } = this.context;
    const isOwn = (machineId: string): boolean => ownDomain.fencingTokenFor(machineId) !== null;
    for (const key of state.allocationKeys(host)) if (!transaction.adopt(key, isOwn)) return;
  }
}
