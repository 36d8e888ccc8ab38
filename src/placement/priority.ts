/** The order of priority classes. */
import type { Priority } from '../model/job.js';

/** Priority classes, the most important first. */
export const PRIORITIES: readonly Priority[] = ['critical', 'urgent', 'standard', 'idle'];

/** Index of a priority class in `PRIORITIES`: 0 is the most important. */
export function priorityIndex(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}
