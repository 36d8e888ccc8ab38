/** Resource usage of the jobs and the set of waiting jobs, updated job by job so that no plan has to scan all jobs. */
import { allocatedCount, waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord, Priority } from '../model/job.js';
import { RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import { PRIORITIES, priorityIndex } from './priority.js';

/** Resources that one job uses. */
interface JobUsage extends ResourceAmount {
  team: string;
  priority: Priority;
  hasDeadline: boolean;
}

/** Incrementally updated totals over all jobs. */
export class QueueUsage {
  /** Jobs with tasks that wait for a machine. */
  readonly waitingJobs = new Set<string>();
  /** CPUs that jobs with deadlines use now. */
  deadlineCpus = 0;
  /** By team, what it uses for each priority (see `priorityIndex`). */
  private readonly usageByTeam = new Map<string, ResourceAmount[]>();
  private readonly usageByJob = new Map<string, JobUsage>();

  /** Replaces what is counted for a job by its current record, which is undefined once the job is over. */
  update(jobId: string, job: JobRecord | undefined): void {
    const previous = this.usageByJob.get(jobId);
    if (previous) this.add(previous, -1);
    this.usageByJob.delete(jobId);
    this.waitingJobs.delete(jobId);
    if (!job) return;
    if (waitingCount(job) > 0) this.waitingJobs.add(jobId);
    const tasks = allocatedCount(job);
    if (tasks === 0) return;
    const usage = usageOf(job, tasks);
    this.usageByJob.set(jobId, usage);
    this.add(usage, 1);
  }

  /** What a team uses for priorities lower than the given one. */
  usageBelow(team: string, priority: Priority): ResourceAmount {
    const sum = { cpus: 0, gpus: 0 };
    const usage = this.usageByTeam.get(team);
    if (!usage) return sum;
    for (let index = priorityIndex(priority) + 1; index < usage.length; index++) {
      sum.cpus += usage[index]?.cpus ?? 0;
      sum.gpus += usage[index]?.gpus ?? 0;
    }
    return sum;
  }

  /** Whether any team has tasks of a priority lower than the given one on a machine. */
  hasUsageBelow(priority: Priority): boolean {
    for (const team of this.usageByTeam.keys()) {
      const { cpus, gpus } = this.usageBelow(team, priority);
      if (cpus > RESOURCE_EPSILON || gpus > RESOURCE_EPSILON) return true;
    }
    return false;
  }

  private add(usage: JobUsage, sign: 1 | -1): void {
    const byPriority =
      this.usageByTeam.get(usage.team) ?? PRIORITIES.map(() => ({ cpus: 0, gpus: 0 }));
    this.usageByTeam.set(usage.team, byPriority);
    const sum = byPriority[priorityIndex(usage.priority)];
    if (sum) {
      sum.cpus += sign * usage.cpus;
      sum.gpus += sign * usage.gpus;
    }
    if (usage.hasDeadline) this.deadlineCpus += sign * usage.cpus;
  }
}

function usageOf({ spec }: JobRecord, tasks: number): JobUsage {
  return {
    team: spec.team,
    priority: spec.priority,
    cpus: spec.cpus * tasks,
    gpus: spec.gpus * tasks,
    hasDeadline: spec.deadlineSeconds !== null,
  };
}
