/**
 * Figures that can be read while the process runs, as Prometheus text on the internal address.
 *
 * The library that writes them is loaded when they are first asked for: at a few hundredths of a processor its start
 * would add half a second to each restart. Until then, and beside it, only counts are kept.
 */
import { createRequire } from 'node:module';
import type * as PromClient from 'prom-client';

/** What the gauges show, read when they are asked for. */
export interface Readings {
  /** Incarnation under which the domain is held, 0 if it is not. */
  incarnation(): number;
  /** Highest term in the records. */
  term(): number;
  /** Seconds that the liveness lease still runs by this process's reckoning. */
  leaseSeconds(): number;
  /** Generation up to which the replica is complete. */
  generation(): number;
  /** Seconds since the replica was last proved current. */
  replicaAgeSeconds(): number;
  /** Machines of the own domain. */
  machines(): number;
  /** Team -> CPUs and cards of the own part of its limit, and of these in use. */
  quota(): Iterable<{ team: string; kind: 'cpus' | 'gpus'; part: number; used: number }>;
}

/** How often something happened, by one label. */
class Tally<Label extends string> {
  readonly counts = new Map<Label, number>();

  constructor(
    readonly name: string,
    readonly help: string,
    readonly label: string,
  ) {}

  inc(value: Label): void {
    this.counts.set(value, (this.counts.get(value) ?? 0) + 1);
  }
}

/** Metrics in the text format of Prometheus. */
export interface MetricsText {
  contentType: string;
  text: string;
}

export class Metrics {
  readonly commits = new Tally<string>(
    'tackvane_commits_total',
    'Transactions by source and outcome.',
    'outcome',
  );
  readonly indexDifferences = new Tally<string>(
    'tackvane_index_differences_total',
    'Entries of indexes found to differ from the records.',
    'index',
  );
  readonly violations = new Tally<string>(
    'tackvane_limit_violations_total',
    'Findings that records do not add up or cannot be read; one that stays counts once in a lease.',
    'rule',
  );
  readonly readings = new Tally<'done' | 'failed'>(
    'tackvane_full_readings_total',
    'Full readings of the state service by result.',
    'result',
  );
  readonly refusals = new Tally<string>(
    'tackvane_decisions_refused_total',
    'Decisions not made because the records or indexes are not sound.',
    'decision',
  );
  private gauges: Readings | null = null;

  /** Has the gauges read these from now on. */
  observe(readings: Readings): void {
    this.gauges = readings;
  }

  /** All figures as they are now. */
  async text(): Promise<MetricsText> {
    const { Counter, Gauge, Registry } = loadPromClient();
    const registry = new Registry();
    const registers = [registry];
    for (const { name, help, label, counts } of this.tallies()) {
      const counter = new Counter({ name, help, labelNames: [label], registers });
      for (const [value, count] of counts) counter.inc({ [label]: value }, count);
    }
    const readings = this.gauges;
    if (readings) {
      for (const { name, help, read } of GAUGES)
        new Gauge({ name: `tackvane_${name}`, help, registers }).set(read(readings));
      for (const { name, help, read } of QUOTA_GAUGES) {
        const labelNames = ['team', 'kind'];
        const gauge = new Gauge({ name: `tackvane_quota_${name}`, help, labelNames, registers });
        for (const one of readings.quota())
          gauge.set({ team: one.team, kind: one.kind === 'gpus' ? 'cards' : one.kind }, read(one));
      }
    }
    return { contentType: registry.contentType, text: await registry.metrics() };
  }

  private tallies(): Tally<string>[] {
    return [this.commits, this.indexDifferences, this.violations, this.readings, this.refusals];
  }
}

/**
 * Beside the bundle and loaded when first asked for, so that no start pays for it. By `require`: a dynamic import does not
 * work in a script that V8 takes from a code cache.
 */
function loadPromClient(): typeof PromClient {
  return createRequire(import.meta.url)('prom-client') as typeof PromClient;
}

const GAUGES: { name: string; help: string; read: (from: Readings) => number }[] = [
  {
    name: 'incarnation',
    help: 'Incarnation of the own domain, 0 if not held.',
    read: (from) => from.incarnation(),
  },
  { name: 'term', help: 'Highest term in the records.', read: (from) => from.term() },
  {
    name: 'lease_seconds',
    help: 'Time left of the liveness lease.',
    read: (from) => from.leaseSeconds(),
  },
  {
    name: 'replica_generation',
    help: 'Generation up to which the replica is complete.',
    read: (from) => from.generation(),
  },
  {
    name: 'replica_age_seconds',
    help: 'Time since the replica was proved current.',
    read: (from) => from.replicaAgeSeconds(),
  },
  { name: 'machines', help: 'Machines of the own domain.', read: (from) => from.machines() },
];

const QUOTA_GAUGES: {
  name: string;
  help: string;
  read: (one: { part: number; used: number }) => number;
}[] = [
  { name: 'part', help: 'Own part of the limit of a team.', read: ({ part }) => part },
  { name: 'used', help: 'What a team uses of the own part.', read: ({ used }) => used },
];
