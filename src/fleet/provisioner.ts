import { compareNames } from '../util/order.js';
import type { FleetRecord } from '../model/domain.js';
import type { MachineBatch, MachineType, Rental } from '../model/machine.js';
import {
  encodeFleet,
  encodeMachineBatch,
  keys,
  machineBatchBytes,
} from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import type { Placer } from '../placement/placer.js';
import type { Candidate } from '../placement/types.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { Condition } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import type { State } from '../store/state.js';
import type { WorkerManager } from '../workers/manager.js';
import { surplusMachines, wantedRentals } from './plan.js';
import { attemptCloud } from './cloud-attempt.js';
import { MachineReturns } from './machine-returns.js';
import { MOST_RENTED, RentalClaims } from './rental-claims.js';

export interface ProvisionerOptions {
  self: string;
  rent: boolean;
  idleBoots: number;
  listLagMs: number;
  leaseMs: number;
  txnOps: number;
  valueBytes: number;
}

/** Boots that take this many times the usual are given up. */
const LATE_BOOTS = 4;
/** Share of its machines up to which a controller takes silence for the machine's own trouble. */
const MOST_QUIET = 0.25;
/** Worker leases after which a machine that says nothing is given back, alone and among many. */
const SILENT_LEASES = 4;
const SILENT_LEASES_MANY = 20;

/** Rents and returns machines. Renting is one controller's duty at a time; each owner returns its own. */
export class Provisioner {
  machineTypes: ReadonlyMap<string, MachineType> = new Map();
  private machineTypesReadAt = -Infinity;
  private listedAt = -Infinity;
  private readonly idleSince = new Map<string, number>();
  private listed = new Map<string, Rental>();
  private readonly unseen = new Map<string, number>();
  private drainRequests = new Map<string, string>();
  private unrecordedMachines = new Map<string, MachineBatch>();
  private readonly claims: RentalClaims;
  private readonly returns: MachineReturns;

  constructor(
    private readonly options: ProvisionerOptions,
    private readonly cloud: CloudClient,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly workerManager: WorkerManager,
    private readonly placer: Placer,
    private readonly limiter: RateLimiter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
  ) {
    const mayRent = (): boolean => this.onDuty();
    this.claims = new RentalClaims(
      options,
      cloud,
      state,
      domainManager,
      limiter,
      clock,
      log,
      wake,
      mayRent,
    );
    this.returns = new MachineReturns(
      options.txnOps,
      cloud,
      state,
      domainManager,
      workerManager,
      limiter,
      clock,
      log,
      wake,
      mayRent,
    );
  }

  sources(): ProposalSource[] {
    return [
      { name: 'duty', propose: () => this.proposeDuty() },
      ...this.claims.sources(),
      ...this.returns.sources(),
      { name: 'mark machine', propose: () => this.proposeDrains() },
    ];
  }

  /** A machine whose record is gone was given back; the list goes on showing it for a while. */
  noteMachine(id: string): void {
    if (!this.state.machines.has(id)) this.returns.noteGone(id);
  }

  /**
   * One look at what is wanted and what is; called about once a second. Returns how long looking took, in milliseconds:
   * waiting for the cloud is no work.
   */
  async tick(): Promise<number> {
    await this.refreshMachineTypes();
    if (!this.domainManager.isRegistered) return 0;
    if (this.onDuty()) await this.refreshList();
    const from = this.clock.now();
    this.look();
    return this.clock.now() - from;
  }

  private look(): void {
    if (this.onDuty()) {
      this.claims.ask();
      this.findIdle();
      this.planRentals();
    }
    this.watchBoots();
    this.markOwn();
    this.returns.deleteDrained();
    this.wake();
  }

  private async refreshMachineTypes(): Promise<void> {
    const now = this.clock.now();
    const every = this.options.listLagMs * (this.machineTypes.size === 0 ? 0.1 : 5);
    if (now - this.machineTypesReadAt < every || this.limiter.waitMs(1) > 0) return;
    this.machineTypesReadAt = now;
    this.limiter.take(1);
    await attemptCloud(this.log, 'machine types', async () => {
      this.machineTypes = await this.cloud.machineTypes();
      this.placer.machineTypesChanged();
    });
  }

  private onDuty(): boolean {
    const { fleet } = this.state;
    return (
      fleet?.holder === this.options.self && fleet.incarnation === this.domainManager.incarnation
    );
  }

  private proposeDuty(): Proposal | null {
    const { fleet } = this.state;
    if (!this.domainManager.isRegistered || this.onDuty()) return null;
    // A holder that restarted takes the duty again itself; one that is gone leaves it to the first.
    if (fleet && fleet.holder !== this.options.self) {
      if (this.state.liveness.has(fleet.holder)) return null;
      const first = [...this.state.liveness.keys()].sort(compareNames)[0];
      if (first !== this.options.self) return null;
    }
    const next: FleetRecord = {
      holder: this.options.self,
      incarnation: this.domainManager.incarnation,
      lastRequestNumber: fleet?.lastRequestNumber ?? 0,
      requests: fleet?.requests ?? [],
    };
    return {
      transaction: {
        conditions: [this.domainManager.ownershipCondition(), this.state.unchanged(keys.fleet)],
        writes: [{ put: keys.fleet, value: encodeFleet(next) }],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done')
          this.log.info({ claims: next.requests.length }, 'on renting duty');
      },
    };
  }

