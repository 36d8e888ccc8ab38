/** Takes up offers of the cloud: claims that are recorded before they are sent, and answers that are recorded together. */
import type { FleetRecord } from '../model/domain.js';
import type { MachineBatch, RentalOffer, RentalRequest } from '../model/machine.js';
import { encodeFleet, encodeMachineBatch, keys } from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import { bytesOf } from '../store/value-size.js';
import type { Write, Condition } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { State } from '../store/state.js';
import { VALUE_FILL_RATIO, MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import type { Body } from '../wire/codec.js';
import { attemptCloud } from './cloud-attempt.js';
import { offerKey } from './plan.js';
import { RefusedOffers } from './refused-offers.js';

export interface RentalClaimsOptions {
  listLagMs: number;
  txnOps: number;
  valueBytes: number;
}

/** Machines that the cloud rents out in one request. */
export const MOST_RENTED = 50;
/** Room kept in a batch for a machine's address and what is noted on it. */
const ADDRESS_BYTES = 48;

/** Machines that answered claims brought, as the records to be made of them. */
interface Answered {
  claims: RentalRequest[];
  batches: { put: string; value: Body }[];
  machines: string[];
}

export class RentalClaims {
  private wanted: RentalRequest[] = [];
  private readonly asking = new Set<string>();
  /** A further round of claims waits for the cloud's limit. */
  private willAsk = false;
  /** Claim -> the machines it brought; null: refused. */
  private readonly answers = new Map<string, string[] | null>();
  /** Since when some answers wait to be recorded. */
  private answeredAt = -Infinity;
  private readonly refusals: RefusedOffers;

  constructor(
    private readonly options: RentalClaimsOptions,
    private readonly cloud: CloudClient,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly limiter: RateLimiter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
    /** Whether renting is this controller's duty. */
    private readonly onDuty: () => boolean,
  ) {
    this.refusals = new RefusedOffers(clock, options.listLagMs);
  }

  sources(): ProposalSource[] {
    return [
      { name: 'rented', propose: () => this.proposeAnswered() },
      { name: 'rent', propose: () => this.proposeClaims() },
    ];
  }

  /** Offers that are not worth asking for now. */
  refused(): ReadonlySet<string> {
    return this.refusals.current();
  }

  /** These offers are wanted, in place of whatever was wanted before and is not recorded. */
  want(offers: readonly RentalOffer[]): void {
    // One claim an offer: whether there is more to be had shows in its answer.
    const claims = new Map<string, RentalRequest>();
    for (const offer of offers) {
      const known = claims.get(offerKey(offer));
      if (!known) claims.set(offerKey(offer), { requestId: '', ...offer, count: 1 });
      else if (known.count < MOST_RENTED) known.count++;
    }
    this.wanted = [...claims.values()];
  }

  /** Sends recorded claims until each has an answer. */
  ask(): void {
    if (!this.onDuty()) return;
    for (const claim of this.state.fleet?.requests ?? []) {
      if (this.asking.has(claim.requestId) || this.answers.has(claim.requestId)) continue;
      const waitMs = this.limiter.waitMs(1);
      if (waitMs > 0) {
        this.askAgainIn(waitMs);
        break;
      }
      this.limiter.take(1);
      this.send(claim);
    }
  }

  private send(claim: RentalRequest): void {
    this.asking.add(claim.requestId);
    void attemptCloud(this.log, 'rent', async () => {
      const machines = await this.cloud.rent(claim);
      this.log.info({ ...claim, got: machines?.length ?? 0 }, 'rental answered');
      this.refusals.note(offerKey(claim), claim.count, machines?.length ?? 0);
      this.answers.set(claim.requestId, machines);
      this.wake();
    }).finally(() => this.asking.delete(claim.requestId));
  }

  /** A fleet that comes up rents in many claims: each goes out when the cloud's limit allows it, not with the next look. */
  private askAgainIn(waitMs: number): void {
    if (this.willAsk) return;
    this.willAsk = true;
    this.clock.after(waitMs, () => {
      this.willAsk = false;
      this.ask();
    });
  }

  /** The claim's name is recorded before it is sent, and never used again. */
  private proposeClaims(): Proposal | null {
    const { fleet } = this.state;
    if (this.wanted.length === 0 || !fleet || !this.onDuty() || fleet.requests.length > 0)
      return null;
    const claims = this.wanted.map((claim, at) => ({
      ...claim,
      requestId: `r-${String(fleet.lastRequestNumber + 1 + at)}`,
    }));
    this.wanted = [];
    const next: FleetRecord = {
      ...fleet,
      lastRequestNumber: fleet.lastRequestNumber + claims.length,
      requests: claims,
    };
    return {
      transaction: {
        conditions: [this.domainManager.ownershipCondition(), this.state.unchanged(keys.fleet)],
        writes: [{ put: keys.fleet, value: encodeFleet(next) }],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done') this.ask();
      },
    };
  }

  private proposeAnswered(): Proposal | null {
    const { fleet } = this.state;
    if (!fleet || !this.onDuty() || this.waitsForMore(fleet)) return null;
    const { claims, batches, machines } = this.gather(fleet);
    if (claims.length === 0) return null;
    const next: FleetRecord = {
      ...fleet,
      requests: fleet.requests.filter((one) => !claims.includes(one)),
    };
    const { txnOps } = this.options;
    const dealt = this.domainManager.unowned.assignNew(machines, txnOps - batches.length - 1);
    const guards: Condition[] = [
      this.domainManager.ownershipCondition(),
      this.state.unchanged(keys.fleet),
      ...dealt.conditions,
      ...batches.map(({ put }) => ({ key: put, modRevision: 0 })),
    ];
    const apply: Write[] = [
      { put: keys.fleet, value: encodeFleet(next) },
      ...batches,
      ...dealt.writes,
    ];
    return {
      transaction: { conditions: guards, writes: apply },
      settled: (outcome) => {
        if (outcome.kind === 'done')
          for (const { requestId: claim } of claims) this.answers.delete(claim);
      },
    };
  }

  /** Answers that come one after the other are recorded together: each time, all domains change. */
  private waitsForMore(fleet: FleetRecord): boolean {
    const now = this.clock.now();
    if (!fleet.requests.some(({ requestId: claim }) => this.answers.has(claim)))
      this.answeredAt = now;
    const isOpen = fleet.requests.some(({ requestId: claim }) => !this.answers.has(claim));
    return isOpen && now - this.answeredAt < this.options.listLagMs / 3;
  }

  /** As many answered claims as one transaction holds. */
  private gather(fleet: FleetRecord): Answered {
    const { txnOps } = this.options;
    const all: Answered = { claims: [], batches: [], machines: [] };
    // The shards of all controllers change as well.
    let bytes = 0;
    for (const claim of fleet.requests) {
      const got = this.answers.get(claim.requestId);
      if (got === undefined) continue;
      const machines = (got ?? []).filter((id) => !this.state.machines.has(id));
      const batches = this.batchesOf(claim, machines);
      bytes += batches.reduce((sum, { value }) => sum + bytesOf(value), 0);
      // Beside them: the duty's record, the turnstile of newcomers, and a shard of each live controller.
      if (all.batches.length + batches.length + this.state.liveness.size + 2 > txnOps) break;
      if (all.claims.length > 0 && bytes > MAX_TRANSACTION_BYTES / 2) break;
      all.claims.push(claim);
      all.batches.push(...batches);
      all.machines.push(...machines);
    }
    return all;
  }

  /** The machines of a claim as batches that stay within a value when all their addresses are known. */
  private batchesOf(claim: RentalRequest, machines: readonly string[]): Answered['batches'] {
    const each = Math.max(1, ...machines.map((id) => id.length)) + ADDRESS_BYTES;
    const room = this.options.valueBytes * VALUE_FILL_RATIO - ADDRESS_BYTES * 2;
    const most = Math.max(1, Math.floor(room / each));
    const batches: Answered['batches'] = [];
    for (let from = 0; from < machines.length; from += most) {
      const some = machines.slice(from, from + most);
      const batch: MachineBatch = {
        machineType: claim.machineType,
        zone: claim.zone,
        spot: claim.spot,
        recordedAt: this.clock.wall(),
        addresses: Object.fromEntries(some.map((id) => [id, ''])),
      };
      batches.push({
        put: keys.machineBatch(`${claim.requestId}.${String(from)}`),
        value: encodeMachineBatch(batch),
      });
    }
    return batches;
  }
}
