import type { Clock } from '../clock.js';
import type { Flavor } from '../cloud/client.js';
import type { Keeper } from '../domain/keeper.js';
import { place } from '../jobs/life.js';
import type { Log } from '../log.js';
import type { Change, Guard } from '../store/client.js';
import type { Proposal, Source } from '../store/decider.js';
import { asBody, keys, type BoxRecord, type JobRecord, type TeamRecord } from '../store/records.js';
import type { State } from '../store/state.js';
import type { Steward } from '../workers/steward.js';
import { plan, type Place, type Placement, type Snapshot, type TeamShare } from './plan.js';
import { victims } from './preempt.js';
import { placeOf, snapshotOf } from './snapshot.js';

export interface PlacerFigures {
  self: string;
  txnOps: number;
  valueBytes: number;
  /** Zones in which controllers stand. */
  homes: ReadonlySet<string>;
  /** Whether the operators state an aim for guarantees. */
  guarantees: boolean;
}

/** Images remembered per machine beyond those in use there. */
const IMAGES_KEPT = 16;

/**
 * Every controller plans the whole fleet from its replica, and commits only what falls on its own domain.
 * The replicas being nearly alike, the plans rarely contend; where they do, the guards decide.
 */
export class Placer {
  private dirty = true;
  private readonly cached = new Map<string, Set<string>>();