  private planRentals(): void {
    const { fleet } = this.state;
    if (!this.options.rent || !fleet || fleet.requests.length > 0 || this.machineTypes.size === 0)
      return;
    const places: Candidate[] = [];
    for (const [id, box] of this.state.machines) {
      const flavor = this.machineTypes.get(box.machineType);
      if (!flavor || box.drainReason !== undefined) continue;
      // Not up yet, as no address is known: room that is on its way.
      const coming = box.address === '' && !this.placer.candidates.isCordoned(id);
      const free = coming
        ? this.placer.candidates.candidate(id, box, flavor)
        : this.placer.candidates.usableCandidate(id);
      if (free) places.push(free);
    }
    const snapshot = this.placer.snapshots.create(places, this.placer.waitingJobs());
    const most = MOST_RENTED * this.options.txnOps;
    const refused = this.claims.refused();
    const { offers, needed } = wantedRentals(snapshot, this.machineTypes, refused, most);
    for (const id of needed) this.idleSince.delete(id);
    this.claims.want(offers);
  }

  private async refreshList(): Promise<void> {
    const now = this.clock.now();
    if (now - this.listedAt < this.options.listLagMs / 2 || this.limiter.waitMs(1) > 0) return;
    this.listedAt = now;
    this.limiter.take(1);
    await attemptCloud(this.log, 'machine list', async () => {
      this.listed = new Map(
        (await this.cloud.rentals()).map((rental) => [rental.machineId, rental]),
      );
      this.compareList();
    });
  }

  /** The list lags, so it proves nothing; it shows what to look after. */
  private compareList(): void {
    const now = this.clock.now();
    const long = this.options.listLagMs * 3;
    for (const rental of this.listed.values()) {
      const known = this.state.machines.get(rental.machineId);
      if (rental.phase === 'failed') {
        if (known) this.requestDrain(rental.machineId, 'failed');
        else if (!this.returns.isGone(rental.machineId)) this.adopt(rental, 'failed');
      } else if (
        !known &&
        rental.rentedSeconds * 1000 > long &&
        !this.returns.isGone(rental.machineId)
      ) {
        // Rented by a request that was carried out late, or by a controller that died over it.
        this.adopt(rental, undefined);
      }
    }
    for (const [id, box] of this.state.machines) {
      const present = this.listed.has(id) || this.clock.wall() - box.recordedAt < long;
      if (present) this.unseen.delete(id);
      else if (!this.unseen.has(id)) this.unseen.set(id, now);
      const missing = now - (this.unseen.get(id) ?? now) > this.options.listLagMs * 2;
      const owner = this.state.ownerOf(id);
      if (missing && (!owner || this.placer.candidates.isCordoned(id)))
        this.requestDrain(id, 'lost');
    }
    this.returns.forgetOlderThan(long * 2);
  }

  private adopt(rental: Rental, going: string | undefined): void {
    const { machineId: uid, address, machineType: flavor, zone: site, spot: reclaimable } = rental;
    const at = this.clock.wall() - rental.rentedSeconds * 1000;
    const lot: MachineBatch = {
      machineType: flavor,
      zone: site,
      spot: reclaimable,
      recordedAt: at,
      addresses: { [uid]: '' },
    };
    if (going !== undefined) lot.drainReasons = { [uid]: going };
    this.log.info({ box: uid, phase: rental.phase, address }, 'machine without a record');
    this.unrecordedMachines.set(uid, lot);
  }

  /** Each owner knows whether it has ever heard of a machine; for one without owner the duty looks on. */
  private watchBoots(): void {
    const wall = this.clock.wall();
    for (const [id, box] of this.state.machines) {
      if (box.address !== '' || box.drainReason !== undefined) continue;
      const mine = this.domainManager.fencingTokenFor(id) !== null;
      if (!mine && (this.state.ownerOf(id) || !this.onDuty())) continue;
      if ((this.workerManager.session(id)?.address ?? '') !== '') continue;
      const ready = (this.machineTypes.get(box.machineType)?.bootSeconds ?? 60) * 1000;
      if (wall - box.recordedAt > ready * LATE_BOOTS) this.requestDrain(id, 'never came up');
    }
  }

