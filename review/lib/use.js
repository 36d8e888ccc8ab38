// What is on the machines, as the workers see it.
export class Use {
  constructor() {
    this.on = new Map();
    this.starts = new Map();
    this.done = new Map();
    this.hooks = {
      onStart: (task) => {
        this.on.set(`${task.uid} ${task.key}`, task);
        this.starts.set(task.jobId, (this.starts.get(task.jobId) ?? 0) + 1);
      },
      onEnd: (task, worker, why) => {
        this.on.delete(`${task.uid} ${task.key}`);
        if (why !== 'done') return;
        if (!this.done.has(task.jobId)) this.done.set(task.jobId, new Set());
        this.done.get(task.jobId).add(task.task);
      },
    };
  }

  tasksOf(jobId) {
    return [...this.on.values()].filter((task) => task.jobId === jobId).length;
  }

  doneOf(jobId) {
    return this.done.get(jobId)?.size ?? 0;
  }

  /** CPUs that a team's tasks use. */
  cpusOf(team) {
    let cpus = 0;
    for (const { job } of this.on.values()) if (job.owner === team) cpus += job.cpus;
    return cpus;
  }

  /** How many more such tasks the machines that are on the network have room for. */
  roomFor(cluster, job) {
    let room = 0;
    for (const worker of cluster.workers.values()) {
      if (worker.cut) continue;
      const free = worker.free();
      room += Math.floor(Math.min(free.cpus / job.cpus, free.memory_gb / job.memory_gb) + 1e-6);
    }
    return room;
  }
}
