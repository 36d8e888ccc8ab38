/**
 * Creates and connects the components of one controller. Components that are created early reach later ones through
 * signals, or through references that are bound as soon as the later ones exist. Nothing runs before `Controller.start`.
 */
import type { OperatorSettings } from '../config/operator.js';
import type { Provisioner } from '../fleet/provisioner.js';
import type { JobApi } from '../jobs/api.js';
import type { Metrics } from '../metrics.js';
import type { Settings } from '../model/settings.js';
import type { Placer } from '../placement/placer.js';
import { CommitLoop } from '../store/commit-loop.js';
import type { State, StateChange } from '../store/state.js';
import type { ReplicaWatcher } from '../store/watcher.js';
import type { Signal } from '../util/signal.js';
import {
  makeDomainManager,
  makeIntegrity,
  makeJobApi,
  makePeers,
  makePlacer,
  makeProvisioner,
  makeWorkerManager,
  type Managers,
} from './components.js';
import { makeContext, type Context } from './context.js';
import type { Dependencies } from './dependencies.js';
import type { Timing } from './timing.js';

/** The components of one controller. */
export interface Components extends Managers {
  state: State;
  watcher: ReplicaWatcher;
  placer: Placer;
  provisioner: Provisioner;
  jobApi: JobApi;
  commitLoop: CommitLoop;
  metrics: Metrics;
  timing: Timing;
}

/** Creates all components of a controller; `stateChanged` is emitted whenever records have changed. */
export function assemble(
  settings: Settings,
  operator: OperatorSettings,
  dependencies: Dependencies,
  stateChanged: Signal<StateChange>,
): Components {
  const context = makeContext(settings, operator, dependencies, stateChanged);
  const { state, watcher, metrics, timing, wakeUp } = context;
  const integrity = makeIntegrity(context);
  const peers = makePeers(context);
  const domainManager = makeDomainManager(context, integrity);
  const workerManager = context.workerManager.bind(
    makeWorkerManager(context, peers, domainManager),
  );
  const managers = { integrity, peers, domainManager, workerManager };
  const placer = makePlacer(context, managers);
  const provisioner = context.provisioner.bind(makeProvisioner(context, managers, placer));
  const jobApi = makeJobApi(context, integrity);
  const proposers = { domainManager, workerManager, placer, provisioner, jobApi };
  const commitLoop = makeCommitLoop(context, proposers);
  wakeUp.subscribe(() => {
    commitLoop.wake();
  });
  return { ...managers, ...proposers, state, watcher, commitLoop, metrics, timing };
}

type Proposers = Pick<
  Components,
  'domainManager' | 'workerManager' | 'placer' | 'provisioner' | 'jobApi'
>;

/** Sources are listed in the order in which they are asked. */
function makeCommitLoop(
  { timing, store, state, watcher, writeLimiter, metrics, dependencies }: Context,
  { domainManager, workerManager, placer, provisioner, jobApi }: Proposers,
): CommitLoop {
  const { clock, log } = dependencies;
  return new CommitLoop(
    {
      urgent: [...domainManager.urgentSources(), ...workerManager.urgentSources()],
      main: placer.source(),
      rest: [
        jobApi.source(),
        ...provisioner.sources(),
        ...domainManager.sources(),
        ...workerManager.sources(),
      ],
    },
    {
      store,
      state,
      limiter: writeLimiter,
      clock,
      log,
      metrics,
      catchUp: () => watcher.catchUp(timing.heartbeatMs),
    },
    { pauseMs: timing.heartbeatMs / 8 },
  );
}