  private findIdle(): void {
    const now = this.clock.now();
    const idle: Candidate[] = [];
    let free = 0;
    let used = 0;
    for (const [id, box] of this.state.machines) {
      const place = box.address === '' ? null : this.placer.candidates.usableCandidate(id);
      const busy = this.state.jobsByMachine.has(id);
      if (!place || busy) this.idleSince.delete(id);
      else if (!this.idleSince.has(id)) this.idleSince.set(id, now);
      if (!place) continue;
      if (place.capacity.gpus === 0) free += place.free.cpus;
      used += place.capacity.cpus - place.free.cpus;
      const ready = (this.machineTypes.get(box.machineType)?.bootSeconds ?? 60) * 1000;
      const since = this.idleSince.get(id) ?? now;
      if (!busy && now - since > ready * this.options.idleBoots) idle.push(place);
    }
    if (!this.options.rent) return;
    const rate = (place: Candidate): number => {
      const flavor = this.machineTypes.get(place.machineType);
      return (place.spot ? flavor?.spotPricePerHour : flavor?.pricePerHour) ?? 0;
    };
    for (const place of surplusMachines(idle, free, used, rate))
      this.requestDrain(place.id, 'idle');
  }

  private holdsService(id: string): boolean {
    for (const uid of this.state.jobsByMachine.get(id) ?? [])
      if (this.state.jobs.get(uid)?.spec.kind === 'service') return true;
    return false;
  }

  private markOwn(): void {
    const now = this.clock.now();
    const own = [...this.domainManager.ownDomain().machines.keys()];
    const up = own.filter((id) => (this.workerManager.session(id)?.address ?? '') !== '');
    const quiet = up.filter((id) => !this.workerManager.isUsable(id)).length;
    // When many are silent at once, the fault is a zone's or this node's own: they may well be running.
    const alone =
      this.options.rent && up.length > 2 && quiet <= Math.max(1, up.length * MOST_QUIET);
    for (const id of up) {
      const box = this.state.machines.get(id);
      const machine = this.workerManager.session(id);
      if (!box || !machine || box.drainReason !== undefined) continue;
      const hold = this.workerManager.cordonReason(machine);
      if (hold === undefined) continue;
      const silence = now - machine.lastContactAt;
      const patience = alone ? SILENT_LEASES : SILENT_LEASES_MANY;
      if (hold === 'sick') this.requestDrain(id, 'sick');
      // Announced, then silent: taken back. A silent one without notice may only be cut off.
      else if (machine.preemptionAnnounced && this.workerManager.isSilent(machine))
        this.requestDrain(id, 'taken');
      // A few silent machines among many that speak are dead, hung or cut off by themselves. Deleting one is
      // proof that its tasks are gone, well before its lease is over; services wait for that.
      else if (alone && hold === 'silent' && this.holdsService(id))
        this.requestDrain(id, 'unreachable');
      // Many at once are a zone's trouble: what stands there goes on, and is worth waiting for (inc-414e).
      else if (machine.leaseExpired && silence > this.options.leaseMs * patience)
        this.requestDrain(id, 'silent');
    }
  }

  private requestDrain(id: string, why: string): void {
    if (this.state.machines.get(id)?.drainReason === undefined) this.drainRequests.set(id, why);
  }

  private proposeDrains(): Proposal | null {
    const lots = new Map<string, MachineBatch>();
    const guards: Condition[] = [this.domainManager.ownershipCondition()];
    const marked: { id: string; why: string }[] = [];
    const room = new TransactionBudget(this.options.txnOps);
    for (const [id, lot] of this.unrecordedMachines) {
      if (this.state.machines.has(id) || this.state.machineBatches.has(id)) {
        this.unrecordedMachines.delete(id);
        continue;
      }
      if (!room.take(machineBatchBytes(lot))) break;
      this.unrecordedMachines.delete(id);
      lots.set(id, lot);
      guards.push({ key: keys.machineBatch(id), modRevision: 0 });
    }
    for (const [id, why] of this.drainRequests) {
      const box = this.state.machines.get(id);
      const name = box?.batch ?? '';
      const lot = lots.get(name) ?? this.state.machineBatches.get(name);
      const isMoot =
        !box ||
        !lot ||
        box.drainReason !== undefined ||
        (why === 'idle' && this.state.jobsByMachine.has(id));
      // The reasons for all machines of a batch are within its bytes already.
      if (!isMoot && !lots.has(name) && !room.take(machineBatchBytes(lot))) break;
      this.drainRequests.delete(id);
      if (isMoot) continue;
      if (!lots.has(name)) guards.push(this.state.unchanged(keys.machineBatch(name)));
      lots.set(name, { ...lot, drainReasons: { ...lot.drainReasons, [id]: why } });
      marked.push({ id, why });
    }
    if (lots.size === 0) return null;
    const apply = [...lots].map(([name, lot]) => ({
      put: keys.machineBatch(name),
      value: encodeMachineBatch(lot),
    }));
    return {
      transaction: { conditions: guards, writes: apply },
      settled: (outcome) => {
        if (outcome.kind === 'done' && marked.length > 0)
          this.log.info({ marked }, 'machines are to go');
        this.returns.deleteDrained();
      },
    };
  }
}
