/** Answers what peers ask. */
import {
  decodeAcknowledgementRequest,
  decodeRelayedRequest,
  encodeAcknowledgement,
  encodeRelayedReply,
  PEER_QUESTIONS,
  type AcknowledgementRequest,
  type PeerAcknowledgement,
} from '../protocol/peers.js';
import type { Body } from '../wire/codec.js';
import { findRoute, type Route } from '../wire/router.js';
import { MalformedPeerRequest, UnknownPeerQuestion, UnknownRelayedRoute } from './errors.js';
import type { PeerRequestHandler } from './server.js';

/** What answers to peers are made from. */
export interface PeerService {
  /** What this controller knows that concerns the asker's domain. */
  acknowledge(request: AcknowledgementRequest): PeerAcknowledgement;
  /** The routes that serve users' requests. */
  userRoutes(): Route[];
}

/** Answers each question by that service; fails with a typed error for one that it cannot answer. */
export function peerRequestHandler(service: PeerService): PeerRequestHandler {
  return async (question, body) => {
    if (question === PEER_QUESTIONS.acknowledge)
      return encodeAcknowledgement(service.acknowledge(decodeAcknowledgementRequest(body)));
    if (question !== PEER_QUESTIONS.userRequest) throw new UnknownPeerQuestion(question);
    const { route, args, body: userBody } = relayedCall(service.userRoutes(), body);
    return encodeRelayedReply(await route.handle(args, userBody));
  };
}

/** The route of a relayed request, with its arguments. */
function relayedCall(routes: Route[], message: Body): { route: Route; args: string[]; body: Body } {
  const request = decodeRelayedRequest(message);
  if (!request) throw new MalformedPeerRequest(PEER_QUESTIONS.userRequest);
  const { method, path, body } = request;
  const target = findRoute(routes, method, path);
  if (!target) throw new UnknownRelayedRoute(method, path);
  return { route: target.route, args: target.args, body };
}
