/** Parts of the controller that all modules of the fleet management use. */
import type { Clock } from '../clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { State } from '../store/state.js';
import type { WorkerManager } from '../workers/manager.js';

/** The dependencies that all modules of the fleet management share. */
export interface FleetDependencies {
  cloud: CloudClient;
  state: State;
  domainManager: DomainManager;
  workerManager: WorkerManager;
  /** Limits this controller's requests to the cloud. */
  cloudLimiter: RateLimiter;
  clock: Clock;
  log: Log;
  /** Wakes the commit loop. */
  wake: () => void;
}
