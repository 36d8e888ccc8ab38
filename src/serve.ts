/** One controller on the real network. */
import type { Server } from 'node:net';
import { systemClock } from './clock.js';
import type { Operator } from './config/operator.js';
import { Controller } from './controller/controller.js';
import { makeLog, type Log } from './log.js';
import { heapBudget, MemoryGuard } from './memory-guard.js';
import { metricsHandler } from './mesh/metrics-endpoint.js';
import { connectPeer } from './mesh/peer-connection.js';
import { meshServer } from './mesh/server.js';
import type { Settings } from './model/settings.js';
import type { CodeCacheUse } from './startup/code-cache.js';
import { httpCaller, splitAddress } from './wire/client.js';
import { makeServer } from './wire/server.js';
import { divideSockets, WorkerConnections, type SocketShares } from './wire/worker-connections.js';

/** Connections to the internal address: for each peer, and beside these for who reads the metrics. */
const CONNECTIONS_PER_PEER = 4;
const METRICS_CONNECTIONS = 2;
/** Connections to the state service, to the same for watches, and to the cloud. */
const STORE_CONNECTIONS = 8;
const WATCH_CONNECTIONS = 2;
const CLOUD_CONNECTIONS = 4;
/** Time that a client has for the whole of one request. */
const REQUEST_MS = 5000;
/** Part of the heap's budget that one answer of the state service may take before it is read. */
const MAX_ANSWER_SHARE_OF_HEAP = 0.25;
/** How often the heap is looked at in the time in which each worker sends one heartbeat. */
const MEMORY_CHECKS_PER_HEARTBEAT = 4;

/** Starts one controller on the real network and keeps it running. */
export async function serve(
  settings: Settings,
  operator: Operator,
  codeCache: CodeCacheUse,
): Promise<void> {
  const log = makeLog(settings.controller);
  const sockets = divideSockets(settings.process.maxSockets);
  const controller = makeController(settings, operator, log, sockets);
  const mesh = meshServer(
    controller.servePeer,
    settings.peers.length * CONNECTIONS_PER_PEER + METRICS_CONNECTIONS,
    metricsHandler(controller.metrics),
  );
  const server = makeServer(controller.routes, {
    maxSockets: sockets.inbound,
    maxLongLived: sockets.keptFromWorkers,
    requestMs: REQUEST_MS,
    onError: (error) => {
      log.error({ err: error }, 'request failed');
    },
  });
  await listen(mesh, settings.internalAddress);
  await listen(server, settings.listenAddress);
  log.info({ listenAddress: settings.listenAddress, codeCache }, 'listening');
  await controller.start();
}

function makeController(
  settings: Settings,
  operator: Operator,
  log: Log,
  sockets: SocketShares,
): Controller {
  const { memoryBytes, maxSockets } = settings.process;
  const heapBytes = heapBudget(memoryBytes, maxSockets);
  const memory = watchMemory(heapBytes, settings.workers.heartbeatMs);
  const maxAnswerBytes = heapBytes * MAX_ANSWER_SHARE_OF_HEAP;
  const { stateServiceAddress, cloudAddress } = settings;
  const workers = new WorkerConnections(sockets.outbound);
  return new Controller(settings, operator, {
    clock: systemClock,
    log,
    store: httpCaller(stateServiceAddress, STORE_CONNECTIONS, maxAnswerBytes),
    storeWatch: httpCaller(stateServiceAddress, WATCH_CONNECTIONS, maxAnswerBytes),
    cloud: httpCaller(cloudAddress, CLOUD_CONNECTIONS),
    worker: (address) => workers.callerFor(address),
    peer: connectPeer,
    memoryIsShort: () => memory.isShort,
  });
}

/** A guard that looks at the heap as long as the process runs. */
function watchMemory(heapBytes: number, heartbeatMs: number): MemoryGuard {
  const memory = new MemoryGuard(heapBytes);
  setInterval(() => {
    memory.look();
  }, heartbeatMs / MEMORY_CHECKS_PER_HEARTBEAT);
  return memory;
}

function listen(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
