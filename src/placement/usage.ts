import { placedCount, waitingCount } from '../jobs/life.js';
import type { ResourceAmount, JobRecord } from '../store/records.js';
import { PRIORITIES } from './plan.js';

interface Share {
  team: string;
  rank: number;
  cpus: number;
  cards: number;
  due: boolean;
}

/** What the jobs use and which of them wait, kept up to date job by job: no plan needs to walk all of them. */
export class QueueUsage {
  /** Jobs with tasks that wait for a machine. */
  readonly waiting = new Set<string>();
  /** CPUs that work with deadlines has now. */
  dueCpus = 0;
  /** Team -> what it uses, by rank. */
  private readonly teams = new Map<string, ResourceAmount[]>();
  private readonly known = new Map<string, Share>();

  note(uid: string, job: JobRecord | undefined): void {
    const before = this.known.get(uid);
    if (before) this.count(before, -1);
    this.known.delete(uid);
    this.waiting.delete(uid);
    if (!job) return;
    if (waitingCount(job) > 0) this.waiting.add(uid);
    const tasks = placedCount(job);
    if (tasks === 0) return;
    const { owner, cpus, cards, due_s } = job.s;
    const share: Share = {
      team: owner,
      rank: PRIORITIES.indexOf(job.s.rank),
      cpus: cpus * tasks,
      cards: cards * tasks,
      due: due_s !== null,
    };
    this.known.set(uid, share);
    this.count(share, 1);
  }

  /** What a team uses for work of lower rank than this. */
  below(team: string, rank: JobRecord['s']['rank']): ResourceAmount {
    const lower = { cpus: 0, cards: 0 };
    for (const { cpus, cards } of (this.teams.get(team) ?? []).slice(
      PRIORITIES.indexOf(rank) + 1,
    )) {
      lower.cpus += cpus;
      lower.cards += cards;
    }
    return lower;
  }

  /** Whether anybody has work of lower rank than this on a machine. */
  anyBelow(rank: JobRecord['s']['rank']): boolean {
    return [...this.teams.keys()].some((team) => {
      const { cpus, cards } = this.below(team, rank);
      return cpus > LEAST || cards > LEAST;
    });
  }

  private count({ team, rank, cpus, cards, due }: Share, sign: 1 | -1): void {
    const ranks = this.teams.get(team) ?? PRIORITIES.map(() => ({ cpus: 0, cards: 0 }));
    this.teams.set(team, ranks);
    const sum = ranks[rank];
    if (sum) {
      sum.cpus += sign * cpus;
      sum.cards += sign * cards;
    }
    if (due) this.dueCpus += sign * cpus;
  }
}

/** What sums that are added to and taken from may be off by. */
const LEAST = 1e-6;
