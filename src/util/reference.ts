/** References to components that are created after those that refer to them. */
import { TackvaneError } from '../errors.js';

/** A component was used before it was created; this is a bug in the setup of the controller. */
export class UnboundReference extends TackvaneError {
  readonly code = 'unbound_reference';

  constructor(readonly component: string) {
    super(`${component} is used before it is created`);
  }
}

/** A reference that can be passed on before its component is created. */
export class Reference<T> {
  private component: T | undefined;

  constructor(private readonly name: string) {}

  /** Sets the component and returns it, so that it can be created and bound in one expression. */
  bind(component: T): T {
    this.component = component;
    return component;
  }

  /** Returns the component; throws `UnboundReference` if it is not bound yet. */
  get(): T {
    if (this.component === undefined) throw new UnboundReference(this.name);
    return this.component;
  }
}
