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

/** Machines that one answer to a list request holds at most. */
const PAGE_MACHINES = 500;

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAVAILABLE = 503;

/** The cloud answered with a status that says neither yes nor no: the request may or may not have been carried out. */
export class UnexpectedCloudStatus extends NoAnswer {
  constructor(
    /** Method and path. */
    readonly request: string,
    readonly status: number,
  ) {
    super(`cloud: ${request}: status ${String(status)}`);
  }
}

/** The cloud's answer cannot be read. */
export class MalformedCloudAnswer extends NoAnswer {
  constructor(
    /** Method and path. */
    readonly request: string,
  ) {
    super(`cloud: ${request}: malformed answer`);
  }
}

/** Requests to the cloud by its published protocol. Answers that are no use are failures of type `NoAnswer`. */
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

  /** All rented machines. The list lags behind. */
  async rentals(): Promise<Rental[]> {
    const rentals: Rental[] = [];
    for (;;) {
      const since = encodeURIComponent(rentals.at(-1)?.machineId ?? '');
      const path = `/rentals?since=${since}&page=${String(PAGE_MACHINES)}`;
      const page = decodeRentalPage(await this.get(path));
      if (!page) throw new MalformedCloudAnswer(`GET ${path}`);
      rentals.push(...page.rentals);
      if (!page.hasMore || page.rentals.length === 0) return rentals;
    }
  }

  /** The machines that a request brings; null if there is no capacity. Asked again, it brings the same machines. */
  async rent(request: RentalRequest): Promise<string[] | null> {
    const path = '/rentals';
    const { status, body } = await this.post(path, encodeRentalRequest(request));
    const machineIds = decodeRentedMachines(body);
    if (status === STATUS_OK && machineIds) return machineIds;
    if (status === STATUS_BAD_REQUEST) return null;
    if (status === STATUS_UNAVAILABLE && isOutOfCapacity(body)) return null;
    throw new UnexpectedCloudStatus(`POST ${path}`, status);
  }

  /** Returns once the machines and everything on them are gone. */
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
