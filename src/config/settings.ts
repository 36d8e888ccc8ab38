import { parse } from 'smol-toml';
import * as v from 'valibot';

/** A fault in a file that an operator or the platform handed over, one line per key. */
export class ConfigError extends Error {
  constructor(readonly lines: string[]) {
    super(lines.join('\n'));
  }
}

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const address = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must look like 10.0.0.1:8080'));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const natural = v.pipe(v.number(), v.finite(), v.minValue(0));
const share = v.pipe(v.number(), v.gtValue(0), v.maxValue(1000));

/** Node itself and a small fleet: below this, the process would be killed and started again for ever. */
const MIN_MEMORY_MB = 64;

const Team = v.object({
  name: text,
  cpus: v.optional(natural, 0),
  cpus_max: v.optional(natural, 0),
  gpus: v.optional(natural, 0),
  gpus_max: v.optional(natural, 0),
});

const Objective = v.object({
  kind: text,
  class: v.optional(text),
  within_s: v.optional(natural),
  share: v.optional(natural),
  times: v.optional(natural),
});

/** Aims of kinds that are not known here, or that are made up otherwise, are somebody else's. */
const Objectives = v.pipe(
  v.array(v.unknown()),
  v.transform((aims) =>
    aims.flatMap((aim) => {
      const known = v.safeParse(Objective, aim);
      return known.success ? [known.output] : [];
    }),
  ),
);

const Schema = v.object({
  host_name: text,
  zone: text,
  serve_on: address,
  internal_addr: address,
  others: v.optional(v.array(v.object({ host_name: text, zone: text, address })), []),
  external: v.object({ cloud: address, state: address }),
  settings: v.object({
    size: v.pipe(v.number(), v.integer(), v.minValue(1)),
    zones: v.pipe(v.array(text), v.minLength(1)),
    clock_error_ms: v.optional(natural, 100),
    teams: v.optional(v.array(Team), []),
    objectives: v.optional(Objectives, []),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: v.pipe(v.number(), v.integer(), v.minValue(4)),
    }),
    cloud: v.object({ rps: positive, list_lag_s: natural }),
    quota: v.object({
      cpu_share: share,
      memory_mb: v.pipe(v.number(), v.finite(), v.minValue(MIN_MEMORY_MB)),
      max_sockets: v.pipe(v.number(), v.integer(), v.minValue(16)),
    }),
  }),
});

/** The platform's file, as it is written. */
export type Settings = v.InferOutput<typeof Schema>;
/** A team in it. */
export type Team = v.InferOutput<typeof Team>;

/** Reads the platform's TOML file. Fields it does not know are ignored, as the platform asks. */
export function parseSettings(source: string): Settings {
  let raw: unknown;
  try {
    raw = parse(source);
  } catch (error) {
    const line = (error as Error).message.split('\n')[0] ?? 'not TOML';
    throw new ConfigError([`settings: ${line}`]);
  }
  const result = v.safeParse(Schema, raw);
  if (!result.success) throw new ConfigError(faults('settings', result.issues));
  const settings = result.output;
  const lines: string[] = [];
  const names = [settings.host_name, ...settings.others.map((other) => other.host_name)];
  if (new Set(names).size !== names.length)
    lines.push('settings: others: host_name is given more than once');
  if (settings.settings.workers.cancel_s <= settings.settings.workers.lease_s)
    lines.push('settings: settings.workers.cancel_s: must be longer than lease_s');
  lines.push(...tooSmall(settings));
  if (lines.length > 0) throw new ConfigError(lines);
  return settings;
}

/** Limits of the state service that cannot hold what the service records there. */
function tooSmall({ settings }: Settings): string[] {
  const lines: string[] = [];
  // A rental is recorded with its lot and the domains of all controllers.
  if (settings.state.txn_ops < settings.size + 3)
    lines.push(`settings: settings.state.txn_ops: must be at least size + 3`);
  // A domain record holds a part of each team's limit beside its machines.
  const quota = settings.teams.map(({ name }) => [name, [0.3333333333333333, 0.3333333333333333]]);
  if (JSON.stringify(quota).length > settings.state.value_kb * 1024 * MOST_QUOTA)
    lines.push(`settings: settings.state.value_kb: too small for a domain of so many teams`);
  return lines;
}

/** Part of a domain record that the teams' limits may take; the rest is for machines. */
const MOST_QUOTA = 0.4;

function faults(file: string, issues: readonly v.BaseIssue<unknown>[]): string[] {
  return issues.map((issue) => `${file}: ${v.getDotPath(issue) ?? '(root)'}: ${issue.message}`);
}
