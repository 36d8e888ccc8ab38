/** Hosts, machines, limits and addresses of the cluster of a soak run. */
import type { FakeMachineType } from '../fakes/cloud.js';
import type { ClusterLimits } from './settings.js';

export const HOSTS = ['h0', 'h1', 'h2'] as const;

export const LIMITS: ClusterLimits = {
  heartbeatS: 0.5,
  leaseS: 5,
  gangWaitS: 8,
  gangPeerS: 2,
  cancelS: 13,
  teams: [
    { name: 'red', cpus: 6, cpusMax: 12 },
    { name: 'blue', cpus: 6, cpusMax: 12 },
  ],
};

const machineType = (name: string, cpus: number): FakeMachineType => ({
  name,
  cpus,
  gpus: 0,
  memoryGb: cpus * 8,
  pricePerHour: cpus,
  spotPricePerHour: cpus / 3,
  bootSeconds: 1.5,
  zones: ['x', 'y'],
});

export const MACHINE_TYPES = [machineType('small', 4), machineType('large', 8)];
/** Machines that can be rented for each machine type and zone, separately for spot and on-demand. */
export const CAPACITY = 1;
/** Machines that are up at the start. */
export const INITIAL_MACHINES = 4;
export const LIST_LAG_MS = 1000;
/** Limits of the state service, under the service's names for them. */
export const STATE_LIMITS = { value_kb: 4, txn_ops: 12 };

/** The part of the loopback network that one run uses alone: the `[A, B]` of its addresses `127.A.B.*`. */
export type Network = readonly [number, number];

/** The IP address in a run's network that ends with this byte. */
export const networkIp = (network: Network, lastByte: number): string =>
  `127.${network.join('.')}.${String(lastByte)}`;

/** IP address of a controller, by its index in `HOSTS`. */
export const controllerIp = (network: Network, index: number): string =>
  networkIp(network, 10 + index);

export const PORTS = {
  users: 8080,
  mesh: 8081,
  worker: 9000,
  workerBehindRelay: 9001,
  meshRelay: 9100,
  heartbeatRelay: 9200,
};
