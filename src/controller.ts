import { keys } from './store/records/index.js';
import { sleep, type Clock } from './clock.js';
import { CloudClient } from './cloud/client.js';
import type { Operator } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { Integrity } from './domain/integrity.js';
import { DomainManager } from './domain/manager.js';
import { Provisioner } from './fleet/provisioner.js';
import { JobApi } from './jobs/api.js';
import { relayed, userRoutes } from './jobs/routes.js';
import type { Log } from './log.js';
import { Metrics } from './metrics.js';
import type { PeerClient } from './mesh/peer-connection.js';
import { peerRequestHandler } from './mesh/peer-service.js';
import { Peers } from './mesh/peers.js';
import { Placer } from './placement/placer.js';
import { teamQuotas } from './placement/snapshot.js';
import type { PeerAcknowledgement } from './protocol/peers.js';
import { RateLimiter } from './store/rate-limiter.js';
import { StoreClient } from './store/client.js';
import { CommitLoop } from './store/commit-loop.js';
import { ReplicaWatcher } from './store/watcher.js';
import { State, type StateChange } from './store/state.js';
import type { Caller } from './wire/client.js';
import type { Route } from './wire/server.js';
import { WorkerManager } from './workers/manager.js';

/** The multiples of a deadline that count, by the operators' aims. */
function deadlineTimes(settings: Settings): number[] {
  const aims = settings.settings.objectives.filter(({ kind }) => kind === 'deadline');
  const times = new Set(aims.map((aim) => aim.times ?? 1));
  return times.size > 0 ? [...times].sort((a, b) => a - b) : [1];
}

/** Without proof for 0.35 of a worker's lease, in milliseconds for each of its seconds, peers answer users first. */
const STALE_MS_PER_LEASE_S = 350;
/** Part of the cloud's limit that the controller takes that rents. */
const RENTING_SHARE = 0.7;
/** What a peer has to answer a user's request within. */
const RELAY_MS = 1500;

/** What a controller needs of the world around it; tests hand in stand-ins. */
export interface Dependencies {
  clock: Clock;
  log: Log;
  store: Caller;
  storeWatch: Caller;
  cloud: Caller;
  worker(address: string): Caller;
  peer(address: string): PeerClient;
  /** Whether new jobs must be refused because memory runs out. */
  memoryIsShort(): boolean;
}

/** One controller, put together. It starts nothing by itself before `start`. */
export class Controller {
  readonly routes: Route[];
  private readonly users: Route[];
  private readonly state: State;
  private readonly watcher: ReplicaWatcher;
  private readonly domainManager: DomainManager;
  private readonly workerManager: WorkerManager;
  private readonly placer: Placer;
  private readonly provisioner: Provisioner;
  private readonly jobApi: JobApi;
  private readonly commitLoop: CommitLoop;
  private readonly peers: Peers;
  private readonly integrity: Integrity;
  /** Figures that can be read while the process runs. */
  readonly metrics = new Metrics();
  private stopped = false;

