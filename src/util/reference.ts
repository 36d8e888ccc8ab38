/** Lets components refer to one that is made after them. */
import { TackvaneError } from '../errors.js';

/** A component was used before it was made: a fault in how the controller is put together. */
export class UnboundReference extends TackvaneError {
  readonly code = 'unbound_reference';

  constructor(readonly component: string) {
    super(`${component} is used before it is made`);
  }
}

/** A component that others refer to before it is made. */
export class Reference<T> {
  private component: T | undefined;

  constructor(private readonly name: string) {}

  /** Names the component; returns it, so that making and naming it can be one step. */
  bind(component: T): T {
    this.component = component;
    return component;
  }

  /** The component; fails with `UnboundReference` before it is made. */
  get(): T {
    if (this.component === undefined) throw new UnboundReference(this.name);
    return this.component;
  }
}
