/** A fake cloud that follows the published protocol. Its list of rentals is stale by a configured time. */
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { MachineTraits } from './available-machines.js';
import type { SeededRandom, Timeline } from './time.js';

export interface FakeMachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  pricePerHour: number;
  spotPricePerHour: number;
  bootSeconds: number;
  zones: string[];
}

export interface Rental extends MachineTraits {
  machineId: string;
  rentedAtMs: number;
  phase: 'booting' | 'running' | 'failed';
}

export interface FakeCloudOptions {
  time: Timeline;
  random: SeededRandom;
  machineTypes: FakeMachineType[];
  /** Number of machines that can be rented for each machine type and zone, separately for spot and on-demand. */
  capacity: number;
  /** How stale the list of rentals is. */
  listLagMs: number;
  onMachineUp: (rental: Rental) => void;
  onMachineGone: (machineId: string) => void;
  /** Address at which a machine accepts direct commands. */
  addressOf: (machineId: string) => string;
}

/** How often a copy of the list of rentals is stored, so that stale lists can be returned. */
const LIST_INTERVAL_MS = 500;
/** Number of copies that are kept. */
const MAX_PAST_LISTS = 60;

const NOT_FOUND: Answer = { status: 404, body: {} };

function encodeMachineType(type: FakeMachineType): Body {
  return {
    sku: type.name,
    cpus: type.cpus,
    cards: type.gpus,
    memory_gb: type.memoryGb,
    rate: type.pricePerHour,
    low_price: type.spotPricePerHour,
    ready_s: type.bootSeconds,
    sites: type.zones,
  };
}

export class FakeCloud {
  readonly rentals = new Map<string, Rental>();
  /** Whether every request is answered with an error. */
  isUnavailable = false;
  /** Idempotency key of a rental request -> the machines that it rented; a repeated request gets the same answer. */
  private readonly machinesByRequestId = new Map<string, string[]>();
  private pastLists: { atMs: number; rentals: Rental[] }[] = [];
  private nextMachine = 0;

  constructor(private readonly options: FakeCloudOptions) {
    this.recordList();
  }

  handle(call: Call): Answer {
    if (this.isUnavailable) return { status: 503, body: { error: 'trouble' } };
    switch (call.path.split('?', 1)[0]) {
      case '/machine_types':
        return { status: 200, body: { flavors: this.options.machineTypes.map(encodeMachineType) } };
      case '/rentals':
        return call.method === 'POST' ? this.rent(call.body ?? {}) : this.list();
      case '/rentals/delete':
        return this.delete((call.body?.['boxes'] ?? []) as string[]);
      default:
        return NOT_FOUND;
    }
  }

  /** Adds on-demand machines that are up immediately. */
  startMachines(count: number): void {
    const [type] = this.options.machineTypes;
    for (let index = 0; index < count && type; index++) {
      const zone = type.zones[index % type.zones.length] ?? '';
      const rental = this.addRental({ machineType: type.name, zone, spot: false }, 'running');
      this.options.onMachineUp(rental);
    }
  }

  private recordList(): void {
    const rentals = [...this.rentals.values()].map((rental) => ({ ...rental }));
    this.pastLists.push({ atMs: this.options.time.now, rentals });
    if (this.pastLists.length > MAX_PAST_LISTS) this.pastLists.shift();
    this.options.time.after(LIST_INTERVAL_MS, () => {
      this.recordList();
    });
  }

  private addRental(traits: MachineTraits, phase: Rental['phase']): Rental {
    const machineId = `i-${String(this.nextMachine++).padStart(6, '0')}`;
    const rental = { machineId, ...traits, rentedAtMs: this.options.time.now, phase };
    this.rentals.set(machineId, rental);
    return rental;
  }

  private list(): Answer {
    const { time, listLagMs, addressOf } = this.options;
    const pastList = this.pastLists.filter(({ atMs }) => atMs <= time.now - listLagMs).at(-1);
    const boxes = (pastList?.rentals ?? []).map((rental) => ({
      uid: rental.machineId,
      flavor: rental.machineType,
      site: rental.zone,
      reclaimable: rental.spot,
      phase: rental.phase,
      address: addressOf(rental.machineId),
      held_s: ((pastList?.atMs ?? 0) - rental.rentedAtMs) / 1000,
      // Not part of the protocol: clients must ignore unknown fields.
      at: rental.rentedAtMs,
    }));
    return { status: 200, body: { boxes, more: false } };
  }

  private delete(machineIds: readonly string[]): Answer {
    for (const machineId of machineIds)
      if (this.rentals.delete(machineId)) this.options.onMachineGone(machineId);
    return { status: 200, body: {} };
  }

  private rent(request: Body): Answer {
    const { claim, flavor, site, reclaimable, count } = request;
    const alreadyRented = this.machinesByRequestId.get(String(claim));
    if (alreadyRented) return { status: 200, body: { boxes: alreadyRented } };
    const type = this.options.machineTypes.find(({ name }) => name === flavor);
    if (!type) return { status: 400, body: {} };
    const traits = { machineType: type.name, zone: String(site), spot: reclaimable === true };
    const available = this.options.capacity - this.rentedCount(traits);
    const granted = Math.min(Number(count), available);
    if (granted <= 0) return { status: 503, body: { error: 'no capacity' } };
    const boxes: string[] = [];
    for (let index = 0; index < granted; index++) {
      const rental = this.addRental(traits, 'booting');
      boxes.push(rental.machineId);
      this.bootLater(rental, type.bootSeconds);
    }
    this.machinesByRequestId.set(String(claim), boxes);
    return { status: 200, body: { boxes } };
  }

  /** Number of rented machines of this type and zone that are likewise spot or on-demand. */
  private rentedCount({ machineType, zone, spot }: MachineTraits): number {
    return [...this.rentals.values()].filter(
      (rental) =>
        rental.machineType === machineType && rental.zone === zone && rental.spot === spot,
    ).length;
  }

  private bootLater(rental: Rental, bootSeconds: number): void {
    const { time, random, onMachineUp } = this.options;
    time.after(bootSeconds * 1000 * random.real(0.6, 1.5), () => {
      if (this.rentals.get(rental.machineId) !== rental) return;
      rental.phase = 'running';
      onMachineUp(rental);
    });
  }
}
