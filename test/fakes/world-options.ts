/** Options of a simulated cluster, and the settings that its controllers receive. */
import { DEFAULT_OPERATOR_SETTINGS, type OperatorSettings } from '../../src/config/operator.js';
import type { WireSettings } from '../../src/protocol/settings.js';
import type { FakeMachineType } from './cloud.js';

export const HEARTBEAT_S = 1;
export const LEASE_S = 10;
export const CANCEL_S = 30;
export const GANG_WAIT_S = 20;
export const GANG_PEER_S = 4;
/** How stale the cloud's list of rentals is. */
export const LIST_LAG_S = 4;

const PLAIN: FakeMachineType = {
  name: 'plain',
  cpus: 8,
  gpus: 0,
  memoryGb: 64,
  pricePerHour: 1,
  spotPricePerHour: 0.3,
  bootSeconds: 10,
  zones: ['x', 'y'],
};

export const MACHINE_TYPES: FakeMachineType[] = [
  PLAIN,
  { ...PLAIN, name: 'carded', gpus: 4, pricePerHour: 4, spotPricePerHour: 1 },
];

/** Options of a simulated cluster. Tests override those that matter to them. */
export interface WorldOptions {
  /** Names of the controllers. */
  hosts: string[];
  machineTypes: FakeMachineType[];
  /** Number of machines that can be rented for each machine type and zone, separately for spot and on-demand. */
  capacity: number;
  teams: WireSettings['settings']['teams'];
  state: WireSettings['settings']['state'];
  cloudRps: number;
  /** Processor time that a controller uses for each timer, request and answer. */
  processingCostMs: number;
  operator: OperatorSettings;
}

export const DEFAULT_OPTIONS: WorldOptions = {
  hosts: ['a', 'b', 'c'],
  machineTypes: MACHINE_TYPES,
  capacity: 4,
  teams: [
    { name: 'red', cpus: 16, cpus_max: 40, gpus: 4, gpus_max: 8 },
    { name: 'blue', cpus: 16, cpus_max: 24, gpus: 0, gpus_max: 4 },
  ],
  state: { rps: 200, write_rps: 60, value_kb: 4, txn_ops: 12 },
  cloudRps: 10,
  processingCostMs: 0,
  operator: DEFAULT_OPERATOR_SETTINGS,
};

/** Address at which a machine accepts direct commands. */
export const workerAddress = (machineId: string): string => `${machineId}:9000`;

/** Address at which a controller accepts requests of its peers. */
export const peerAddress = (host: string): string => `${host}:2`;

/** The settings of a controller in the form in which the platform provides them. */
export function settingsFor(host: string, options: WorldOptions): WireSettings {
  return {
    host_name: host,
    zone: 'x',
    serve_on: `${host}:1`,
    internal_addr: peerAddress(host),
    others: options.hosts
      .filter((other) => other !== host)
      .map((other) => ({ host_name: other, zone: 'x', address: peerAddress(other) })),
    external: { cloud: 'cloud:1', state: 'store:1' },
    settings: {
      size: options.hosts.length,
      zones: ['x', 'y'],
      clock_error_ms: 100,
      teams: options.teams,
      objectives: [{ kind: 'guarantee', within_s: 5, share: 0.9 }],
      workers: {
        report_s: HEARTBEAT_S,
        lease_s: LEASE_S,
        gang_wait_s: GANG_WAIT_S,
        gang_peer_s: GANG_PEER_S,
        cancel_s: CANCEL_S,
      },
      state: options.state,
      cloud: { rps: options.cloudRps, list_lag_s: LIST_LAG_S },
      quota: { cpu_share: 1, memory_mb: 100, max_sockets: 100 },
    },
  };
}

/** Quota limits by team. A limit of 0 in the settings means unlimited. */
export const quotaLimits = ({ teams }: WorldOptions): Map<string, { cpus: number; gpus: number }> =>
  new Map(
    teams.map(({ name, cpus_max: cpus, gpus_max: gpus }) => [
      name,
      { cpus: cpus || Infinity, gpus: gpus || Infinity },
    ]),
  );
