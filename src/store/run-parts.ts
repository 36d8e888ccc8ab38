/** Which parts of what is recorded on machines each domain has. */
import { getOrAdd } from '../util/maps.js';
import { keys } from './records/index.js';

export class RunParts {
  private readonly numbers = new Map<string, Set<number>>();
  private readonly names = new Map<string, string[]>();

  note(host: string, part: number, exists: boolean): void {
    const numbers = getOrAdd(this.numbers, host, () => new Set<number>());
    if (exists) numbers.add(part);
    else numbers.delete(part);
  }

  hosts(): Iterable<string> {
    return this.numbers.keys();
  }

  /** Keys of all parts of a domain, and of the one that would come next: guarding them, nothing can be added unseen. */
  keysOf(host: string): string[] {
    const count = Math.max(-1, ...(this.numbers.get(host) ?? [])) + 1;
    const names = getOrAdd(this.names, host, () => []);
    for (let n = names.length; n <= count; n++) names.push(keys.allocations(host, n));
    return names.slice(0, count + 1);
  }
}
