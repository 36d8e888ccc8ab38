/** Answers the requests of peers. */
import {
  decodeAcknowledgementRequest,
  decodeRelayedRequest,
  encodeAcknowledgement,
  encodeRelayedReply,
  PEER_REQUEST_TYPES,
  type AcknowledgementRequest,
  type PeerAcknowledgement,
} from '../protocol/peers.js';
import type { Body } from '../wire/codec.js';
import { findRoute, type Route } from '../wire/router.js';
import { MalformedPeerRequest, UnknownPeerRequestType, UnknownRelayedRoute } from './errors.js';
import type { PeerRequestHandler } from './server.js';

/** The service that answers peers' requests. */
export interface PeerService {
  /** This controller's acknowledgement: the part of its state that concerns the requesting controller's domain. */
  acknowledge(request: AcknowledgementRequest): PeerAcknowledgement;
  /** The routes that serve users' requests. */
  userRoutes(): Route[];
}

/** Makes a handler that answers requests by the service. It fails with a typed error for unsupported requests. */
export function peerRequestHandler(service: PeerService): PeerRequestHandler {
  return async (requestType, body) => {
    if (requestType === PEER_REQUEST_TYPES.acknowledge)
      return encodeAcknowledgement(service.acknowledge(decodeAcknowledgementRequest(body)));
    if (requestType !== PEER_REQUEST_TYPES.userRequest)
      throw new UnknownPeerRequestType(requestType);
    const { route, args, body: userBody } = relayedCall(service.userRoutes(), body);
    return encodeRelayedReply(await route.handle(args, userBody));
  };
}

/** The route, path arguments and body of a relayed request. */
function relayedCall(routes: Route[], message: Body): { route: Route; args: string[]; body: Body } {
  const request = decodeRelayedRequest(message);
  if (!request) throw new MalformedPeerRequest(PEER_REQUEST_TYPES.userRequest);
  const { method, path, body } = request;
  const target = findRoute(routes, method, path);
  if (!target) throw new UnknownRelayedRoute(method, path);
  return { route: target.route, args: target.args, body };
}
