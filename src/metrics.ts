/**
 * The metrics of this process, as Prometheus text on the internal address.
 *
 * The library that writes them is loaded when they are first asked for: at a few hundredths of a processor its start
 * would add half a second to each restart. Until then, only counts are kept.
 */
import { createRequire } from 'node:module';
import type * as PromClient from 'prom-client';

/** A team's part of the quota in the own domain, for CPUs or GPUs. */
export interface QuotaReading {
  team: string;
  kind: 'cpus' | 'gpus';
  part: number;
  used: number;
}

/** What the gauges show, read when they are asked for. */
export interface GaugeValues {
  /** Incarnation under which the domain is held, 0 if it is not. */
  incarnation(): number;
  /** Highest fencing token in the records. */
  fencingToken(): number;
  /** Seconds until the liveness lease ends, as far as this process knows. */
  leaseSeconds(): number;
  /** Revision up to which the replica is complete. */
  revision(): number;
  /** Seconds since the replica was last confirmed current. */
  replicaAgeSeconds(): number;
  /** Machines of the own domain. */
  machines(): number;
  /** The own domain's part of each team's quota, and what is used of it. */
  quota(): Iterable<QuotaReading>;
}

/** Counts of an event, by one label. */
class LabelledCount<Label extends string> {
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

/** Counters that the code increments, and gauges that are read on demand. */
export class Metrics {
  readonly commits = new LabelledCount<string>(
    'tackvane_commits_total',
    'Transactions by source and outcome.',
    'outcome',
  );
  readonly indexDifferences = new LabelledCount<string>(
    'tackvane_index_differences_total',
    'Entries of indexes found to differ from the records.',
    'index',
  );
  readonly violations = new LabelledCount<string>(
    'tackvane_limit_violations_total',
    'Findings that records do not add up or cannot be read; one that stays counts once in a lease.',
    'rule',
  );
  readonly readings = new LabelledCount<'done' | 'failed'>(
    'tackvane_full_readings_total',
    'Full readings of the state service by result.',
    'result',
  );
  readonly refusals = new LabelledCount<string>(
    'tackvane_decisions_refused_total',
    'Decisions not made because the records or indexes are not sound.',
    'decision',
  );
  private gaugeValues: GaugeValues | null = null;

  /** Has the gauges read these values from now on. */
  observe(values: GaugeValues): void {
    this.gaugeValues = values;
  }

  /** All metrics as they are now. */
  async text(): Promise<MetricsText> {
    const client = loadPromClient();
    const registry = new client.Registry();
    for (const count of this.labelledCounts()) addCounter(client, registry, count);
    if (this.gaugeValues) {
      addGauges(client, registry, this.gaugeValues);
      addQuotaGauges(client, registry, this.gaugeValues);
    }
    return { contentType: registry.contentType, text: await registry.metrics() };
  }

  private labelledCounts(): LabelledCount<string>[] {
    return [this.commits, this.indexDifferences, this.violations, this.readings, this.refusals];
  }
}

/**
 * The package lies beside the bundle. It is loaded by `require`, as a dynamic import does not work in a script that V8
 * takes from a code cache.
 */
function loadPromClient(): typeof PromClient {
  return createRequire(import.meta.url)('prom-client') as typeof PromClient;
}

function addCounter(
  { Counter }: typeof PromClient,
  registry: PromClient.Registry,
  { name, help, label, counts }: LabelledCount<string>,
): void {
  const counter = new Counter({ name, help, labelNames: [label], registers: [registry] });
  for (const [value, count] of counts) counter.inc({ [label]: value }, count);
}

function addGauges(
  { Gauge }: typeof PromClient,
  registry: PromClient.Registry,
  values: GaugeValues,
): void {
  for (const { name, help, read } of GAUGES) {
    const gauge = new Gauge({ name: `tackvane_${name}`, help, registers: [registry] });
    gauge.set(read(values));
  }
}

function addQuotaGauges(
  { Gauge }: typeof PromClient,
  registry: PromClient.Registry,
  values: GaugeValues,
): void {
  for (const { name, help, read } of QUOTA_GAUGES) {
    const labelNames = ['team', 'kind'];
    const registers = [registry];
    const gauge = new Gauge({ name: `tackvane_quota_${name}`, help, labelNames, registers });
    for (const usage of values.quota())
      gauge.set({ team: usage.team, kind: KIND_LABELS[usage.kind] }, read(usage));
  }
}

/** Values of the label `kind`; they are read outside and never change. */
const KIND_LABELS: Readonly<Record<QuotaReading['kind'], string>> = { cpus: 'cpus', gpus: 'cards' };

const GAUGES: { name: string; help: string; read: (values: GaugeValues) => number }[] = [
  {
    name: 'incarnation',
    help: 'Incarnation of the own domain, 0 if not held.',
    read: (values) => values.incarnation(),
  },
  {
    name: 'term',
    help: 'Highest fencing token in the records.',
    read: (values) => values.fencingToken(),
  },
  {
    name: 'lease_seconds',
    help: 'Time left of the liveness lease.',
    read: (values) => values.leaseSeconds(),
  },
  {
    name: 'replica_generation',
    help: 'Revision up to which the replica is complete.',
    read: (values) => values.revision(),
  },
  {
    name: 'replica_age_seconds',
    help: 'Time since the replica was confirmed current.',
    read: (values) => values.replicaAgeSeconds(),
  },
  { name: 'machines', help: 'Machines of the own domain.', read: (values) => values.machines() },
];

const QUOTA_GAUGES: { name: string; help: string; read: (usage: QuotaReading) => number }[] = [
  { name: 'part', help: 'Own part of the limit of a team.', read: ({ part }) => part },
  { name: 'used', help: 'What a team uses of the own part.', read: ({ used }) => used },
];
