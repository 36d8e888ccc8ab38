/**
 * Deployments on which runs with drawn faults are simulated. Stored values are limited to a small size, so that data of one
 * kind is split over several records.
 */
import type { WorldOptions } from './world-options.js';

export interface Deployment {
  options: Partial<WorldOptions> & Pick<WorldOptions, 'hosts'>;
  /** Number of machines that are up at the start. */
  machines: number;
  /** Batch work as a multiple of that of the smallest deployment. */
  loadFactor: number;
}

/** Two teams with these CPU limits. */
const teams = (red: number, blue: number): WorldOptions['teams'] => [
  { name: 'red', cpus: red / 4, cpus_max: red, gpus: 4, gpus_max: 8 },
  { name: 'blue', cpus: blue / 2, cpus_max: blue, gpus: 0, gpus_max: 4 },
];

const SMALL: Deployment = {
  options: {
    hosts: ['a', 'b', 'c'],
    capacity: 10,
    teams: teams(90, 70),
    state: { rps: 200, write_rps: 60, value_kb: 1, txn_ops: 12 },
  },
  machines: 30,
  loadFactor: 1,
};

/** Few writes per second, so that many changes accumulate for each transaction; the watch has a short lag. */
const FEW_WRITES: Deployment = {
  options: {
    hosts: ['a', 'b', 'c'],
    capacity: 10,
    teams: teams(70, 60),
    state: { rps: 120, write_rps: 18, value_kb: 1, txn_ops: 12 },
  },
  machines: 24,
  loadFactor: 0.7,
};

/** Takeovers that do not fit into one transaction. */
const LARGE_TAKEOVERS: Deployment = {
  options: {
    hosts: ['a', 'b', 'c', 'd', 'e'],
    capacity: 16,
    teams: teams(150, 130),
    state: { rps: 200, write_rps: 40, value_kb: 1, txn_ops: 7 },
  },
  machines: 60,
  loadFactor: 1.5,
};

const DEPLOYMENTS: readonly Deployment[] = [SMALL, FEW_WRITES, LARGE_TAKEOVERS];

/** The deployment on which a seed's run is simulated. */
export const deploymentOf = (seed: number): Deployment =>
  DEPLOYMENTS[seed % DEPLOYMENTS.length] ?? SMALL;
