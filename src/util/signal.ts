/** Events whose listeners may be created after the component that emits them. */

/**
 * An event that any number of listeners can subscribe to. Listeners are called in the order in which they subscribed.
 */
export class Signal<T = void> {
  private readonly listeners: ((value: T) => void)[] = [];

  /** Adds a listener, which is called with each value emitted from now on. */
  subscribe(listener: (value: T) => void): void {
    this.listeners.push(listener);
  }

  /** Calls all listeners with the value. */
  emit(value: T): void {
    for (const listener of this.listeners) listener(value);
  }
}
