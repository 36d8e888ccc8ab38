/** Serves `GET /metrics` on connections to the internal address that begin with an HTTP request. */
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Metrics } from '../metrics.js';

/** Time within which a request must have arrived completely, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5000;

/** A handler for connections that begin with an HTTP request; it serves `/metrics` only. */
export function metricsHandler(metrics: Metrics): (socket: Socket) => void {
  const server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS }, (request, response) => {
    if (request.url !== '/metrics') {
      response.writeHead(404).end();
      return;
    }
    metrics.text().then(
      ({ contentType, text }) => {
        response.writeHead(200, { 'content-type': contentType }).end(text);
      },
      () => {
        response.writeHead(500).end();
      },
    );
  });
  return (socket) => {
    server.emit('connection', socket);
  };
}
