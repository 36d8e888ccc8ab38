/** The machine types that the cloud rents out, refreshed periodically. */
import type { MachineType, RentalOffer } from '../model/machine.js';
import { attemptCloudRequest } from './cloud-request.js';
import type { FleetDependencies } from './dependencies.js';

/** Time between two reads in list lags: once the types are known, and until then. */
const REFRESH_LAGS = 5;
const FIRST_READING_RETRY_LAGS = 0.1;
/** Boot time that is assumed for an unknown type. */
const DEFAULT_BOOT_SECONDS = 60;

/** How often machine types are read, and what is called afterwards. */
export interface MachineTypesOptions {
  /** How far the cloud's machine list lags behind, in milliseconds. */
  listLagMs: number;
  /** Called after each successful read. */
  onRead: () => void;
}

/** The machine types as last read. */
export class MachineTypes {
  /** Machine types by name; empty until they have been read. */
  byName: ReadonlyMap<string, MachineType> = new Map();
  private readAt = -Infinity;

  constructor(
    private readonly options: MachineTypesOptions,
    private readonly dependencies: FleetDependencies,
  ) {}

  /** Reads the machine types if a refresh is due. */
  async refresh(): Promise<void> {
    const { cloud, cloudLimiter, clock, log } = this.dependencies;
    const { listLagMs, onRead } = this.options;
    const now = clock.now();
    const intervalMs =
      listLagMs * (this.byName.size === 0 ? FIRST_READING_RETRY_LAGS : REFRESH_LAGS);
    if (now - this.readAt < intervalMs || cloudLimiter.waitMs(1) > 0) return;
    this.readAt = now;
    cloudLimiter.take(1);
    await attemptCloudRequest(log, 'read machine types', async () => {
      this.byName = await cloud.machineTypes();
      onRead();
    });
  }

  /** How long a machine usually takes from rental to its first heartbeat, in milliseconds. */
  bootMs({ machineType }: RentalOffer): number {
    return (this.byName.get(machineType)?.bootSeconds ?? DEFAULT_BOOT_SECONDS) * 1000;
  }

  /** Price of the machine; 0 if it is not known. */
  pricePerHour({ machineType, spot }: RentalOffer): number {
    const type = this.byName.get(machineType);
    return (spot ? type?.spotPricePerHour : type?.pricePerHour) ?? 0;
  }
}