  constructor(
    private readonly figures: PlacerFigures,
    private readonly state: State,
    private readonly keeper: Keeper,
    private readonly steward: Steward,
    private readonly teams: Map<string, TeamShare>,
    private readonly flavors: () => ReadonlyMap<string, Flavor>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Something that the plan depends on has changed. */
  touch(): void {
    this.dirty = true;
  }

  source(): Source {
    return { name: 'place', propose: () => this.propose() };
  }

  /** Notes which images a machine has been given, from what is recorded on it. */
  noteJob(job: JobRecord): void {
    for (const box of Object.keys(job.r)) {
      let images = this.cached.get(box);
      if (!images) this.cached.set(box, (images = new Set()));
      images.delete(job.s.image);
      images.add(job.s.image);
      if (images.size > IMAGES_KEPT) images.delete(images.values().next().value ?? '');
    }
  }

  noteBox(id: string): void {
    if (!this.state.boxes.has(id)) this.cached.delete(id);
  }

  /** The machine as a place for work, if work may be put there. */
  placeFor(id: string, box: BoxRecord): Place | null {
    const owner = this.state.ownerOf(id);
    const flavor = this.flavors().get(box.flavor);
    if (!owner || !flavor || box.hold !== undefined || box.going !== undefined) return null;
    const good =
      owner.host === this.figures.self ? this.steward.usable(id) : this.state.live.has(owner.host);
    return good ? placeOf(id, box, flavor, this.state, this.cached) : null;
  }

  snapshot(places: Place[]): Snapshot {
    const { homes, guarantees } = this.figures;
    const wall = this.clock.wall();
    return snapshotOf(this.state, this.teams, places, wall, homes, guarantees, this.flavors());
  }

  private propose(): Proposal | null {
    if (!this.dirty || !this.keeper.registered) return null;
    this.dirty = false;
    const places: Place[] = [];
    for (const [id, box] of this.state.boxes) {
      const spot = this.placeFor(id, box);
      if (spot) places.push(spot);
    }
    if (places.length === 0) return null;
    const snapshot = this.snapshot(places);
    const placements = plan(snapshot);
    return this.commit(placements) ?? this.borrow(placements) ?? this.preempt(snapshot, placements);
  }

  /** Marks tasks that are to stop; the steward halts them with time to save. */
  private preempt(snapshot: Snapshot, placements: Placement[]): Proposal | null {
    const { txnOps } = this.figures;
    const chosen = victims(snapshot, placements, txnOps, (box) => this.state.onBox.get(box) ?? []);
    const guards: Guard[] = [this.keeper.guard()];
    const apply: Change[] = [];
    const jobs = new Map<string, JobRecord>();
    for (const { uid, task, box } of chosen) {
      const job = jobs.get(uid) ?? this.state.jobs.get(uid);
      if (!job || this.keeper.termFor(box) === null) continue;
      if (!jobs.has(uid) && jobs.size >= txnOps) continue;
      jobs.set(uid, { ...job, stop: [...(job.stop ?? []), task] });
    }
    for (const [uid, job] of jobs) {
      const key = keys.job(uid);
      guards.push({ key, stamp: this.state.stampOf(key) });
      apply.push({ put: key, value: asBody(job) });
    }
    if (apply.length === 0) return null;
    return {
      txn: { guards, apply },
      settled: (outcome) => {
        this.dirty = true;
        if (outcome.kind === 'done') this.log.info({ chosen }, 'tasks are to stop for others');
      },
    };
  }

  /** Record before act: the launch is sent only once this has been committed. */
  private commit(placements: Placement[]): Proposal | null {
    const guards = new Map<string, number>();
    const apply: Change[] = [];
    const teams = new Set<string>();
    const guard = (key: string): void => {
      guards.set(key, this.state.stampOf(key));
    };
    let bytes = 0;
    let tasks = 0;
    for (const { uid, boxes } of placements) {
      const job = this.state.jobs.get(uid);
      if (!job) continue;
      const mine = boxes.filter((box) => this.keeper.termFor(box) !== null);
      if (mine.length === 0 || (job.s.shape === 'group' && mine.length < boxes.length)) continue;
      const ops = apply.length + teams.size + 1 + (teams.has(job.s.owner) ? 0 : 1);
      if (ops > this.figures.txnOps || guards.size + mine.length + 3 > this.figures.txnOps * 4)
        continue;
      const next = this.fitting(job, mine);
      if (!next) continue;
      const size = JSON.stringify(next.job).length;
      if (bytes + size > 48 * 1024) continue;
      bytes += size;
      teams.add(job.s.owner);
      guard(keys.job(uid));
      for (const box of new Set(next.boxes)) guard(keys.box(box));
      apply.push({ put: keys.job(uid), value: asBody(next.job) });
      tasks += next.boxes.length;
    }
    if (apply.length === 0) return null;
    for (const team of teams) {
      const key = keys.team(team);
      guard(key);
      const v = ((this.state.replica.get(key)?.value as TeamRecord | undefined)?.v ?? 0) + 1;
      apply.push({ put: key, value: asBody({ v }) });
    }
    const own = this.keeper.guard();
    const list: Guard[] = [own, ...[...guards].map(([key, stamp]) => ({ key, stamp }))];
    return {
      txn: { guards: list, apply },
      settled: (outcome) => {
        this.dirty = true;
        if (outcome.kind === 'done')
          this.log.debug({ jobs: apply.length - teams.size, tasks }, 'placed');
      },
    };
  }

  /** As many of the placements as the job's record can hold. */
  private fitting(job: JobRecord, boxes: string[]): { job: JobRecord; boxes: string[] } | null {
    for (let count = boxes.length; count > 0; count = Math.floor(count / 2)) {
      if (job.s.shape === 'group' && count < boxes.length) return null;
      const some = boxes.slice(0, count);
      const next = place(job, some);
      if (JSON.stringify(next).length < this.figures.valueBytes * 0.9)
        return { job: next, boxes: some };
    }
    return null;
  }

  /**
   * A gang that no single domain can hold is placed by the controller that owns most of the machines
   * chosen; it first takes the others from its peers, under a raised term.
   */
  private borrow(placements: Placement[]): Proposal | null {
    for (const { uid, boxes } of placements) {
      const job = this.state.jobs.get(uid);
      if (job?.s.shape !== 'group') continue;
      const counts = new Map<string, number>();
      for (const box of new Set(boxes)) {
        const host = this.state.ownerOf(box)?.host ?? '';
        counts.set(host, (counts.get(host) ?? 0) + 1);
      }
      if (counts.size < 2) continue;
      const [leader] = [...counts].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1));
      if (leader?.[0] !== this.figures.self) continue;
      for (const host of counts.keys()) {
        const domain = this.state.domains.get(host);
        if (host === this.figures.self || !domain) continue;
        const wanted = [...new Set(boxes)].filter((box) => box in domain.m);
        const proposal = this.keeper.move(host, domain, wanted, true);
        return {
          ...proposal,
          settled: (outcome) => {
            this.dirty = true;
            proposal.settled?.(outcome);
          },
        };
      }
    }
    return null;
  }
}
