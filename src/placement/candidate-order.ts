/** The order in which candidates are preferred for a task. */
import { suitsGpuUse } from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { compareNames } from '../util/order.js';
import { isLexicographicallyLess } from './sort-key.js';
import type { Candidate } from './types.js';

/** Makes and compares sort keys of candidates; the lowest is preferred. */
export class CandidateOrder {
  /** `controllerZones` are the zones in which controllers run. */
  constructor(private readonly controllerZones: ReadonlySet<string>) {}

  /**
   * Fills in the criteria in order: no GPU machine for a task that uses no GPUs; cached image; fewest tasks of the job
   * in the zone (if they are to be spread); a zone with a controller (for services); a spot machine (if the job accepts
   * them); largest free fraction of the CPUs.
   */
  fillKey(key: number[], spec: JobSpec, candidate: Candidate, tasksInZone: number): void {
    key[0] = suitsGpuUse(spec, candidate.capacity) ? 0 : 1;
    key[1] = candidate.images.has(spec.image) ? 0 : 1;
    key[2] = spec.spreadAcrossZones ? tasksInZone : 0;
    // Prefer zones with a controller for services, so that a network partition between zones does not cut them off.
    key[3] = spec.kind === 'service' && !this.controllerZones.has(candidate.zone) ? 1 : 0;
    key[4] = spec.spot && !candidate.spot ? 1 : 0;
    key[5] = -candidate.free.cpus / Math.max(candidate.capacity.cpus, RESOURCE_EPSILON);
  }

  /** Compares candidates by their keys; of equal ones, the machine with the lower id comes first. */
  compare(
    key: readonly number[],
    one: Candidate,
    otherKey: readonly number[],
    two: Candidate,
  ): number {
    if (isLexicographicallyLess(key, otherKey)) return -1;
    if (isLexicographicallyLess(otherKey, key)) return 1;
    return compareNames(one.id, two.id);
  }
}
