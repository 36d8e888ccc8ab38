/**
 * The metrics of this process, exported in the Prometheus text format on the internal address.
 *
 * The Prometheus library is loaded on the first request for metrics: with a few hundredths of a CPU, loading it at
 * startup would add half a second to each restart. Until then only the counts are kept.
 */
import { createRequire } from 'node:module';
import type * as PromClient from 'prom-client';

/** The part of a team's quota that this controller's domain holds, and its use, for CPUs or GPUs. */
export interface QuotaReading {
  team: string;
  kind: 'cpus' | 'gpus';
  part: number;
  used: number;
}

/** Functions that return the current values of the gauges; called on each request for metrics. */
export interface GaugeValues {
  /** Incarnation under which this controller holds its domain, 0 if it does not hold it. */
  incarnation(): number;
  /** Last fencing token that was taken. */
  fencingToken(): number;
  /** Seconds until the liveness lease expires, as tracked by this process. */
  leaseSeconds(): number;
  /** Revision up to which the replica is complete. */
  revision(): number;
  /** Seconds since the replica was last confirmed current. */
  replicaAgeSeconds(): number;
  /** Number of machines in this controller's domain. */
  machines(): number;
  /** The part of each team's quota that this controller's domain holds, and its use. */
  quota(): Iterable<QuotaReading>;
}

/** Counts events of one kind by the value of one label. */
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

/** Metrics in the Prometheus text format. */
export interface MetricsText {
  contentType: string;
  text: string;
}

/** Counters that other modules increment, and gauges whose values are read on request. */
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
  readonly fullReads = new LabelledCount<'done' | 'failed'>(
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

  /** Sets the functions that the gauges read their values from. */
  setGaugeValues(values: GaugeValues): void {
    this.gaugeValues = values;
  }

  /** Returns the current values of all metrics. */
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
    return [this.commits, this.indexDifferences, this.violations, this.fullReads, this.refusals];
  }
}

/**
 * `prom-client` is installed next to the bundle, not part of it. It is loaded with `require`, because a dynamic import
 * fails in a script that V8 loads from a code cache.
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

/** Values of the label `kind`; they are part of the exported metrics and must not change. */
const KIND_LABELS: Readonly<Record<QuotaReading['kind'], string>> = { cpus: 'cpus', gpus: 'cards' };

const GAUGES: { name: string; help: string; read: (values: GaugeValues) => number }[] = [
  {
    name: 'incarnation',
    help: 'Incarnation of the own domain, 0 if not held.',
    read: (values) => values.incarnation(),
  },
  {
    name: 'term',
    help: 'Last fencing token that was taken; tokens are taken in ranges.',
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
