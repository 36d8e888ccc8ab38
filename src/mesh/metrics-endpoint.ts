/** Answers `GET /metrics` on connections that the internal address hands over. */
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Metrics } from '../metrics.js';

/** A request that is not whole by then is given up, in milliseconds. */
const REQUEST_MS = 5000;

/** A handler for connections that begin with an HTTP request; it knows `/metrics` alone. */
export function metricsHandler(metrics: Metrics): (socket: Socket) => void {
  const server = createServer({ requestTimeout: REQUEST_MS }, (request, response) => {
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
