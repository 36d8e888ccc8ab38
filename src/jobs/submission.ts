import * as v from 'valibot';
import type { MachineType } from '../cloud/client.js';
import { fits, allowed, type TeamShare } from '../placement/plan.js';
import type { JobSpec } from '../store/records.js';
import type { Body } from '../wire/codec.js';

const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(100));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));

/** Only what may be null may be left out: a job that lacks anything else is malformed, and never accepted. */
const Submission = v.object({
  uid: v.pipe(v.string(), v.regex(/^j-[A-Za-z0-9_-]{1,60}$/)),
  jobclass: name,
  owner: name,
  shape: v.picklist(['array', 'group', 'standing']),
  rank: v.picklist(['critical', 'urgent', 'standard', 'idle']),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  cpus: amount,
  cards: amount,
  memory_gb: amount,
  image: name,
  image_gb: amount,
  flavors: v.nullish(v.pipe(v.array(name), v.maxLength(64))),
  site: v.nullish(name),
  one_zone: v.boolean(),
  spread: v.boolean(),
  reclaimable: v.boolean(),
  expect_s: amount,
  snapshot_s: amount,
  flush_s: amount,
  due_s: v.nullish(amount),
});

const Uid = v.pipe(v.string(), v.regex(/^j-[A-Za-z0-9_-]{1,60}$/));

export function validUid(uid: unknown): uid is string {
  return v.is(Uid, uid);
}

export function parseSubmission(body: Body): { uid: string; spec: JobSpec } | { fault: string } {
  const result = v.safeParse(Submission, body, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    return { fault: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const { uid, ...rest } = result.output;
  return {
    uid,
    spec: {
      ...rest,
      flavors: rest.flavors ?? null,
      site: rest.site ?? null,
      due_s: rest.due_s ?? null,
    },
  };
}

/** Why the job can never run, or null. */
export function neverRuns(
  spec: JobSpec,
  flavors: ReadonlyMap<string, MachineType>,
  teams: ReadonlyMap<string, TeamShare>,
): string | null {
  const team = teams.get(spec.owner);
  if (!team) return 'unknown team';
  const holds = [...flavors.values()].some((flavor) =>
    flavor.sites.some(
      (site) =>
        allowed(spec, { flavor: flavor.sku, site, reclaimable: false }) &&
        fits(spec, { cpus: flavor.cpus, cards: flavor.cards, memory_gb: flavor.memory_gb }),
    ),
  );
  if (!holds) return 'a task fits no allowed machine type';
  const times = spec.shape === 'array' ? 1 : spec.tasks;
  if (spec.cpus * times > team.cpusMax + 1e-6 || spec.cards * times > team.cardsMax + 1e-6)
    return "more than the team's limit";
  return null;
}
