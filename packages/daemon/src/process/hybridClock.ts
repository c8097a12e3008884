/**
 * Hybrid logical time: close to the wall clock, and never earlier than what it is caused by.
 * After Kulkarni et al., "Logical Physical Clocks" (2014).
 */

/** A point in hybrid logical time. */
export interface HybridTime {
    readonly wallMs: number;
    readonly counter: number;
}

/** The clock of one process. */
export class HybridClock {
    private last: HybridTime = { wallMs: 0, counter: 0 };

    /**
     * Gets the time of a new event.
     * @returns a time later than all before it
     */
    get(): HybridTime {
        return this.advance(this.last);
    }

    /**
     * Takes a time that came with a message.
     * @param heard - the sender's time
     */
    receive(heard: HybridTime): void {
        const isLater = heard.wallMs > this.last.wallMs
            || (heard.wallMs === this.last.wallMs && heard.counter > this.last.counter);
        this.advance(isLater ? heard : this.last);
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
 * Formats a time so that text order is time order within one length of digits.
 * @param time - the time
 * @returns milliseconds and counter, such as `1764676800000.0003`
 */
export function formatHybridTime(time: HybridTime): string {
    return `${String(time.wallMs)}.${String(time.counter).padStart(4, "0")}`;
}

/**
 * Parses a formatted time.
 * @param text - what `formatHybridTime` gave
 * @returns the time, or undefined where the text is none
 */
export function parseHybridTime(text: string): HybridTime | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    return match === null ? undefined : { wallMs: Number(match[1]), counter: Number(match[2]) };
}
