/** One controller: its loops, the notification of its components when records change, and its answers to requests. */
import { sleep } from '../clock.js';
import type { OperatorSettings } from '../config/operator.js';
import { userRoutes } from '../jobs/routes.js';
import { peerRequestHandler } from '../mesh/peer-service.js';
import type { PeerRequestHandler } from '../mesh/server.js';
import type { Metrics } from '../metrics.js';
import type { Settings } from '../model/settings.js';
import type { AcknowledgementRequest, PeerAcknowledgement } from '../protocol/peers.js';
import type { StateChange } from '../store/state.js';
import { Signal } from '../util/signal.js';
import type { Route } from '../wire/server.js';
import { assemble, type Components } from './assembly.js';
import type { Dependencies } from './dependencies.js';
import { publicRoutes } from './routes.js';

/** Interval at which the controller checks whether the first full read of the store is complete. */
const LOAD_CHECK_INTERVAL_MS = 20;
/** Upper bound of the replica age sent to peers; sent when the replica has never been current. */
const MAX_REPLICA_AGE_MS = 1e9;
/**
 * The pause after a provisioning run is at least this many times as long as the run (counted up to one interval), which
 * leaves time for everything else.
 */
const PROVISIONING_PAUSE_FACTOR = 4;

/** One controller with its components. Nothing runs before `start`. */
export class Controller {
  readonly routes: Route[];
  /** Handles the requests of the other controllers. */
  readonly servePeer: PeerRequestHandler;
  private readonly components: Components;
  private stopped = false;

  constructor(
    settings: Settings,
    operator: OperatorSettings,
    private readonly dependencies: Dependencies,
  ) {
    const stateChanged = new Signal<StateChange>();
    this.components = assemble(settings, operator, dependencies, stateChanged);
    stateChanged.subscribe((change) => {
      this.onStateChange(change);
    });
    const users = userRoutes(this.components.jobApi);
    this.routes = publicRoutes(this.components, users, () => this.replicaAgeMs());
    this.servePeer = peerRequestHandler({
      acknowledge: (request) => this.acknowledge(request),
      userRoutes: () => users,
    });
    this.observe();
  }

  /** Metrics that can be read while the process runs. */
  get metrics(): Metrics {
    return this.components.metrics;
  }

  /** Runs until `stop`. If a loop throws, the returned promise is rejected with its error. */
  async start(): Promise<void> {
    const { domainManager, peers } = this.components;
    await Promise.all([
      this.followStore(),
      domainManager.renewLoop(),
      this.runProvisioner(),
      peers.run(),
    ]);
  }

  /** Stops all loops without waiting for operations in progress. */
  stop(): void {
    const { watcher, domainManager, peers, commitLoop } = this.components;
    this.stopped = true;
    watcher.stop();
    domainManager.stop();
    peers.stop();
    commitLoop.stop();
  }

  /** Watches the store and runs the commit loop. Nothing is proposed before the first full read. */
  private async followStore(): Promise<void> {
    const { watcher, commitLoop } = this.components;
    const following = watcher.run();
    while (!watcher.isLoaded && !this.stopped)
      await sleep(this.dependencies.clock, LOAD_CHECK_INTERVAL_MS);
    await Promise.all([following, commitLoop.run(), this.runTicks()]);
  }

  private async runTicks(): Promise<void> {
    const { clock, log } = this.dependencies;
    const { placer, workerManager, watcher, integrity, timing } = this.components;
    let summarizedAt = clock.now();
    while (!this.stopped) {
      placer.requestPlan();
      workerManager.checkWorkers();
      if (watcher.isLoaded) integrity.checkIfDue();
      if (clock.now() - summarizedAt > timing.leaseMs) {
        summarizedAt = clock.now();
        log.info(placer.summary(), 'domain summary');
      }
      await sleep(clock, timing.heartbeatMs / 4);
    }
  }

  private async runProvisioner(): Promise<void> {
    const { clock } = this.dependencies;
    const { provisioner, timing } = this.components;
    const intervalMs = timing.provisioningMs;
    while (!this.stopped) {
      const tookMs = await provisioner.runOnce();
      await sleep(
        clock,
        Math.max(intervalMs, Math.min(tookMs, intervalMs) * PROVISIONING_PAUSE_FACTOR),
      );
    }
  }

  private onStateChange({
    jobs,
    machines,
    reassigned,
    machinesWithTaskChanges,
    controllersChanged,
    malformed,
  }: StateChange): void {
    const { integrity, placer, jobApi, provisioner, workerManager, commitLoop } = this.components;
    if (malformed) integrity.noteMalformed();
    for (const jobId of jobs) {
      placer.jobChanged(jobId);
      jobApi.jobChanged(jobId);
    }
    for (const machineId of machines) {
      placer.machineChanged(machineId);
      provisioner.machineChanged(machineId);
    }
    placer.tasksChanged(machinesWithTaskChanges);
    workerManager.ownersChanged(reassigned);
    workerManager.reconcileMachines(machinesWithTaskChanges);
    if (controllersChanged || jobs.size + machines.size + reassigned.size > 0) placer.requestPlan();
    commitLoop.wake();
  }

  private acknowledge({ controller, headRevision }: AcknowledgementRequest): PeerAcknowledgement {
    const { state, watcher, workerManager } = this.components;
    const cancelled = [...state.jobs].filter(
      ([, job]) => job.cancelled && Object.keys(job.allocationsByMachine).length > 0,
    );
    return {
      cancelledJobs: cancelled.map(([jobId]) => jobId),
      lostMachines: watcher.isLoaded ? state.machinesLostSince(controller, headRevision) : null,
      replicaAgeMs: Math.min(MAX_REPLICA_AGE_MS, this.replicaAgeMs()),
      cordonedMachines: workerManager.cordonedMachines(),
    };
  }

  private replicaAgeMs(): number {
    return this.dependencies.clock.now() - this.components.state.replica.lastConfirmedAt;
  }

  /** Connects the gauges to the components that provide their values. */
  private observe(): void {
    const { metrics, domainManager, state } = this.components;
    metrics.setGaugeValues({
      incarnation: () => domainManager.incarnation,
      fencingToken: () => state.fencingToken,
      leaseSeconds: () => domainManager.leaseRemainingMs / 1000,
      revision: () => state.replica.revision,
      replicaAgeSeconds: () => this.replicaAgeMs() / 1000,
      machines: () => domainManager.ownDomain().machines.size,
      quota: () => domainManager.quota.readings(),
    });
  }
}
