/** Becomes the holder of the own domain as a new incarnation. */
import type { Condition, CommitOutcome } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import type { Domain } from '../model/domain.js';
import type { TeamQuota } from '../model/team.js';
import {
  encodeDomainHead,
  encodeFencingToken,
  encodeLiveness,
  keys,
} from '../store/records/index.js';
import type { AllocationAdopter } from './allocation-adopter.js';
import type { DomainContext } from './context.js';
import type { LivenessLease } from './liveness-lease.js';
import type { QuotaManager } from './quota-manager.js';
import type { SelfFencing } from './self-fencing.js';

/** The state service knows no such lease. */
const STATUS_BAD_REQUEST = 400;

/** What a registration rests on, and what follows from it. */
export interface DomainRegistrationDependencies {
  teams: ReadonlyMap<string, TeamQuota>;
  lease: LivenessLease;
  quota: QuotaManager;
  selfFencing: SelfFencing;
  allocationAdopter: AllocationAdopter;
  /** Called once the domain is held. */
  onRegistered: () => void;
}

/** Proposes the registration once there is a lease. */
export class DomainRegistration {
  constructor(
    private readonly context: DomainContext,
    private readonly dependencies: DomainRegistrationDependencies,
  ) {}

  /**
   * All machines of the domain come under a raised fencing token. Whatever an earlier incarnation still has in
   * flight fails on its condition. The head alone says so, however many machines there are: a restart while all
   * others restart too must not wait for writes.
   */
  propose(): Proposal | null {
    const { state, ownDomain } = this.context;
    const { lease, selfFencing } = this.dependencies;
    if (ownDomain.isRegistered || lease.id === null || selfFencing.isReleased) return null;
    const before = ownDomain.record;
    const incarnation = before.incarnation + 1;
    const fencingToken = state.fencingToken + 1;
    const newTeams = this.teamsWithoutPart(before);
    const conditions = [
      ownDomain.ownershipCondition(),
      state.unchanged(keys.fencingToken),
      // A part of a limit is new only while the others' are known not to change.
      ...(newTeams.length > 0 ? this.peerConditions() : []),
    ];
    const head = { incarnation, fencingToken, quota: this.quotaWith(newTeams, before) };
    const { controller } = ownDomain;
    return {
      takesOver: true,
      transaction: {
        conditions,
        writes: [
          { put: keys.domain(controller), value: encodeDomainHead(head) },
          {
            put: keys.liveness(controller),
            value: encodeLiveness({ incarnation }),
            lease: lease.id,
          },
          { put: keys.fencingToken, value: encodeFencingToken(fencingToken) },
        ],
      },
      settled: (outcome) => {
        this.settle(outcome, { ...head, machines: before.machines });
      },
    };
  }

  private settle(outcome: CommitOutcome, domain: Domain): void {
    const { lease, allocationAdopter, onRegistered } = this.dependencies;
    if (outcome.kind === 'done') {
      const { incarnation, fencingToken, machines } = domain;
      this.context.ownDomain.setIncarnation(incarnation);
      allocationAdopter.requestScan();
      const facts = { incarnation, fencingToken, machines: machines.size };
      this.context.log.info(facts, 'domain registered');
      onRegistered();
    } else if (outcome.kind === 'refused' && outcome.status === STATUS_BAD_REQUEST) lease.discard();
  }

  private teamsWithoutPart({ quota }: Domain): string[] {
    return [...this.dependencies.teams.keys()].filter((team) => !(team in quota));
  }

  private quotaWith(newTeams: readonly string[], before: Domain): Domain['quota'] {
    const { quota } = this.dependencies;
    const firstParts = newTeams.map((team) => [team, quota.firstPart(team)] as const);
    return { ...before.quota, ...Object.fromEntries(firstParts) };
  }

  /** The heads of all other domains are unchanged, and those that are absent still are. */
  private peerConditions(): Condition[] {
    const { options, state } = this.context;
    const hosts = new Set([...options.peers, ...state.domains.keys()]);
    hosts.delete(options.self);
    return [...hosts].map((host) => state.unchanged(keys.domain(host)));
  }
}
