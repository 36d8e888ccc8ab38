/** Reads the operators' own settings (INI). */
import { parse } from 'ini';
import { ConfigError } from './config-error.js';

/** What an operator may set beside the platform's file. Every number is a ratio to one in that file. */
export interface Operator {
  /** Renewals of the liveness lease that may be missed before successors take over. */
  missedRenewals: number;
  /** Time between renewals, as a share of a worker's lease. */
  renewalShare: number;
  /** How long an idle machine is kept, in boot times of its type. */
  idleBoots: number;
  /** Whether machines may be rented and returned at all. */
  rent: boolean;
}

/** What holds for whatever the operators' file leaves out. */
export const OPERATOR_DEFAULTS: Operator = {
  missedRenewals: 3,
  renewalShare: 0.07,
  idleBoots: 2,
  rent: true,
};

/** A key of the file, and how its text is taken over; what is wrong with the text, or null. */
interface Key {
  section: string;
  key: string;
  read(text: string, into: Operator): string | null;
}

const ratio =
  (field: 'missedRenewals' | 'renewalShare' | 'idleBoots', least: number, most: number) =>
  (text: string, into: Operator): string | null => {
    const value = Number(text);
    if (text.trim() === '' || !Number.isFinite(value) || value < least || value > most)
      return `must be a number from ${String(least)} to ${String(most)}`;
    into[field] = value;
    return null;
  };

const KEYS: Key[] = [
  { section: 'failover', key: 'missed_renewals', read: ratio('missedRenewals', 1, 20) },
  { section: 'failover', key: 'renewal_share', read: ratio('renewalShare', 0.01, 0.3) },
  { section: 'fleet', key: 'idle_boots', read: ratio('idleBoots', 0, 1000) },
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

/** Reads the operators' INI file; whatever is not known is a fault, since it is a person's slip. */
export function parseOperator(source: string): Operator {
  const operator = { ...OPERATOR_DEFAULTS };
  const lines: string[] = [];
  for (const [section, body] of Object.entries(parse(source))) {
    if (typeof body !== 'object' || body === null) {
      lines.push(`operator: ${section}: stands outside any section`);
      continue;
    }
    for (const [key, value] of Object.entries(body as Record<string, unknown>)) {
      const known = KEYS.find((entry) => entry.section === section && entry.key === key);
      const fault = known ? known.read(String(value), operator) : 'is not known';
      if (fault !== null) lines.push(`operator: ${section}.${key}: ${fault}`);
    }
  }
  if (lines.length > 0) throw new ConfigError(lines);
  return operator;
}
