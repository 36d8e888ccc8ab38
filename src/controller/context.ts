/** Settings and shared objects from which the components of a controller are created. */
import type { Clock } from '../clock.js';
import type { OperatorSettings } from '../config/operator.js';
import type { Provisioner } from '../fleet/provisioner.js';
import { Metrics } from '../metrics.js';
import type { Settings } from '../model/settings.js';
import { StoreClient } from '../store/client.js';
import { RateLimiter } from '../store/rate-limiter.js';
import { State, type StateChange } from '../store/state.js';
import { ReplicaWatcher } from '../store/watcher.js';
import { Reference } from '../util/reference.js';
import { Signal } from '../util/signal.js';
import type { WorkerManager } from '../workers/manager.js';
import type { Dependencies } from './dependencies.js';
import { timingOf, type Timing } from './timing.js';

/** Settings, the store client and replica, and the signals and references that connect the components. */
export interface Context {
  settings: Settings;
  operator: OperatorSettings;
  dependencies: Dependencies;
  timing: Timing;
  metrics: Metrics;
  store: StoreClient;
  state: State;
  watcher: ReplicaWatcher;
  /** Limits the rate of writes to the state service. */
  writeLimiter: RateLimiter;
  /** Emitted when there may be something to commit. */
  wakeUp: Signal;
  /** Emits `wakeUp`. */
  wake: () => void;
  /** Bound once it is created. The domain manager asks it whether all workers are unreachable. */
  workerManager: Reference<WorkerManager>;
  /** Bound once it is created. It provides the machine types. */
  provisioner: Reference<Provisioner>;
}

/** Creates the context; `stateChanged` is emitted whenever records have changed. */
export function makeContext(
  settings: Settings,
  operator: OperatorSettings,
  dependencies: Dependencies,
  stateChanged: Signal<StateChange>,
): Context {
  const { clock, log } = dependencies;
  const timing = timingOf(settings, operator);
  const metrics = new Metrics();
  const store = new StoreClient({
    call: dependencies.store,
    watchCall: dependencies.storeWatch,
    clock,
    log,
    timeoutMs: timing.heartbeatMs,
  });
  const state = new State((change) => {
    stateChanged.emit(change);
  });
  const watcher = new ReplicaWatcher(
    { store, state, clock, log, metrics },
    {
      blockMs: timing.leaseMs / 5,
      pauseMs: timing.heartbeatMs / 5,
      minIntervalMs: timing.propagationMs,
    },
  );
  const wakeUp = new Signal();
  return {
    settings,
    operator,
    dependencies,
    timing,
    metrics,
    store,
    state,
    watcher,
    writeLimiter: makeWriteLimiter(clock, settings),
    wakeUp,
    wake: () => {
      wakeUp.emit();
    },
    workerManager: new Reference('worker manager'),
    provisioner: new Reference('provisioner'),
  };
}

function makeWriteLimiter(clock: Clock, { stateService, controllerCount }: Settings): RateLimiter {
  const { writesPerSecond } = stateService;
  return new RateLimiter(clock, writesPerSecond / controllerCount, writesPerSecond / 2);
}
