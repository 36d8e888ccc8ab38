/** Pure functions that find the cheapest offer of the cloud for a job's tasks. */
import type { JobSpec } from '../model/job.js';
import type { MachineType, RentalOffer } from '../model/machine.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { isLexicographicallyLess } from '../placement/sort-key.js';

/** An offer is rejected if its price per task exceeds the lowest on-demand price per task by more than this factor. */
const MAX_PRICE_RATIO = 3;
/** Lower bound of the shortest boot time in the cost comparison; boot times are divided by it. */
const MIN_BOOT_SECONDS = 1e-3;

/** The key of an offer in maps and sets. */
export const offerKey = (offer: RentalOffer): string =>
  `${offer.machineType} ${offer.zone} ${offer.spot ? 'spot' : 'on-demand'}`;

/** How many tasks of the job fit on one empty machine of this type. */
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

/** Hourly price of an on-demand or a spot machine. Without a spot price, the on-demand price counts for both. */
export function pricePerHour(machineType: MachineType, spot: boolean): number {
  return spot
    ? (machineType.spotPricePerHour ?? machineType.pricePerHour)
    : machineType.pricePerHour;
}

/** Prices of the machine types on which at least one task of a job fits. */
export interface TaskPrices {
  /** The machine types, each with the number of tasks that fit on one machine. */
  machineTypes: { machineType: MachineType; tasksPerMachine: number }[];
  /** Maximum price per task and hour. */
  maxPerTask: number;
  /** Boot time of the fastest-booting machine type, in seconds. */
  shortestBootSeconds: number;
}

/** Computes the prices for a job's tasks. They are the same for all offers that are chosen for the job. */
export function taskPrices(
  spec: JobSpec,
  machineTypes: ReadonlyMap<string, MachineType>,
): TaskPrices {
  const all = [...machineTypes.values()];
  const fitting = all
    .map((machineType) => ({ machineType, tasksPerMachine: tasksPerMachine(spec, machineType) }))
    .filter((each) => each.tasksPerMachine > 0);
  const onDemandPrices = fitting
    .filter(
      ({ machineType }) =>
        spec.machineTypes === null || spec.machineTypes.includes(machineType.name),
    )
    .map((each) => each.machineType.pricePerHour / each.tasksPerMachine);
  return {
    machineTypes: fitting,
    maxPerTask: Math.min(...onDemandPrices) * MAX_PRICE_RATIO,
    shortestBootSeconds: Math.min(...all.map((machineType) => machineType.bootSeconds)),
  };
}

/** Which offers may be chosen, and what has been planned so far. */
export interface OfferContext {
  /** Keys of offers that the cloud had no capacity for recently. */
  refusedOffers: ReadonlySet<string>;
  /** Zone to the number of machines that are planned to be rented there. */
  offersByZone: ReadonlyMap<string, number>;
  /** Zone to the number of tasks of the job there. */
  tasksByZone: ReadonlyMap<string, number>;
  /** Whether one more task of the job may run on such a machine. */
  isAllowed(offer: RentalOffer): boolean;
}

/**
 * The offer with the lowest cost per task if this many tasks need machines; null if none is available at an acceptable
 * price.
 */
export function cheapestOffer(
  spec: JobSpec,
  tasks: number,
  prices: TaskPrices,
  context: OfferContext,
): RentalOffer | null {
  let best: { offer: RentalOffer; key: number[] } | null = null;
  for (const { machineType, tasksPerMachine: capacity } of prices.machineTypes) {
    const tasksOnMachine = Math.min(capacity, tasks);
    if (tasksOnMachine < 1) continue;
    const weight = bootTimeWeight(machineType, prices);
    for (const offer of offersOf(spec, machineType)) {
      if (context.refusedOffers.has(offerKey(offer)) || !context.isAllowed(offer)) continue;
      const price = pricePerHour(machineType, offer.spot);
      if (price / capacity > prices.maxPerTask) continue;
      const key = costKey(spec, offer, (price / tasksOnMachine) * weight, context);
      if (!best || isLexicographicallyLess(key, best.key)) best = { offer, key };
    }
  }
  return best?.offer ?? null;
}

/** Sort key of an offer, the lowest first. Offers of equal cost are spread over the zones. */
function costKey(
  spec: JobSpec,
  offer: RentalOffer,
  costPerTask: number,
  context: OfferContext,
): number[] {
  const tasksInZone = context.tasksByZone.get(offer.zone) ?? 0;
  return [
    spec.spreadAcrossZones ? tasksInZone : 0,
    costPerTask,
    context.offersByZone.get(offer.zone) ?? 0,
  ];
}

/** Factor by which waiting for the boot raises the cost of a machine. It grows more slowly than the boot time. */
function bootTimeWeight({ bootSeconds }: MachineType, { shortestBootSeconds }: TaskPrices): number {
  return Math.sqrt(bootSeconds / Math.max(shortestBootSeconds, MIN_BOOT_SECONDS));
}

function* offersOf(spec: JobSpec, { name, zones }: MachineType): Generator<RentalOffer> {
  for (const zone of zones) {
    if (spec.spot) yield { machineType: name, zone, spot: true };
    yield { machineType: name, zone, spot: false };
  }
}
