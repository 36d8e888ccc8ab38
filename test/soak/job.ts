/** What the users of a soak submit: more than the limits let run. */
import type { JobSpec } from '../../src/model/job.js';
import type { SeededRandom } from '../fakes/time.js';

/** The first jobs are services, the others short arrays. */
const SERVICES = 2;

export function drawJob(random: SeededRandom, index: number): Partial<JobSpec> {
  const team = index % 2 === 0 ? 'red' : 'blue';
  const image = `img-${String(index % 3)}`;
  if (index < SERVICES)
    return {
      team,
      image,
      kind: 'service',
      priority: 'critical',
      tasks: 2,
      cpus: 1,
      memoryGb: 2,
      expectedSeconds: 0,
    };
  return {
    team,
    image,
    tasks: random.int(1, 4),
    cpus: 2,
    memoryGb: 2,
    spot: true,
    expectedSeconds: random.real(0.5, 3),
  };
}
