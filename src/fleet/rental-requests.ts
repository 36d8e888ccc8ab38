/** Rental requests. Each is recorded before it is sent, and is sent again until its answer is recorded. */
import type { FleetRecord } from '../model/domain.js';
import type { RentalOffer, RentalRequest } from '../model/machine.js';
import { bytesOf } from '../store/value-size.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeFleet, keys } from '../store/records/index.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import { attemptCloudRequest } from './cloud-request.js';
import type { FleetDependencies } from './dependencies.js';
import { offerKey } from './offers.js';
import { RefusedOffers } from './refused-offers.js';
import { newBatches, type NewBatch } from './rental-batches.js';
import type { RentingLeadership } from './renting-leadership.js';

/** Maximum number of machines that the cloud rents out per request. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** Answers are recorded together: after the first, the others are awaited for a list lag divided by this. */
const BATCHING_DIVISOR = 3;
/**
 * Writes of a transaction in addition to the batches and one shard for each live controller: the fleet's record and the
 * counter of first claims.
 */
const OTHER_WRITES = 2;

/** Limits of the cloud and of the state service. */
export interface RentalRequestsOptions {
  /** How far the cloud's machine list lags behind, in milliseconds. */
  listLagMs: number;
  /** Maximum number of writes in one transaction of the state service. */
  maxWrites: number;
  /** Size limit of one stored value, in bytes. */
  maxValueBytes: number;
}

/** Answered requests to be recorded in one transaction, and the machines that were rented for them. */
interface AnsweredRequests {
  requests: RentalRequest[];
  batches: NewBatch[];
  machineIds: string[];
}

/** Records requests for the wanted offers, sends them, and records their answers. */
export class RentalRequests {
  /** Requests that are not recorded yet; their ids are empty. */
  private wantedRequests: RentalRequest[] = [];
  /** Ids of requests that have been sent but not answered. */
  private readonly inFlight = new Set<string>();
  /** Whether the next requests wait for the rate limit of the cloud. */
  private isSendScheduled = false;
  /** Request id to the rented machines; null if the cloud had no capacity or refused the request. */
  private readonly answers = new Map<string, string[] | null>();
  /** When the first answer that is not recorded yet arrived, in milliseconds of the monotonic clock. */
  private answeredSince = -Infinity;
  private readonly refusals: RefusedOffers;

  constructor(
    private readonly options: RentalRequestsOptions,
    private readonly dependencies: FleetDependencies,
    private readonly leadership: RentingLeadership,
  ) {
    this.refusals = new RefusedOffers(dependencies.clock, options.listLagMs);
  }

  /** Proposals that record answers and requests. */
  sources(): ProposalSource[] {
    return [
      { name: 'rented', propose: () => this.proposeAnswers() },
      { name: 'rent', propose: () => this.proposeRequests() },
    ];
  }

  /** Keys of offers that must not be requested now because the cloud recently had no capacity for them. */
  refusedOffers(): ReadonlySet<string> {
    return this.refusals.current();
  }

  /** Sets the offers to request. They replace earlier ones that are not recorded yet. */
  setWantedOffers(offers: readonly RentalOffer[]): void {
    // One request for each offer: its answer shows whether the cloud has more machines of that kind.
    const requests = new Map<string, RentalRequest>();
    for (const offer of offers) {
      const request = requests.get(offerKey(offer));
      if (!request) requests.set(offerKey(offer), { requestId: '', ...offer, count: 1 });
      else if (request.count < MAX_MACHINES_PER_REQUEST) request.count++;
    }
    this.wantedRequests = [...requests.values()];
  }

  /** Sends recorded requests that have no answer yet, within the rate limit of the cloud. */
  send(): void {
    if (!this.leadership.isHeld) return;
    const { state, cloudLimiter } = this.dependencies;
    for (const request of state.fleet?.requests ?? []) {
      if (this.inFlight.has(request.requestId) || this.answers.has(request.requestId)) continue;
      const waitMs = cloudLimiter.waitMs(1);
      if (waitMs > 0) {
        this.scheduleSend(waitMs);
        break;
      }
      cloudLimiter.take(1);
      this.sendRequest(request);
    }
  }

  private sendRequest(request: RentalRequest): void {
    const { cloud, log, wake } = this.dependencies;
    this.inFlight.add(request.requestId);
    void attemptCloudRequest(log, 'rent', async () => {
      const machineIds = await cloud.rent(request);
      const received = machineIds?.length ?? 0;
      log.info({ ...request, received }, 'rental request answered');
      this.refusals.recordAnswer(offerKey(request), request.count, received);
      this.answers.set(request.requestId, machineIds);
      wake();
    }).finally(() => this.inFlight.delete(request.requestId));
  }

