/** Reads the platform's settings file (TOML), and refuses settings that cannot work. */
import { parse } from 'smol-toml';
import { toError } from '../errors.js';
import type { Settings } from '../model/settings.js';
import { checkSettings, decodeSettings, type WireSettings } from '../protocol/settings.js';
import { ConfigError } from './config-error.js';

/**
 * Writes of the transaction that records a rental, in addition to one shard for each controller: a machine batch, the
 * fleet's record and the counter of first claims.
 */
const RENTAL_WRITES = 3;
/** Largest part of a domain head's size limit that the teams' quotas may take up. */
const MAX_QUOTA_SHARE = 0.4;
/** The longest encoding of a team's quota in a domain's head: fractions with the maximum number of digits. */
const LONGEST_QUOTA = [0.3333333333333333, 0.3333333333333333];

/** Reads the platform's TOML file. Unknown fields are ignored, as the platform requires. */
export function parseSettings(source: string): Settings {
  const file = checkSettings(parseToml(source));
  const faults = Array.isArray(file) ? file : [...checkNames(file), ...checkLimits(file)];
  if (Array.isArray(file) || faults.length > 0)
    throw new ConfigError(faults.map((fault) => `settings: ${fault}`));
  return decodeSettings(file);
}

function parseToml(source: string): unknown {
  try {
    return parse(source);
  } catch (error) {
    const [line = 'not TOML'] = toError(error).message.split('\n');
    throw new ConfigError([`settings: ${line}`], { cause: error });
  }
}

function checkNames({ host_name, others, settings: { workers } }: WireSettings): string[] {
  const faults: string[] = [];
  const names = [host_name, ...others.map((peer) => peer.host_name)];
  if (new Set(names).size !== names.length)
    faults.push('others: host_name is given more than once');
  if (workers.cancel_s <= workers.lease_s)
    faults.push('settings.workers.cancel_s: must be longer than lease_s');
  return faults;
}

/** Faults for limits of the state service that are too small for the records of this service. */
function checkLimits({ settings: { size, state, teams } }: WireSettings): string[] {
  const faults: string[] = [];
  if (state.txn_ops < size + RENTAL_WRITES)
    faults.push(`settings.state.txn_ops: must be at least size + ${String(RENTAL_WRITES)}`);
  const quota = JSON.stringify(teams.map(({ name }) => [name, LONGEST_QUOTA]));
  if (quota.length > state.value_kb * 1024 * MAX_QUOTA_SHARE)
    faults.push('settings.state.value_kb: too small for the quotas of this many teams');
  return faults;
}
