/** Reads the operator's settings file (INI). */
import { parse } from 'ini';
import { ConfigError } from './config-error.js';

/** Settings of the operator in addition to the platform's file. Each number is a ratio to a value given there. */
export interface OperatorSettings {
  /** Renewals of the liveness lease that may be missed before successors take over. */
  missedRenewals: number;
  /** Time between renewals, as a share of a worker's lease. */
  renewalShare: number;
  /** How long an idle machine is kept, as a multiple of the boot time of its type. */
  idleBoots: number;
  /** Whether machines may be rented and returned. */
  rent: boolean;
}

/** Values of the settings that the operator's file omits. */
export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = {
  missedRenewals: 3,
  renewalShare: 0.07,
  idleBoots: 2,
  rent: true,
};

/** A key of the file. */
interface OperatorKey {
  section: string;
  key: string;
  /** Sets the value from its text; returns what is wrong with the text, or null. */
  read(text: string, into: OperatorSettings): string | null;
}

const numberBetween =
  (field: 'missedRenewals' | 'renewalShare' | 'idleBoots', min: number, max: number) =>
  (text: string, into: OperatorSettings): string | null => {
    const value = Number(text);
    if (text.trim() === '' || !Number.isFinite(value) || value < min || value > max)
      return `must be a number from ${String(min)} to ${String(max)}`;
    into[field] = value;
    return null;
  };

const KEYS: OperatorKey[] = [
  { section: 'failover', key: 'missed_renewals', read: numberBetween('missedRenewals', 1, 20) },
  { section: 'failover', key: 'renewal_share', read: numberBetween('renewalShare', 0.01, 0.3) },
  { section: 'fleet', key: 'idle_boots', read: numberBetween('idleBoots', 0, 1000) },
  {
    section: 'fleet',
    key: 'rent',
    read(text, into) {
      if (text !== 'true' && text !== 'false') return 'must be true or false';
      into.rent = text === 'true';
      return null;
    },
  },
];

/** Reads the operator's INI file. Unknown settings are faults, because they are most likely typing errors. */
export function parseOperatorSettings(source: string): OperatorSettings {
  const operator = { ...DEFAULT_OPERATOR_SETTINGS };
  const lines: string[] = [];
  for (const [section, body] of Object.entries(parse(source))) {
    if (typeof body !== 'object' || body === null) {
      lines.push(`operator: ${section}: is outside any section`);
      continue;
    }
    for (const [key, value] of Object.entries(body as Record<string, unknown>)) {
      const known = KEYS.find((entry) => entry.section === section && entry.key === key);
      const fault = known ? known.read(String(value), operator) : 'unknown setting';
      if (fault !== null) lines.push(`operator: ${section}.${key}: ${fault}`);
    }
  }
  if (lines.length > 0) throw new ConfigError(lines);
  return operator;
}
