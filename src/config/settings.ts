/** Reads the platform's settings file (TOML), and refuses settings that cannot work. */
import { parse } from 'smol-toml';
import { toError } from '../errors.js';
import type { Settings } from '../model/settings.js';
import { checkSettings, decodeSettings, type WireSettings } from '../protocol/settings.js';
import { ConfigError } from './config-error.js';

/** Writes of a rental's transaction beside the domain heads of all controllers. */
const RENTAL_WRITES = 3;
/** Part of a domain's head that the teams' quota may take. */
const MAX_QUOTA_SHARE = 0.4;
/** What a team's quota takes in a domain's head, at the longest. */
const LONGEST_QUOTA = [0.3333333333333333, 0.3333333333333333];

/** Reads the platform's TOML file. Fields it does not know are ignored, as the platform asks. */
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

/** Limits of the state service that cannot hold what this service records there. */
function checkLimits({ settings: { size, state, teams } }: WireSettings): string[] {
  const faults: string[] = [];
  if (state.txn_ops < size + RENTAL_WRITES)
    faults.push(`settings.state.txn_ops: must be at least size + ${String(RENTAL_WRITES)}`);
  const quota = JSON.stringify(teams.map(({ name }) => [name, LONGEST_QUOTA]));
  if (quota.length > state.value_kb * 1024 * MAX_QUOTA_SHARE)
    faults.push('settings.state.value_kb: too small for a domain of so many teams');
  return faults;
}
