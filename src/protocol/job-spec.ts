/** A job's specification with the field names of the user API, as it is submitted and as it is stored. */
import type { JobKind, JobSpec, Priority } from '../model/job.js';

/** The kind of a job, as named in the user API. */
export type WireShape = 'array' | 'group' | 'standing';

/** The fields of a job in the user API, without its id. */
export interface WireJobSpec {
  jobclass: string;
  owner: string;
  shape: WireShape;
  rank: Priority;
  tasks: number;
  cpus: number;
  cards: number;
  memory_gb: number;
  image: string;
  image_gb: number;
  flavors: string[] | null;
  site: string | null;
  one_zone: boolean;
  spread: boolean;
  reclaimable: boolean;
  expect_s: number;
  snapshot_s: number;
  flush_s: number;
  due_s: number | null;
}

const KIND_OF_SHAPE: Readonly<Record<WireShape, JobKind>> = {
  array: 'array',
  group: 'gang',
  standing: 'service',
};

const SHAPE_OF_KIND: Readonly<Record<JobKind, WireShape>> = {
  array: 'array',
  gang: 'group',
  service: 'standing',
};

/** Converts the fields of the user API to those of the model. */
export function decodeJobSpec(wire: WireJobSpec): JobSpec {
  return {
    jobClass: wire.jobclass,
    team: wire.owner,
    kind: KIND_OF_SHAPE[wire.shape],
    priority: wire.rank,
    tasks: wire.tasks,
    cpus: wire.cpus,
    gpus: wire.cards,
    memoryGb: wire.memory_gb,
    image: wire.image,
    imageGb: wire.image_gb,
    machineTypes: wire.flavors,
    zone: wire.site,
    singleZone: wire.one_zone,
    spreadAcrossZones: wire.spread,
    spot: wire.reclaimable,
    expectedSeconds: wire.expect_s,
    checkpointIntervalSeconds: wire.snapshot_s,
    checkpointSeconds: wire.flush_s,
    deadlineSeconds: wire.due_s,
  };
}

/** Converts the model's fields to those of the user API. */
export function encodeJobSpec(spec: JobSpec): WireJobSpec {
  return {
    jobclass: spec.jobClass,
    owner: spec.team,
    shape: SHAPE_OF_KIND[spec.kind],
    rank: spec.priority,
    tasks: spec.tasks,
    cpus: spec.cpus,
    cards: spec.gpus,
    memory_gb: spec.memoryGb,
    image: spec.image,
    image_gb: spec.imageGb,
    flavors: spec.machineTypes,
    site: spec.zone,
    one_zone: spec.singleZone,
    spread: spec.spreadAcrossZones,
    reclaimable: spec.spot,
    expect_s: spec.expectedSeconds,
    snapshot_s: spec.checkpointIntervalSeconds,
    flush_s: spec.checkpointSeconds,
    due_s: spec.deadlineSeconds,
  };
}
