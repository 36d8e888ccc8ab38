/** Registers this process as the holder of the own domain, under a new incarnation. */
import type { Condition, CommitOutcome } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import type { Domain } from '../model/domain.js';
import type { TeamQuota } from '../model/team.js';
import { nextFencingTokenRange } from '../store/fencing-token-counter.js';
import { encodeDomainHead, encodeLiveness, keys } from '../store/records/index.js';
import type { AllocationAdopter } from './allocation-adopter.js';
import type { DomainContext } from './context.js';
import type { LivenessLease } from './liveness-lease.js';
import type { QuotaManager } from './quota-manager.js';
import type { SelfFencing } from './self-fencing.js';

/** Status with which the state service refuses a commit whose lease does not exist. */
const STATUS_BAD_REQUEST = 400;

/** Inputs of a registration, and the modules that are notified of it. */
export interface DomainRegistrationDependencies {
  teams: ReadonlyMap<string, TeamQuota>;
  lease: LivenessLease;
  quota: QuotaManager;
  selfFencing: SelfFencing;
  allocationAdopter: AllocationAdopter;
  /** Called after the registration is committed. */
  onRegistered: () => void;
}

/** Proposes the registration once there is a lease. */
export class DomainRegistration {
  constructor(
    private readonly context: DomainContext,
    private readonly dependencies: DomainRegistrationDependencies,
  ) {}

  /**
   * All machines of the domain get a higher fencing token. Commits that an earlier incarnation still has in flight fail
   * on their conditions. The token is raised in the domain's head alone, regardless of the number of machines: if all
   * controllers restart at the same time, the registration must not be delayed by the limit on writes.
   */
  propose(): Proposal | null {
    const { state, ownDomain } = this.context;
    const { lease, selfFencing } = this.dependencies;
    if (ownDomain.isRegistered || lease.id === null || selfFencing.isReleased) return null;
    const before = ownDomain.record;
    const incarnation = before.incarnation + 1;
    const { fencingToken, condition, write } = nextFencingTokenRange(state);
    const newTeams = this.teamsWithoutQuota(before);
    const conditions = [
      ownDomain.ownershipCondition(),
      condition,
      // An initial quota may be assigned only if the quotas of the other domains have not changed.
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
          write,
        ],
      },
      onSettled: (outcome) => {
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
      const fields = { incarnation, fencingToken, machines: machines.size };
      this.context.log.info(fields, 'domain registered');
      onRegistered();
    } else if (outcome.kind === 'refused' && outcome.status === STATUS_BAD_REQUEST) lease.discard();
  }

  private teamsWithoutQuota({ quota }: Domain): string[] {
    return [...this.dependencies.teams.keys()].filter((team) => !(team in quota));
  }

  private quotaWith(newTeams: readonly string[], before: Domain): Domain['quota'] {
    const { quota } = this.dependencies;
    const initialQuotas = newTeams.map((team) => [team, quota.initialQuota(team)] as const);
    return { ...before.quota, ...Object.fromEntries(initialQuotas) };
  }

  /** Conditions that the heads of all other domains are unchanged, and that missing heads are still missing. */
  private peerConditions(): Condition[] {
    const { options, state } = this.context;
    const controllers = new Set([...options.peers, ...state.domains.keys()]);
    controllers.delete(options.self);
    return [...controllers].map((controller) => state.unchangedCondition(keys.domain(controller)));
  }
}
