import type { Server } from 'node:net';
import { Controller } from './controller.js';
import { systemClock } from './clock.js';
import type { Operator } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { makeLog } from './log.js';
import { heapBudget, MemoryGuard } from './memory-guard.js';
import type { CodeCacheUse } from './startup/code-cache.js';
import { metricsHandler } from './mesh/metrics-endpoint.js';
import { connectPeer } from './mesh/peer-connection.js';
import { meshServer } from './mesh/server.js';
import { httpCaller, splitAddress } from './wire/client.js';
import { divideSockets, WorkerConnections } from './wire/worker-connections.js';
import { makeServer } from './wire/server.js';

/** Connections to the internal address beside those of peers: for who reads the metrics. */
const METRICS_CONNECTIONS = 2;

const BYTES_PER_MB = 1024 * 1024;
/** Part of the heap's budget that one answer of the state service may take before it is read. */
const MOST_OF_HEAP_FOR_ANSWER = 0.25;
/** How often the heap is looked at in the time that each worker reports once. */
const MEMORY_LOOKS_PER_REPORT = 4;

/** Starts one controller on the real network and keeps it running. */
export async function serve(
  settings: Settings,
  operator: Operator,
  codeCache: CodeCacheUse,
): Promise<void> {
  const log = makeLog(settings.host_name);
  const sockets = divideSockets(settings.settings.quota.max_sockets);
  const links = new WorkerConnections(sockets.outbound);
  const { quota, workers } = settings.settings;
  const heapBytes = heapBudget(quota.memory_mb * BYTES_PER_MB, quota.max_sockets);
  const memory = new MemoryGuard(heapBytes);
  const answerBytes = heapBytes * MOST_OF_HEAP_FOR_ANSWER;
  setInterval(
    () => {
      memory.look();
    },
    (workers.report_s * 1000) / MEMORY_LOOKS_PER_REPORT,
  );
  const controller = new Controller(settings, operator, {
    clock: systemClock,
    log,
    store: httpCaller(settings.external.state, 8, answerBytes),
    storeWatch: httpCaller(settings.external.state, 2, answerBytes),
    cloud: httpCaller(settings.external.cloud, 4),
    worker: (address) => links.callerFor(address),
    peer: connectPeer,
    memoryIsShort: () => memory.isShort,
  });
  const server = makeServer(controller.routes, {
    maxSockets: sockets.inbound,
    maxLongLived: sockets.keptFromWorkers,
    requestMs: 5000,
    onError: (error) => {
      log.error({ err: String(error) }, 'request failed');
    },
  });
  const listen = (target: Server, address: string): Promise<void> =>
    new Promise((resolve, reject) => {
      const { host, port } = splitAddress(address);
      target.once('error', reject);
      target.listen(port, host, resolve);
    });
  const mesh = meshServer(
    controller.serveMesh,
    settings.others.length * 4 + METRICS_CONNECTIONS,
    metricsHandler(controller.metrics),
  );
  await listen(mesh, settings.internal_addr);
  await listen(server, settings.serve_on);
  log.info({ serve_on: settings.serve_on, codeCache }, 'listening');
  await controller.start();
}
