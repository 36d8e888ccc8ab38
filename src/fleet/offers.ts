/** Which offer of the cloud is the cheapest for a job's tasks: pure functions. */
import type { JobSpec } from '../model/job.js';
import type { MachineType, RentalOffer } from '../model/machine.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { isLexicographicallyLess } from '../placement/sort-key.js';

/** A machine that costs more than this many times the ordinary price for a task is not worth renting. */
const MAX_PRICE_RATIO = 3;
/** Boot times below this count as this, in seconds. */
const MIN_BOOT_SECONDS = 1e-3;

/** The name of an offer, as a key of maps. */
export const offerKey = (offer: RentalOffer): string =>
  `${offer.machineType} ${offer.zone} ${offer.spot ? 'spot' : 'ordinary'}`;

/** How many tasks of the job one machine of this type holds. */
function tasksPerMachine(spec: JobSpec, machineType: MachineType): number {
  return Math.floor(
    Math.min(
      ratio(machineType.cpus, spec.cpus),
      ratio(machineType.gpus, spec.gpus),
      ratio(machineType.memoryGb, spec.memoryGb),
    ) + RESOURCE_EPSILON,
  );
}

function ratio(available: number, needed: number): number {
  return needed > 0 ? available / needed : Infinity;
}

/** Price of an ordinary or a spot machine. */
export function pricePerHour(machineType: MachineType, spot: boolean): number {
  return spot
    ? (machineType.spotPricePerHour ?? machineType.pricePerHour)
    : machineType.pricePerHour;
}

/** What a job's tasks cost on the machine types that hold at least one. */
export interface TaskPrices {
  /** The types, each with how many of the tasks one machine holds. */
  machineTypes: { machineType: MachineType; tasksPerMachine: number }[];
  /** The most that is paid for a task, per hour. */
  maxPerTask: number;
  /** Boot time of the type that boots fastest, in seconds. */
  shortestBootSeconds: number;
}

/** Prices for a job's tasks; computed once for all offers that are chosen for it. */
export function taskPrices(
  spec: JobSpec,
  machineTypes: ReadonlyMap<string, MachineType>,
): TaskPrices {
  const all = [...machineTypes.values()];
  const fitting = all
    .map((machineType) => ({ machineType, tasksPerMachine: tasksPerMachine(spec, machineType) }))
    .filter((each) => each.tasksPerMachine > 0);
  const ordinaryPrices = fitting
    .filter(
      ({ machineType }) =>
        spec.machineTypes === null || spec.machineTypes.includes(machineType.name),
    )
    .map((each) => each.machineType.pricePerHour / each.tasksPerMachine);
  return {
    machineTypes: fitting,
    maxPerTask: Math.min(...ordinaryPrices) * MAX_PRICE_RATIO,
    shortestBootSeconds: Math.min(...all.map((machineType) => machineType.bootSeconds)),
  };
}

/** Which offers may be taken up, and what is planned already. */
export interface Market {
  /** Keys of offers that the cloud had no capacity for recently. */
  refusedOffers: ReadonlySet<string>;
  /** Zone to offers that are to be taken up there. */
  offersByZone: ReadonlyMap<string, number>;
  /** Zone to tasks of the job there. */
  tasksByZone: ReadonlyMap<string, number>;
  /** Whether the job may use such a machine. */
  isOpen(offer: RentalOffer): boolean;
}

/** The offer with the lowest price per task if so many tasks want machines; null if there is none worth taking up. */
export function cheapestOffer(
  spec: JobSpec,
  tasks: number,
  prices: TaskPrices,
  market: Market,
): RentalOffer | null {
  let best: { offer: RentalOffer; key: number[] } | null = null;
  for (const { machineType, tasksPerMachine: capacity } of prices.machineTypes) {
    const tasksOnMachine = Math.min(capacity, tasks);
    if (tasksOnMachine < 1) continue;
    const weight = bootTimeWeight(machineType, prices);
    for (const offer of offersOf(spec, machineType)) {
      if (market.refusedOffers.has(offerKey(offer)) || !market.isOpen(offer)) continue;
      const price = pricePerHour(machineType, offer.spot);
      if (price / capacity > prices.maxPerTask) continue;
      const key = costKey(spec, offer, (price / tasksOnMachine) * weight, market);
      if (!best || isLexicographicallyLess(key, best.key)) best = { offer, key };
    }
  }
  return best?.offer ?? null;
}

/** Sort key of offers, the lowest first; equal costs are spread over the zones. */
function costKey(spec: JobSpec, offer: RentalOffer, costPerTask: number, market: Market): number[] {
  const tasksInZone = market.tasksByZone.get(offer.zone) ?? 0;
  return [
    spec.spreadAcrossZones ? tasksInZone : 0,
    costPerTask,
    market.offersByZone.get(offer.zone) ?? 0,
  ];
}

/** Waiting for a machine to boot is a cost too, which grows more slowly than the boot time. */
function bootTimeWeight({ bootSeconds }: MachineType, { shortestBootSeconds }: TaskPrices): number {
  return Math.sqrt(bootSeconds / Math.max(shortestBootSeconds, MIN_BOOT_SECONDS));
}

function* offersOf(spec: JobSpec, { name, zones }: MachineType): Generator<RentalOffer> {
  for (const zone of zones) {
    if (spec.spot) yield { machineType: name, zone, spot: true };
    yield { machineType: name, zone, spot: false };
  }
}
