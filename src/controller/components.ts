/** Creates each component of a controller from the context and the components that it uses. */
import { CloudClient } from '../cloud/client.js';
import { Integrity } from '../domain/integrity.js';
import { DomainManager } from '../domain/manager.js';
import { Provisioner } from '../fleet/provisioner.js';
import { JobApi } from '../jobs/api.js';
import { Peers } from '../mesh/peers.js';
import { passLimits } from '../placement/pass-limits.js';
import { Placer } from '../placement/placer.js';
import { RateLimiter } from '../store/rate-limiter.js';
import { keys } from '../store/records/index.js';
import { WorkerManager } from '../workers/manager.js';
import type { Context } from './context.js';
import { deadlineMultiples } from './timing.js';

/** Share of the cloud's request rate that the renting controller uses; the other controllers send few requests. */
const RENTING_RATE_SHARE = 0.7;
/** Time limits for users' polls and other requests. Users give up a poll after 2 s and any other request after 5 s. */
const POLL_TIMEOUT_MS = 1500;
const REQUEST_TIMEOUT_MS = 4000;

/** Creates the checks of records and indexes, which can suspend decisions. */
export function makeIntegrity({
  settings,
  timing,
  state,
  watcher,
  metrics,
  dependencies,
}: Context): Integrity {
  const { clock, log } = dependencies;
  return new Integrity(
    { checkMs: timing.leaseMs / 4, repeatMs: timing.leaseMs },
    {
      teams: settings.teams,
      state,
      clock,
      log,
      metrics,
      reread: () => watcher.reread(),
    },
  );
}

/** Creates the client side of the exchange with the other controllers, which collects their acknowledgements. */
export function makePeers({
  settings,
  timing,
  state,
  dependencies,
  workerManager,
}: Context): Peers {
  const { clock, log } = dependencies;
  const self = settings.controller;
  return new Peers(
    {
      self,
      pollMs: timing.leaseMs / 5,
      timeoutMs: timing.heartbeatMs,
      maxReplicaAgeMs: timing.leaseMs / 2,
    },
    {
      clients: new Map(
        settings.peers.map(({ controller, address }) => [controller, dependencies.peer(address)]),
      ),
      clock,
      log,
      local: {
        ownHeadRevision: () => state.modRevisionOf(keys.domain(self)),
        lacksCancellation: (jobId) => {
          const job = state.jobs.get(jobId);
          return job !== undefined && !job.cancelled;
        },
      },
      onCancelled: (jobIds) => {
        for (const jobId of jobIds)
          workerManager
            .get()
            .reconcileMachines(Object.keys(state.jobs.get(jobId)?.allocationsByMachine ?? {}));
      },
    },
  );
}

/** Creates the manager of the own domain. */
export function makeDomainManager(context: Context, integrity: Integrity): DomainManager {
  const { settings, timing, store, state, metrics, dependencies, wake, workerManager } = context;
  const { clock, log } = dependencies;
  const replicaIsFresh = (): boolean =>
    clock.now() - state.replica.lastConfirmedAt < timing.freshReplicaMs;
  return new DomainManager(
    {
      self: settings.controller,
      peers: settings.peers.map(({ controller }) => controller),
      controllerCount: settings.controllerCount,
      renewMs: timing.renewMs,
      leaseMs: timing.livenessLeaseMs,
      rebalanceMs: timing.leaseMs,
      batchingMs: timing.heartbeatMs / 2,
      maxWrites: settings.stateService.maxWrites,
      maxValueBytes: settings.stateService.maxValueBytes,
    },
    {
      teams: settings.teams,
      store,
      state,
      clock,
      log,
      metrics,
      integrity,
      workers: {
        ownersChanged: (machineIds) => {
          workerManager.get().ownersChanged(machineIds);
        },
        isIsolated: () => replicaIsFresh() && workerManager.get().isIsolated(),
      },
      wake,
    },
  );
}

