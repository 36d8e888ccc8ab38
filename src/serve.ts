/** Runs one controller on the real network. */
import type { Server } from 'node:net';
import { systemClock } from './clock.js';
import type { OperatorSettings } from './config/operator.js';
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

/** Inbound connections allowed on the internal address: per peer, and in addition for clients that read the metrics. */
const CONNECTIONS_PER_PEER = 4;
const METRICS_CONNECTIONS = 2;
/** Outbound connections: to the state service, to the state service for watches, and to the cloud. */
const STORE_CONNECTIONS = 8;
const WATCH_CONNECTIONS = 2;
const CLOUD_CONNECTIONS = 4;
/** Time within which a client must send a whole request. */
const REQUEST_TIMEOUT_MS = 5000;
/** Fraction of the heap budget that one answer of the state service may use before it is decoded. */
const MAX_ANSWER_SHARE_OF_HEAP = 0.25;
/** Number of heap checks per heartbeat interval of the workers. */
const MEMORY_CHECKS_PER_HEARTBEAT = 4;

/** Starts one controller on the real network and keeps it running. */
export async function serve(
  settings: Settings,
  operator: OperatorSettings,
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
    maxLongLived: sockets.inboundLongLived,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
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
  operator: OperatorSettings,
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

/** Starts a guard that checks the heap at a fixed interval for as long as the process runs. */
function watchMemory(heapBytes: number, heartbeatMs: number): MemoryGuard {
  const memory = new MemoryGuard(heapBytes);
  setInterval(() => {
    memory.check();
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