  constructor(
    private readonly settings: Settings,
    operator: Operator,
    private readonly dependencies: Dependencies,
  ) {
    const { clock, log } = dependencies;
    const { workers, state: limits, cloud, size } = settings.settings;
    const self = settings.host_name;
    const reportMs = workers.report_s * 1000;
    const leaseMs = workers.lease_s * 1000;
    const valueBytes = limits.value_kb * 1024;
    const renewMs = leaseMs * operator.renewalShare;
    const teams = teamQuotas(settings);
    const writes = new RateLimiter(clock, limits.write_rps / size, limits.write_rps / 2);
    // What all controllers together may read by watches and proofs: a part of the requests; and no more often
    // than anybody notices, for each costs processor time as well.
    const gapMs = Math.max((size / (limits.rps * 0.15)) * 1000, reportMs / 50);

    const store = new StoreClient({
      call: dependencies.store,
      watchCall: dependencies.storeWatch,
      clock,
      log,
      timeoutMs: reportMs,
    });
    this.peers = new Peers(
      { self, pollMs: leaseMs / 5, timeoutMs: reportMs, maxReplicaAgeMs: leaseMs / 2 },
      {
        clients: new Map(
          settings.others.map(({ host_name, address }) => [host_name, dependencies.peer(address)]),
        ),
        clock,
        log,
        local: {
          ownHeadRevision: () => this.state.modRevisionOf(keys.domain(self)),
          lacksCancellation: (jobId) => {
            const job = this.state.jobs.get(jobId);
            return job !== undefined && !job.cancelled;
          },
        },
        onCancelled: (jobIds) => {
          for (const jobId of jobIds)
            this.workerManager.reconcileMachines(
              Object.keys(this.state.jobs.get(jobId)?.allocationsByMachine ?? {}),
            );
        },
      },
    );
    this.state = new State((onStateChange) => {
      this.changed(onStateChange);
    });
    const wake = (): void => {
      this.commitLoop.wake();
    };
    this.watcher = new ReplicaWatcher(
      { store, state: this.state, clock, log, metrics: this.metrics },
      { blockMs: leaseMs / 5, pauseMs: reportMs / 5, minIntervalMs: gapMs },
    );
    this.integrity = new Integrity(
      { checkMs: leaseMs / 4, repeatMs: leaseMs },
      {
        teams,
        state: this.state,
        clock,
        log,
        metrics: this.metrics,
        reread: () => this.watcher.reread(),
      },
    );
    this.domainManager = new DomainManager(
      {
        self,
        peers: settings.others.map((other) => other.host_name),
        controllerCount: size,
        renewMs,
        leaseMs: renewMs * operator.missedRenewals,
        rebalanceMs: leaseMs,
        gatherMs: reportMs / 2,
        maxWrites: limits.txn_ops,
        maxValueBytes: valueBytes,
      },
      {
        teams,
        store,
        state: this.state,
        clock,
        log,
        metrics: this.metrics,
        integrity: this.integrity,
        workers: {
          ownersChanged: (machineIds) => {
            this.workerManager.ownersChanged(machineIds);
          },
          isIsolated: () => this.replicaAgeMs() < leaseMs * 0.3 && this.workerManager.isIsolated(),
        },
        wake,
      },
    );
    this.workerManager = new WorkerManager(
      {
        self,
        heartbeatIntervalMs: reportMs,
        leaseMs,
        cancellationMs: workers.cancel_s * 1000,
        maxTransactionOps: limits.txn_ops,
        outcomeBatchingMs: Math.max(gapMs * 2, reportMs / 20),
        addressBatchingMs: leaseMs,
        requestTimeoutMs: leaseMs / 4,
      },
      {
        state: this.state,
        domainManager: this.domainManager,
        clock,
        log,
        callerFor: (address) => dependencies.worker(address),
        wake,
        acknowledgedUntil: () => this.peers.acknowledgedUntil(this.state.replica.freshAt),
        peers: this.peers,
      },
    );
    const flavors = () => this.provisioner.machineTypes;
    this.placer = new Placer(
      {
        self,
        txnOps: limits.txn_ops,
        writeRps: limits.write_rps,
        valueBytes,
        enforcesGuarantees: settings.settings.objectives.some(({ kind }) => kind === 'guarantee'),
        controllerZones: new Set([settings.zone, ...settings.others.map((other) => other.zone)]),
        propagationMs: gapMs,
        replacementMs: Math.max(gapMs * 4, reportMs / 2),
        agedMs: workers.cancel_s * 4000,
        deadlineMultiples: deadlineTimes(settings),
      },
      {
        state: this.state,
        domainManager: this.domainManager,
        workerManager: this.workerManager,
        integrity: this.integrity,
        metrics: this.metrics,
        teams,
        machineTypes: flavors,
        cordonedByPeers: () => this.peers.cordonedMachines(),
        clock,
        log,
        wake,
      },
    );
    this.provisioner = new Provisioner(
      {
        self,
        rent: operator.rent,
        idleBoots: operator.idleBoots,
        listLagMs: cloud.list_lag_s * 1000,
        leaseMs,
        txnOps: limits.txn_ops,
        valueBytes,
      },
      {
        cloud: new CloudClient(dependencies.cloud, leaseMs / 4),
        state: this.state,
        domainManager: this.domainManager,
        workerManager: this.workerManager,
        placer: this.placer,
        // One controller rents; the others ask little.
        cloudLimiter: new RateLimiter(clock, cloud.rps * RENTING_SHARE),
        clock,
        log,
        wake,
      },
    );
    this.jobApi = new JobApi(
      {
        self,
        maxValueBytes: valueBytes,
        maxTransactionOps: limits.txn_ops,
        pollTimeoutMs: 1500,
        requestTimeoutMs: 4000,
      },
      {
        store,
        state: this.state,
        watcher: this.watcher,
        writeLimiter: writes,
        teamQuotas: teams,
        machineTypes: flavors,
        memoryIsShort: () => dependencies.memoryIsShort(),
        clock,
        log,
        isSound: () => this.integrity.isSound,
      },
    );
    this.commitLoop = new CommitLoop(
      {
        urgent: [...this.domainManager.urgentSources(), ...this.workerManager.urgentSources()],
        main: this.placer.source(),
        rest: [
          this.jobApi.source(),
          ...this.provisioner.sources(),
          ...this.domainManager.sources(),
          ...this.workerManager.sources(),
        ],
      },
      {
        store,
        state: this.state,
        limiter: writes,
        clock,
        log,
        metrics: this.metrics,
        catchUp: () => this.watcher.catchUp(reportMs),
      },
      { pauseMs: reportMs / 8 },
    );
    this.observe();
    this.users = userRoutes(this.jobApi);
    this.routes = this.makeRoutes();
  }

