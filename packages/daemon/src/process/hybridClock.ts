/**
 * Hybrid logical clock: close to the wall clock, and consistent with causal order.
 * See Kulkarni et al., "Logical Physical Clocks" (2014).
 */

/** A hybrid logical timestamp. */
export interface HybridTime {
    readonly wallMs: number;
    readonly counter: number;
}

/** The hybrid logical clock of one process. */
export class HybridClock {
    private last: HybridTime = { wallMs: 0, counter: 0 };

    /**
     * Gets the timestamp of a new event.
     * @returns a timestamp later than all before it
     */
    get(): HybridTime {
        return this.advance(this.last);
    }

    /**
     * Advances the clock past the timestamp of a received message.
     * @param received - the sender's timestamp
     */
    receive(received: HybridTime): void {
        const isLater = received.wallMs > this.last.wallMs
            || (received.wallMs === this.last.wallMs && received.counter > this.last.counter);
        this.advance(isLater ? received : this.last);
    }

    private advance(floor: HybridTime): HybridTime {
        const now = Date.now();
        this.last = now > floor.wallMs
            ? { wallMs: now, counter: 0 }
            : { wallMs: floor.wallMs, counter: floor.counter + 1 };
        return this.last;
    }
}

/**
 * Formats a timestamp. Text order equals time order for timestamps of the same length.
 * @param time - the timestamp
 * @returns milliseconds and counter, such as `1764676800000.0003`
 */
export function formatHybridTime(time: HybridTime): string {
    return `${String(time.wallMs)}.${String(time.counter).padStart(4, "0")}`;
}

/**
 * Parses a formatted timestamp.
 * @param text - output of `formatHybridTime`
 * @returns the timestamp, or undefined if the text is malformed
 */
export function parseHybridTime(text: string): HybridTime | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    return match === null ? undefined : { wallMs: Number(match[1]), counter: Number(match[2]) };
}
