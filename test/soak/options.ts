/** What a soak's cluster is made of. */
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
/** Machines of each type, zone and kind that can be rented. */
export const CAPACITY = 1;
/** Machines that are up at the start. */
export const MACHINES = 4;
export const LIST_LAG_MS = 1000;
/** Limits of the state service, in its words. */
export const STATE_LIMITS = { value_kb: 4, txn_ops: 12 };

/** A part of the loopback network that a run has for itself: its addresses are `127.A.B.*`. */
export type Network = readonly [number, number];

/** An address in a run's network. */
export const ipIn = (network: Network, last: number): string =>
  `127.${network.join('.')}.${String(last)}`;

/** Where a controller listens, by its place among the hosts. */
export const controllerIp = (network: Network, index: number): string => ipIn(network, 10 + index);

export const PORTS = {
  users: 8080,
  mesh: 8081,
  worker: 9000,
  workerBehindRelay: 9001,
  meshRelay: 9100,
  heartbeatRelay: 9200,
};
