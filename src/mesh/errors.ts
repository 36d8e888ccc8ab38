/** Errors in peers' requests. Each of them ends the connection on which the request arrived. */
import { TackvaneError } from '../errors.js';

/** The request type is not supported by this version. */
export class UnknownPeerRequestType extends TackvaneError {
  readonly code = 'unknown_peer_question';

  constructor(readonly requestType: string) {
    super(`unknown peer request type: ${JSON.stringify(requestType)}`);
  }
}

/** A request with missing fields or fields of the wrong type. */
export class MalformedPeerRequest extends TackvaneError {
  readonly code = 'malformed_peer_request';

  constructor(readonly requestType: string) {
    super(`malformed peer request of type ${JSON.stringify(requestType)}`);
  }
}

/** A relayed user request for which there is no route. */
export class UnknownRelayedRoute extends TackvaneError {
  readonly code = 'unknown_relayed_route';

  constructor(
    readonly method: string,
    readonly path: readonly string[],
  ) {
    super(`no route for a relayed request: ${method} /${path.join('/')}`);
  }
}