/** Creates the manager of the sessions with the workers on own machines. */
export function makeWorkerManager(
  { settings, timing, state, dependencies, wake }: Context,
  peers: Peers,
  domainManager: DomainManager,
): WorkerManager {
  const { clock, log } = dependencies;
  return new WorkerManager(
    {
      self: settings.controller,
      heartbeatIntervalMs: timing.heartbeatMs,
      leaseMs: timing.leaseMs,
      cancellationMs: timing.cancelMs,
      maxWrites: settings.stateService.maxWrites,
      outcomeBatchingMs: timing.outcomeBatchingMs,
      addressBatchingMs: timing.leaseMs,
      requestTimeoutMs: timing.requestTimeoutMs,
    },
    {
      state,
      domainManager,
      clock,
      log,
      callerFor: (address) => dependencies.worker(address),
      wake,
      acknowledgedUntil: () => peers.acknowledgedUntil(state.replica.lastConfirmedAt),
      peers,
    },
  );
}

/** Components besides the placer that make decisions about machines. */
export interface Managers {
  integrity: Integrity;
  peers: Peers;
  domainManager: DomainManager;
  workerManager: WorkerManager;
}

/** Creates the placer, which places waiting jobs. */
export function makePlacer(context: Context, managers: Managers): Placer {
  const { settings, timing, state, metrics, dependencies, wake, provisioner } = context;
  const { clock, log } = dependencies;
  const { integrity, peers, domainManager, workerManager } = managers;
  const { stateService, serviceLevelObjectives } = settings;
  return new Placer(
    {
      self: settings.controller,
      limits: passLimits(stateService),
      maxPreemptedTasks: stateService.maxWrites,
      enforcesGuarantees: serviceLevelObjectives.some(({ kind }) => kind === 'guarantee'),
      controllerZones: new Set([settings.zone, ...settings.peers.map(({ zone }) => zone)]),
      propagationMs: timing.propagationMs,
      replacementMs: timing.replacementMs,
      agedMs: timing.agedMs,
      deadlineMultiples: deadlineMultiples(settings),
    },
    {
      state,
      domainManager,
      workerManager,
      integrity,
      metrics,
      teams: settings.teams,
      machineTypes: () => provisioner.get().machineTypes,
      cordonedByPeers: () => peers.cordonedMachines(),
      clock,
      log,
      wake,
    },
  );
}

/** Creates the provisioner, which scales the fleet out and in. */
export function makeProvisioner(context: Context, managers: Managers, placer: Placer): Provisioner {
  const { settings, operator, timing, state, dependencies, wake } = context;
  const { clock, log } = dependencies;
  const { domainManager, workerManager } = managers;
  const { requestsPerSecond, listLagMs } = settings.cloud;
  return new Provisioner(
    {
      self: settings.controller,
      rent: operator.rent,
      idleBoots: operator.idleBoots,
      listLagMs,
      leaseMs: timing.leaseMs,
      maxWrites: settings.stateService.maxWrites,
      maxValueBytes: settings.stateService.maxValueBytes,
    },
    {
      cloud: new CloudClient(dependencies.cloud, timing.requestTimeoutMs),
      state,
      domainManager,
      workerManager,
      placer,
      cloudLimiter: new RateLimiter(clock, requestsPerSecond * RENTING_RATE_SHARE),
      clock,
      log,
      wake,
    },
  );
}

/** Creates the API that handles users' requests. */
export function makeJobApi(context: Context, integrity: Integrity): JobApi {
  const { settings, store, state, watcher, writeLimiter, dependencies, provisioner } = context;
  const { clock, log } = dependencies;
  const { maxValueBytes, maxWrites } = settings.stateService;
  return new JobApi(
    {
      self: settings.controller,
      maxValueBytes,
      maxWrites: maxWrites,
      pollTimeoutMs: POLL_TIMEOUT_MS,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    },
    {
      store,
      state,
      watcher,
      writeLimiter,
      teamQuotas: settings.teams,
      machineTypes: () => provisioner.get().machineTypes,
      memoryIsShort: () => dependencies.memoryIsShort(),
      clock,
      log,
      isSound: () => integrity.isSound,
    },
  );
}
