/** Faults in what a peer asks; the connection that it came by is ended. */

/** A question that this version does not know. */
export class UnknownPeerQuestion extends Error {
  readonly code = 'unknown_peer_question';

  constructor(readonly question: string) {
    super(`unknown question of a peer: ${JSON.stringify(question)}`);
  }
}

/** A question that lacks something, or has something of the wrong type. */
export class MalformedPeerRequest extends Error {
  readonly code = 'malformed_peer_request';

  constructor(readonly question: string) {
    super(`malformed question of a peer: ${JSON.stringify(question)}`);
  }
}

/** A user's request for which there is no route. */
export class UnknownRelayedRoute extends Error {
  readonly code = 'unknown_relayed_route';

  constructor(
    readonly method: string,
    readonly path: readonly string[],
  ) {
    super(`no route for a relayed request: ${method} /${path.join('/')}`);
  }
}
