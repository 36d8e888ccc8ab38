/** Jobs that the users of a soak run submit: more work than the team limits allow to run at once. */
import type { JobSpec } from '../../src/model/job.js';
import type { SeededRandom } from '../fakes/time.js';

/** Number of services, which are submitted first; all later jobs are short arrays. */
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
