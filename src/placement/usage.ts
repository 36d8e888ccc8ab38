import { allocatedCount, waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { ResourceAmount } from '../model/resources.js';
import { PRIORITIES } from './plan.js';

interface Share {
  team: string;
  priority: number;
  cpus: number;
  gpus: number;
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
    const tasks = allocatedCount(job);
    if (tasks === 0) return;
    const { team: owner, cpus, gpus: cards, deadlineSeconds: due_s } = job.spec;
    const share: Share = {
      team: owner,
      priority: PRIORITIES.indexOf(job.spec.priority),
      cpus: cpus * tasks,
      gpus: cards * tasks,
      due: due_s !== null,
    };
    this.known.set(uid, share);
    this.count(share, 1);
  }

  /** What a team uses for work of lower rank than this. */
  below(team: string, rank: JobRecord['spec']['priority']): ResourceAmount {
    const lower = { cpus: 0, gpus: 0 };
    for (const { cpus, gpus: cards } of (this.teams.get(team) ?? []).slice(
      PRIORITIES.indexOf(rank) + 1,
    )) {
      lower.cpus += cpus;
      lower.gpus += cards;
    }
    return lower;
  }

  /** Whether anybody has work of lower rank than this on a machine. */
  anyBelow(rank: JobRecord['spec']['priority']): boolean {
    return [...this.teams.keys()].some((team) => {
      const { cpus, gpus: cards } = this.below(team, rank);
      return cpus > LEAST || cards > LEAST;
    });
  }

  private count({ team, priority: rank, cpus, gpus: cards, due }: Share, sign: 1 | -1): void {
    const ranks = this.teams.get(team) ?? PRIORITIES.map(() => ({ cpus: 0, gpus: 0 }));
    this.teams.set(team, ranks);
    const sum = ranks[rank];
    if (sum) {
      sum.cpus += sign * cpus;
      sum.gpus += sign * cards;
    }
    if (due) this.dueCpus += sign * cpus;
  }
}

/** What sums that are added to and taken from may be off by. */
const LEAST = 1e-6;
