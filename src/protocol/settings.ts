/** The platform's settings file, with its field names. */
import * as v from 'valibot';
import type { ServiceLevelObjective, Settings } from '../model/settings.js';
import type { TeamQuota } from '../model/team.js';

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const address = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must look like 10.0.0.1:8080'));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const share = v.pipe(v.number(), v.gtValue(0), v.maxValue(1000));

/** Node.js and a small fleet need this much; with less, the process would be killed and restarted endlessly. */
const MIN_MEMORY_MB = 64;
/** Fewer sockets cannot be divided among all their uses. */
const MIN_SOCKETS = 16;
/** A takeover changes at least this many keys in one transaction. */
const MIN_TRANSACTION_WRITES = 4;

const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1024 * 1024;

/**
 * Stands for "no limit", which the file writes as 0 ("0 means none"). A team with neither guarantee nor limit uses what
 * no other team needs. The value is larger than any fleet, but small enough to be split into parts without rounding.
 */
const UNLIMITED = 1e8;

const WireTeam = v.object({
  name: text,
  cpus: v.optional(nonNegative, 0),
  cpus_max: v.optional(nonNegative, 0),
  gpus: v.optional(nonNegative, 0),
  gpus_max: v.optional(nonNegative, 0),
});

const WireObjective = v.object({
  kind: text,
  class: v.optional(text),
  within_s: v.optional(nonNegative),
  share: v.optional(nonNegative),
  times: v.optional(nonNegative),
});

type WireObjective = v.InferOutput<typeof WireObjective>;

/** Objectives of an unknown form are dropped; like those of unknown kinds, they are meant for other components. */
const WireObjectives = v.pipe(
  v.array(v.unknown()),
  v.transform((objectives) =>
    objectives.flatMap((objective) => {
      const known = v.safeParse(WireObjective, objective);
      return known.success ? [known.output] : [];
    }),
  ),
);

const WirePeer = v.object({ host_name: text, zone: text, address });

const WireSettings = v.object({
  host_name: text,
  zone: text,
  serve_on: address,
  internal_addr: address,
  others: v.optional(v.array(WirePeer), []),
  external: v.object({ cloud: address, state: address }),
  settings: v.object({
    size: v.pipe(v.number(), v.integer(), v.minValue(1)),
    zones: v.pipe(v.array(text), v.minLength(1)),
    clock_error_ms: v.optional(nonNegative, 100),
    teams: v.optional(v.array(WireTeam), []),
    objectives: v.optional(WireObjectives, []),
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
      txn_ops: v.pipe(v.number(), v.integer(), v.minValue(MIN_TRANSACTION_WRITES)),
    }),
    cloud: v.object({ rps: positive, list_lag_s: nonNegative }),
    quota: v.object({
      cpu_share: share,
      memory_mb: v.pipe(v.number(), v.finite(), v.minValue(MIN_MEMORY_MB)),
      max_sockets: v.pipe(v.number(), v.integer(), v.minValue(MIN_SOCKETS)),
    }),
  }),
});

/** The settings file, with its own field names. */
export type WireSettings = v.InferOutput<typeof WireSettings>;
/** A team in the settings file. */
export type WireTeam = v.InferOutput<typeof WireTeam>;

/** The valid contents of a parsed settings file, or its faults: one line for each, with the key of the field. */
export function checkSettings(parsed: unknown): WireSettings | string[] {
  const result = v.safeParse(WireSettings, parsed);
  if (result.success) return result.output;
  return result.issues.map((issue) => `${v.getDotPath(issue) ?? '(root)'}: ${issue.message}`);
}

/** Converts the fields of the settings file to those of the model. */
export function decodeSettings(wire: WireSettings): Settings {
  const { size, teams, objectives, workers, state, cloud, quota } = wire.settings;
  return {
    controller: wire.host_name,
    zone: wire.zone,
    listenAddress: wire.serve_on,
    internalAddress: wire.internal_addr,
    peers: wire.others.map((peer) => ({
      controller: peer.host_name,
      zone: peer.zone,
      address: peer.address,
    })),
    cloudAddress: wire.external.cloud,
    stateServiceAddress: wire.external.state,
    controllerCount: size,
    teams: decodeTeams(teams),
    serviceLevelObjectives: objectives.map(decodeObjective),
    workers: {
      heartbeatMs: workers.report_s * 1000,
      leaseMs: workers.lease_s * 1000,
      cancelMs: workers.cancel_s * 1000,
    },
    stateService: {
      requestsPerSecond: state.rps,
      writesPerSecond: state.write_rps,
      maxValueBytes: state.value_kb * BYTES_PER_KB,
      maxWrites: state.txn_ops,
    },
    cloud: { requestsPerSecond: cloud.rps, listLagMs: cloud.list_lag_s * 1000 },
    process: { memoryBytes: quota.memory_mb * BYTES_PER_MB, maxSockets: quota.max_sockets },
  };
}

/** Converts the teams of the settings file to a map from the team's name to its quota. */
export function decodeTeams(teams: readonly WireTeam[]): Map<string, TeamQuota> {
  return new Map(
    teams.map((team) => [
      team.name,
      {
        guaranteedCpus: team.cpus,
        guaranteedGpus: team.gpus,
        cpuLimit: team.cpus_max > 0 ? team.cpus_max : UNLIMITED,
        gpuLimit: team.gpus_max > 0 ? team.gpus_max : UNLIMITED,
      },
    ]),
  );
}

function decodeObjective(wire: WireObjective): ServiceLevelObjective {
  const objective: ServiceLevelObjective = { kind: wire.kind };
  if (wire.class !== undefined) objective.jobClass = wire.class;
  if (wire.within_s !== undefined) objective.withinSeconds = wire.within_s;
  if (wire.share !== undefined) objective.share = wire.share;
  if (wire.times !== undefined) objective.deadlineMultiple = wire.times;
  return objective;
}
