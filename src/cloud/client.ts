/** The client of the cloud that rents machines. */
import type { MachineType, Rental, RentalRequest } from '../model/machine.js';
import {
  decodeMachineTypes,
  decodeRentalPage,
  decodeRentedMachines,
  encodeDeletion,
  encodeRentalRequest,
  isOutOfCapacity,
} from '../protocol/cloud.js';
import { NoAnswer, type Caller } from '../wire/client.js';
import type { Body } from '../wire/codec.js';

/** Machines that one answer to a list request holds at most. */
const PAGE_MACHINES = 500;

/** The cloud by its published protocol. Malformed answers count as none. */
export class CloudClient {
  constructor(
    private readonly call: Caller,
    private readonly timeoutMs: number,
  ) {}

  /** Machine types by name. */
  async machineTypes(): Promise<Map<string, MachineType>> {
    const types = decodeMachineTypes(await this.get('/machine_types'));
    if (!types) throw new NoAnswer('cloud: malformed machine types');
    return new Map(types.map((type) => [type.name, type]));
  }

  /** All rented machines. The list lags behind. */
  async rentals(): Promise<Rental[]> {
    const all: Rental[] = [];
    for (;;) {
      const since = encodeURIComponent(all.at(-1)?.machineId ?? '');
      const page = decodeRentalPage(
        await this.get(`/rentals?since=${since}&page=${String(PAGE_MACHINES)}`),
      );
      if (!page) throw new NoAnswer('cloud: malformed machine list');
      all.push(...page.rentals);
      if (!page.hasMore || page.rentals.length === 0) return all;
    }
  }

  /** The machines that a request brings; null when there is no capacity. */
  async rent(request: RentalRequest): Promise<string[] | null> {
    const { status, body } = await this.call({
      method: 'POST',
      path: '/rentals',
      body: encodeRentalRequest(request),
      timeoutMs: this.timeoutMs,
    });
    const machineIds = decodeRentedMachines(body);
    if (status === 200 && machineIds) return machineIds;
    if (status === 400 || (status === 503 && isOutOfCapacity(body))) return null;
    throw new NoAnswer(`cloud: rent: ${String(status)}`);
  }

  /** Returns once the machines and everything on them are gone. */
  async deleteMachines(machineIds: readonly string[]): Promise<void> {
    const { status } = await this.call({
      method: 'POST',
      path: '/rentals/delete',
      body: encodeDeletion(machineIds),
      timeoutMs: this.timeoutMs,
    });
    if (status !== 200) throw new NoAnswer(`cloud: delete: ${String(status)}`);
  }

  private async get(path: string): Promise<Body> {
    const { status, body } = await this.call({ method: 'GET', path, timeoutMs: this.timeoutMs });
    if (status !== 200) throw new NoAnswer(`cloud: ${path}: ${String(status)}`);
    return body;
  }
}
