/** Deployments on which days of drawn faults are played; values are small, so that records of one kind split. */
import type { WorldOptions } from './world-options.js';

export interface Deployment {
  options: Partial<WorldOptions> & Pick<WorldOptions, 'hosts'>;
  /** Machines that are up at the start. */
  machines: number;
  /** How many times the work of the smallest. */
  load: number;
}

/** Two teams with these limits on CPUs. */
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
  load: 1,
};

/** Few writes a second, so that what is gathered meanwhile is large; a short lag of the watch. */
const FEW_WRITES: Deployment = {
  options: {
    hosts: ['a', 'b', 'c'],
    capacity: 10,
    teams: teams(70, 60),
    state: { rps: 120, write_rps: 18, value_kb: 1, txn_ops: 12 },
  },
  machines: 24,
  load: 0.7,
};

/** Takeovers that one transaction does not hold. */
const LARGE_TAKEOVERS: Deployment = {
  options: {
    hosts: ['a', 'b', 'c', 'd', 'e'],
    capacity: 16,
    teams: teams(150, 130),
    state: { rps: 200, write_rps: 40, value_kb: 1, txn_ops: 7 },
  },
  machines: 60,
  load: 1.5,
};

const DEPLOYMENTS: readonly Deployment[] = [SMALL, FEW_WRITES, LARGE_TAKEOVERS];

/** The deployment that a seed's day is played on. */
export const deploymentOf = (seed: number): Deployment =>
  DEPLOYMENTS[seed % DEPLOYMENTS.length] ?? SMALL;
