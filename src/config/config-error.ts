/** The error for invalid configuration files of the platform or the operator. */
import { TackvaneError } from '../errors.js';

/** Configuration files that cannot be used. Each line describes one fault and names its key. */
export class ConfigError extends TackvaneError {
  readonly code = 'invalid_configuration';

  constructor(
    readonly lines: readonly string[],
    options?: ErrorOptions,
  ) {
    super(lines.join('\n'), options);
  }
}
