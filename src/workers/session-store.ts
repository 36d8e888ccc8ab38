/** Holds the sessions of the workers in the own domain. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import { keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import { changeFencingToken, newSession, type WorkerSession } from './worker-session.js';

/** Sessions by machine id, with checks of whether their machines are owned. */
export class SessionStore {
  private readonly sessions = new Map<string, WorkerSession>();

  constructor(
    /** Name of this controller. */
    private readonly self: string,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly clock: Clock,
  ) {}

  get(machineId: string): WorkerSession | undefined {
    return this.sessions.get(machineId);
  }

  values(): Iterable<WorkerSession> {
    return this.sessions.values();
  }

  delete(machineId: string): void {
    this.sessions.delete(machineId);
  }

  /** Whether this is still the current session of its machine. */
  isCurrent(session: WorkerSession): boolean {
    return this.sessions.get(session.machineId) === session;
  }

  /** Whether the machine is in the own domain, regardless of its fencing token. */
  isInDomain(session: WorkerSession): boolean {
    return this.domainManager.fencingTokenFor(session.machineId) !== null;
  }

  /** Whether the machine is owned under the session's range of fencing tokens. */
  isOwned(session: WorkerSession): boolean {
    return this.domainManager.fencingTokenFor(session.machineId) === session.fencingToken;
  }

  /** The session of a machine owned under the range that starts with this token; created, or moved to it, as needed. */
  open(machineId: string, fencingToken: number): WorkerSession {
    const existing = this.sessions.get(machineId);
    if (existing) {
      if (existing.fencingToken !== fencingToken)
        changeFencingToken(
          existing,
          fencingToken,
          this.ownedAtRevision(machineId),
          this.clock.now(),
        );
      return existing;
    }
    const address = this.state.machines.get(machineId)?.address ?? '';
    const ownedAtRevision = this.ownedAtRevision(machineId);
    const session = newSession(
      { machineId, address, fencingToken, ownedAtRevision },
      this.clock.now(),
    );
    this.sessions.set(machineId, session);
    return session;
  }

  /** The store revision at which the machine got its current fencing token, or a later revision. */
  private ownedAtRevision(machineId: string): number {
    const head = this.state.modRevisionOf(keys.domain(this.self));
    const shard = this.state.ownerOf(machineId)?.shard ?? '';
    return Math.max(head, this.state.modRevisionOf(shard));
  }
}
