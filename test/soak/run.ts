/** One soak run: starts a cluster, injects faults at their times, and collects the findings. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SeededRandom } from '../fakes/time.js';
import { Cluster } from './cluster.js';
import { injectFault } from './faults.js';
import { drawJob } from './job.js';
import type { Network } from './options.js';
import type { SoakFault } from './schedule.js';

export interface SoakRun {
  seed: number;
  seconds: number;
  faults: readonly SoakFault[];
  /** Path of the service bundle that the controllers run. */
  program: string;
  network: Network;
}

export interface SoakResult {
  findings: string[];
  /** The last events before the first finding. */
  events: readonly string[];
  /** Number of task starts. */
  starts: number;
  /** Number of jobs with a final state. */
  finals: number;
}

/** Interval between submissions of jobs, in seconds. */
const JOB_INTERVAL_S = 0.7;
const CANCELLED_SHARE = 0.15;
/** Minimum number of task starts; with fewer, the run had too little work to prove anything. */
const MIN_STARTS = 3;
/** Counters of detected inconsistencies. They are absent from the metrics until first incremented, so any match is a fault. */
const ERROR_COUNTERS = /^tackvane_(index_differences|limit_violations)_total\{.*$/gm;

export async function runSoak({
  seed,
  seconds,
  faults,
  program,
  network,
}: SoakRun): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), 'tackvane-soak-'));
  const cluster = new Cluster({ seed, program, folder, network });
  let events: readonly string[] = [];
  const findingsPoll = setInterval(() => {
    if (events.length > 0 || cluster.findings().length === 0) return;
    const machines = [...cluster.workers].map(([id, { hung }]) => (hung ? `${id} (hung)` : id));
    events = [
      ...cluster.lastEvents(),
      `machines up: ${machines.join(', ')}`,
      ...cluster.checker.reservationNames().map((allocation) => `holds room: ${allocation}`),
    ];
  }, 50);
  try {
    await cluster.start();
    submitAll(cluster, new SeededRandom(seed + 1), seconds);
    for (const fault of faults)
      cluster.time.after(fault.atS * 1000, () => {
        injectFault(cluster, fault);
      });
    await new Promise((resolve) => setTimeout(resolve, seconds * 1000));
    const findings = [...cluster.findings(), ...(await metricFindings(cluster))];
    const starts = cluster.checker.starts.length;
    if (starts < MIN_STARTS) findings.push(`nothing_ran: ${String(starts)} starts`);
    if (events.length === 0 && findings.length > 0) events = cluster.lastEvents();
    return { findings, events, starts, finals: cluster.users.finalPhases.size };
  } finally {
    clearInterval(findingsPoll);
    cluster.shutDown();
    rmSync(folder, { recursive: true, force: true });
  }
}

function submitAll(cluster: Cluster, random: SeededRandom, seconds: number): void {
  for (let index = 0; index * JOB_INTERVAL_S < seconds - 3; index++)
    cluster.time.after(index * JOB_INTERVAL_S * 1000, () => {
      const spec = drawJob(random, index);
      const isCancelled = spec.kind !== 'service' && random.chance(CANCELLED_SHARE);
      cluster.users.submit(spec, isCancelled ? random.real(0, 3000) : null);
    });
}

async function metricFindings(cluster: Cluster): Promise<string[]> {
  const findings: string[] = [];
  try {
    for (const [host, text] of await cluster.metrics()) {
      if (!text.includes('tackvane_replica_generation'))
        findings.push(`metrics: ${host} reports nothing`);
      for (const line of text.match(ERROR_COUNTERS) ?? [])
        findings.push(`metrics: ${host}: ${line}`);
    }
  } catch (error) {
    findings.push(`metrics: not answered: ${String(error)}`);
  }
  return findings;
}
