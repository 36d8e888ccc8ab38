/** Creates an `Integrity`, which checks the invariants of a state, with its dependencies for tests. */
import type { TeamQuota } from '../../src/model/team.js';
import { pino } from 'pino';
import { Integrity } from '../../src/domain/integrity.js';
import type { Log } from '../../src/log.js';
import { Metrics } from '../../src/metrics.js';
import type { State } from '../../src/store/state.js';
import { VirtualTime } from './time.js';

export interface IntegrityFixture {
  integrity: Integrity;
  metrics: Metrics;
  time: VirtualTime;
  /** Number of requests to reload the replica by a full read. */
  rereads: number;
}

export function createIntegrityFixture(
  state: State,
  teams: ReadonlyMap<string, TeamQuota>,
  log: Log = pino({ level: 'silent' }),
): IntegrityFixture {
  const time = new VirtualTime();
  const metrics = new Metrics();
  const fixture: IntegrityFixture = {
    integrity: null as unknown as Integrity,
    metrics,
    time,
    rereads: 0,
  };
  const clock = time.clockOf(() => true, 1, 0);
  const reread = (): Promise<boolean> => {
    fixture.rereads++;
    return Promise.resolve(true);
  };
  fixture.integrity = new Integrity(
    { checkMs: 1000, repeatMs: 4000 },
    { teams, state, clock, log, metrics, reread },
  );
  return fixture;
}
