/** The client of the cloud that rents out machines. */
import type { MachineType, Rental, RentalRequest } from '../model/machine.js';
import {
  decodeMachineTypes,
  decodeRentalPage,
  decodeRentedMachines,
  encodeDeletion,
  encodeRentalRequest,
  isOutOfCapacity,
} from '../protocol/cloud.js';
import { NoAnswer, type Answer, type Caller } from '../wire/client.js';
import type { Body } from '../wire/codec.js';

/** Page size of list requests. */
const MACHINES_PER_PAGE = 500;

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAVAILABLE = 503;

/** The cloud answered with an unexpected status: the request may or may not have been executed. */
export class UnexpectedCloudStatus extends NoAnswer {
  constructor(
    /** Method and path. */
    readonly request: string,
    readonly status: number,
  ) {
    super(`cloud: ${request}: status ${String(status)}`);
  }
}

/** The cloud's answer does not have the expected form. */
export class MalformedCloudAnswer extends NoAnswer {
  constructor(
    /** Method and path. */
    readonly request: string,
  ) {
    super(`cloud: ${request}: malformed answer`);
  }
}

/** Sends requests to the cloud in its published protocol. Throws `NoAnswer` if there is no usable answer. */
export class CloudClient {
  constructor(
    private readonly call: Caller,
    /** Time limit of each request, in milliseconds. */
    private readonly timeoutMs: number,
  ) {}

  /** Machine types by name. */
  async machineTypes(): Promise<Map<string, MachineType>> {
    const path = '/machine_types';
    const types = decodeMachineTypes(await this.get(path));
    if (!types) throw new MalformedCloudAnswer(`GET ${path}`);
    return new Map(types.map((type) => [type.name, type]));
  }

  /** All rented machines. The list lags behind the actual state. */
  async rentals(): Promise<Rental[]> {
    const rentals: Rental[] = [];
    for (;;) {
      const since = encodeURIComponent(rentals.at(-1)?.machineId ?? '');
      const path = `/rentals?since=${since}&page=${String(MACHINES_PER_PAGE)}`;
      const page = decodeRentalPage(await this.get(path));
      if (!page) throw new MalformedCloudAnswer(`GET ${path}`);
      rentals.push(...page.rentals);
      if (!page.hasMore || page.rentals.length === 0) return rentals;
    }
  }

  /**
   * Ids of the machines that were rented for a request; null if the cloud has no capacity or refuses the request. The
   * request id is an idempotency key: a repeated request returns the same machines.
   */
  async rent(request: RentalRequest): Promise<string[] | null> {
    const path = '/rentals';
    const { status, body } = await this.post(path, encodeRentalRequest(request));
    const machineIds = decodeRentedMachines(body);
    if (status === STATUS_OK && machineIds) return machineIds;
    if (status === STATUS_BAD_REQUEST) return null;
    if (status === STATUS_UNAVAILABLE && isOutOfCapacity(body)) return null;
    throw new UnexpectedCloudStatus(`POST ${path}`, status);
  }

  /** Deletes machines; resolves once they and everything on them are gone. */
  async deleteMachines(machineIds: readonly string[]): Promise<void> {
    const path = '/rentals/delete';
    const { status } = await this.post(path, encodeDeletion(machineIds));
    if (status !== STATUS_OK) throw new UnexpectedCloudStatus(`POST ${path}`, status);
  }

  private post(path: string, body: Body): Promise<Answer> {
    return this.call({ method: 'POST', path, body, timeoutMs: this.timeoutMs });
  }

  private async get(path: string): Promise<Body> {
    const { status, body } = await this.call({ method: 'GET', path, timeoutMs: this.timeoutMs });
    if (status !== STATUS_OK) throw new UnexpectedCloudStatus(`GET ${path}`, status);
    return body;
  }
}