  /** Runs until `stop`; a loop that throws ends it with the error. */
  async start(): Promise<void> {
    await Promise.all([
      this.follow(),
      this.domainManager.renewLoop(),
      this.provisionerLoop(),
      this.peers.run(),
    ]);
  }

  stop(): void {
    this.stopped = true;
    this.watcher.stop();
    this.domainManager.stop();
    this.peers.stop();
    this.commitLoop.stop();
  }

  private async follow(): Promise<void> {
    const following = this.watcher.run();
    while (!this.watcher.isLoaded && !this.stopped) await sleep(this.dependencies.clock, 20);
    await Promise.all([following, this.commitLoop.run(), this.tickLoop()]);
  }

  private async tickLoop(): Promise<void> {
    let toldAt = this.dependencies.clock.now();
    while (!this.stopped) {
      this.placer.requestPlan();
      this.workerManager.tick();
      if (this.watcher.isLoaded) this.integrity.checkIfDue();
      if (this.dependencies.clock.now() - toldAt > this.settings.settings.workers.lease_s * 1000) {
        toldAt = this.dependencies.clock.now();
        this.dependencies.log.info(this.placer.summary(), 'own domain');
      }
      await sleep(this.dependencies.clock, (this.settings.settings.workers.report_s * 1000) / 4);
    }
  }

  private observe(): void {
    const { domainManager, state } = this;
    this.metrics.observe({
      incarnation: () => domainManager.incarnation,
      term: () => state.fencingToken,
      leaseSeconds: () => domainManager.leaseLeftMs / 1000,
      generation: () => state.replica.revision,
      replicaAgeSeconds: () => this.replicaAgeMs() / 1000,
      machines: () => domainManager.ownDomain().machines.size,
      quota: () => domainManager.quota.parts(),
    });
  }

  private async provisionerLoop(): Promise<void> {
    while (!this.stopped) {
      const { clock } = this.dependencies;
      const tookMs = await this.provisioner.tick();
      // Looking over the whole fleet leaves time for all else.
      const everyMs = (this.settings.settings.cloud.list_lag_s * 1000) / 8 || 1000;
      await sleep(clock, Math.max(everyMs, Math.min(tookMs, everyMs) * 4));
    }
  }

  private changed({
    jobs,
    machines: boxes,
    reassigned: owned,
    touched,
    hosts,
    malformed,
  }: StateChange): void {
    if (malformed) this.integrity.noteMalformed();
    for (const uid of jobs) {
      this.placer.noteJob(uid);
      this.jobApi.noteJob(uid);
    }
    for (const id of boxes) {
      this.placer.noteMachine(id);
      this.provisioner.noteMachine(id);
    }
    this.placer.noteTasks(touched);
    this.workerManager.ownersChanged(owned);
    this.workerManager.reconcileMachines(touched);
    if (hosts || jobs.size + boxes.size + owned.size > 0) this.placer.requestPlan();
    this.commitLoop.wake();
  }

  /** Answers to the other controllers. */
  readonly serveMesh = peerRequestHandler({
    acknowledge: ({ controller, headRevision }) => this.acknowledge(controller, headRevision),
    userRoutes: () => this.users,
  });

  private acknowledge(asker: string, headRevision: number): PeerAcknowledgement {
    const { state } = this;
    const cancelled = [...state.jobs].filter(
      ([, job]) => job.cancelled && Object.keys(job.allocationsByMachine).length > 0,
    );
    return {
      cancelledJobs: cancelled.map(([jobId]) => jobId),
      lostMachines: this.watcher.isLoaded ? state.machinesLostSince(asker, headRevision) : null,
      replicaAgeMs: Math.min(1e9, this.replicaAgeMs()),
      cordonedMachines: this.workerManager.cordoned(),
    };
  }

  private replicaAgeMs(): number {
    return this.dependencies.clock.now() - this.state.replica.freshAt;
  }

  private makeRoutes(): Route[] {
    return [
      {
        method: 'POST',
        path: ['checkin'],
        isLongLived: true,
        handle: (_, body) => this.workerManager.handleHeartbeat(body),
      },
      ...this.users.map((route) =>
        relayed(route, this.peers, {
          replicaAgeMs: () => this.replicaAgeMs(),
          staleMs: this.settings.settings.workers.lease_s * STALE_MS_PER_LEASE_S,
          timeoutMs: RELAY_MS,
        }),
      ),
      {
        method: 'GET',
        path: ['up'],
        handle: () => ({
          status:
            this.watcher.isLoaded &&
            (this.domainManager.isRegistered || this.domainManager.isReleased)
              ? 200
              : 503,
          body: {},
        }),
      },
    ];
  }
}
