/** Tells listeners that are made after whoever tells them. */

/** An event: whoever emits it need not know who listens. Listeners are called in the order in which they subscribed. */
export class Signal<T = void> {
  private readonly listeners: ((value: T) => void)[] = [];

  /** Has the listener called with each value from now on. */
  subscribe(listener: (value: T) => void): void {
    this.listeners.push(listener);
  }

  /** Calls all listeners. */
  emit(value: T): void {
    for (const listener of this.listeners) listener(value);
  }
}