  /**
   * Sends the next requests as soon as the rate limit allows it, not only on the next periodic run: a fleet that starts
   * without machines needs many requests.
   */
  private scheduleSend(waitMs: number): void {
    if (this.isSendScheduled) return;
    this.isSendScheduled = true;
    this.dependencies.clock.after(waitMs, () => {
      this.isSendScheduled = false;
      this.send();
    });
  }

  /** Records the wanted requests, under ids that are never reused. */
  private proposeRequests(): Proposal | null {
    const { state, domainManager } = this.dependencies;
    const { fleet } = state;
    if (this.wantedRequests.length === 0 || !fleet || fleet.requests.length > 0) return null;
    if (!this.leadership.isHeld) return null;
    const requests = this.wantedRequests.map((request, index) => ({
      ...request,
      requestId: `r-${String(fleet.lastRequestNumber + 1 + index)}`,
    }));
    this.wantedRequests = [];
    const next: FleetRecord = {
      ...fleet,
      lastRequestNumber: fleet.lastRequestNumber + requests.length,
      requests,
    };
    return {
      transaction: {
        conditions: [domainManager.ownershipCondition(), state.unchangedCondition(keys.fleet)],
        writes: [{ put: keys.fleet, value: encodeFleet(next) }],
      },
      onSettled: (outcome) => {
        if (outcome.kind === 'done') this.send();
      },
    };
  }

  /** Records answers: the machines as batches, and an owner for each machine. */
  private proposeAnswers(): Proposal | null {
    const { state, domainManager } = this.dependencies;
    const { fleet } = state;
    if (!fleet || !this.leadership.isHeld || this.isAwaitingAnswers(fleet)) return null;
    const { requests, batches, machineIds } = this.answeredRequests(fleet);
    if (requests.length === 0) return null;
    const next: FleetRecord = {
      ...fleet,
      requests: fleet.requests.filter((request) => !requests.includes(request)),
    };
    const writesLeft = this.options.maxWrites - batches.length - 1;
    const assignment = domainManager.unowned.assignNew(machineIds, writesLeft);
    return {
      transaction: {
        conditions: [
          domainManager.ownershipCondition(),
          state.unchangedCondition(keys.fleet),
          ...assignment.conditions,
          ...batches.map(({ put }) => ({ key: put, modRevision: 0 })),
        ],
        writes: [{ put: keys.fleet, value: encodeFleet(next) }, ...batches, ...assignment.writes],
      },
      onSettled: (outcome) => {
        if (outcome.kind !== 'done') return;
        for (const { requestId } of requests) this.answers.delete(requestId);
      },
    };
  }

  /**
   * Whether to wait for further answers before any is recorded. Answers are batched because each recording changes the
   * shards of all domains.
   */
  private isAwaitingAnswers({ requests }: FleetRecord): boolean {
    const now = this.dependencies.clock.now();
    if (!requests.some(({ requestId }) => this.answers.has(requestId))) this.answeredSince = now;
    const isAnyUnanswered = requests.some(({ requestId }) => !this.answers.has(requestId));
    return isAnyUnanswered && now - this.answeredSince < this.options.listLagMs / BATCHING_DIVISOR;
  }

  /** As many answered requests as fit into one transaction. */
  private answeredRequests(fleet: FleetRecord): AnsweredRequests {
    const { state, clock } = this.dependencies;
    const { maxWrites, maxValueBytes } = this.options;
    const maxBatches = maxWrites - state.liveness.size - OTHER_WRITES;
    const answered: AnsweredRequests = { requests: [], batches: [], machineIds: [] };
    let bytes = 0;
    for (const request of fleet.requests) {
      const answer = this.answers.get(request.requestId);
      if (answer === undefined) continue;
      const machineIds = (answer ?? []).filter((machineId) => !state.machines.has(machineId));
      const batches = newBatches(request, machineIds, {
        maxValueBytes,
        recordedAt: clock.wallClock(),
      });
      bytes += batches.reduce((sum, { value }) => sum + bytesOf(value), 0);
      if (answered.batches.length + batches.length > maxBatches) break;
      // The other half is for the shards of the live controllers.
      if (answered.requests.length > 0 && bytes > MAX_TRANSACTION_BYTES / 2) break;
      answered.requests.push(request);
      answered.batches.push(...batches);
      answered.machineIds.push(...machineIds);
    }
    return answered;
  }
}
