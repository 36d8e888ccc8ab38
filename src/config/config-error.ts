/** Faults in files that an operator or the platform hands over. */
import { TackvaneError } from '../errors.js';

/** A file that cannot be used: one line for each fault, with its key. */
export class ConfigError extends TackvaneError {
  readonly code = 'invalid_configuration';

  constructor(
    readonly lines: readonly string[],
    options?: ErrorOptions,
  ) {
    super(lines.join('\n'), options);
  }
}
