/** Generates the random steps of a `RecordHistory`. */
import fc from 'fast-check';

/**
 * One event in a history. Numbers select, modulo their count, among the existing hosts, machines, jobs and so on. `own` is
 * true if the process of the replica makes the commit itself.
 */
export type Step =
  /** `to` is null if the machine was returned to the cloud, so that no domain owns it any more. */
  | { kind: 'move machine'; machine: number; to: number | null; own: boolean }
  | { kind: 'write head'; host: number; own: boolean }
  | { kind: 'allocate'; host: number; machine: number; job: number; tasks: number; own: boolean }
  | { kind: 'clear allocations'; host: number; job: number; own: boolean }
  | { kind: 'write job'; job: number; isAlive: boolean }
  | { kind: 'write batch'; batch: number; machines: number }
  | { kind: 'send watch'; blocks: boolean }
  | { kind: 'answer watch'; nth: number }
  | { kind: 'read page' }
  | { kind: 'finish full read' }
  | { kind: 'restart' };

/** A step of one kind. */
export type StepOf<Kind extends Step['kind']> = Extract<Step, { kind: Kind }>;

const pick = fc.nat({ max: 11 });
const own = fc.boolean();

/** Generates a step. */
export const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ kind: fc.constant('move machine'), machine: pick, to: pick, own }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('move machine'),
      machine: pick,
      to: fc.constant(null),
      own: fc.constant(false),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('write head'), host: pick, own }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('allocate'),
      host: pick,
      machine: pick,
      job: pick,
      tasks: fc.nat({ max: 3 }),
      own,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('clear allocations'), host: pick, job: pick, own }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('write job'), job: pick, isAlive: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('write batch'), batch: pick, machines: pick }),
  },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('send watch'), blocks: fc.boolean() }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('answer watch'), nth: pick }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('read page') }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('finish full read') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart') }) },
);
