/**
 * Measures how fast a queue drains, from its own departures while requests wait, so that every slowdown, such as by
 * more urgent classes, is included. See docs/design/admission.md.
 */

/** Weight of the newest departure in the moving average. */
const SMOOTHING = 0.05;

/** How a drain rate is averaged. */
export interface DrainMeterOptions {
    /** Weight of the newest departure in the moving average. */
    readonly smoothing?: number;
    /** How long a rate is kept while nothing waits, in milliseconds; by default for ever. */
    readonly keepMs?: number;
}

/** Drain rate of one queue. */
export class DrainMeter {
    private readonly smoothing: number;
    private readonly keepMs: number;
    private lastDepartureMs = Number.POSITIVE_INFINITY;
    private msPerToken: number | undefined;
    private meanTokens = 0;
    /** Start of the wait for the next departure; undefined while the queue is empty. */
    private sinceMs: number | undefined;

    /**
     * @param options - weight and age of what is measured
     */
    constructor({ smoothing = SMOOTHING, keepMs = Number.POSITIVE_INFINITY }: DrainMeterOptions = {}) {
        this.smoothing = smoothing;
        this.keepMs = keepMs;
    }

    /**
     * Records that a request waits.
     * @param nowMs - the monotonic clock
     */
    recordArrival(nowMs: number): void {
        if (this.sinceMs === undefined && nowMs - this.lastDepartureMs > this.keepMs) {
            this.msPerToken = undefined;
            this.meanTokens = 0;
        }
        this.sinceMs ??= nowMs;
    }

    /**
     * Records a departure to a slot.
     * @param tokens - expected cost of the request
     * @param isEmpty - whether the queue is empty now
     * @param nowMs - the monotonic clock
     */
    recordDeparture(tokens: number, isEmpty: boolean, nowMs: number): void {
        const elapsedMs = nowMs - (this.sinceMs ?? nowMs);
        const sample = elapsedMs / tokens;
        this.msPerToken = this.msPerToken === undefined
            ? sample
            : this.msPerToken + this.smoothing * (sample - this.msPerToken);
        this.meanTokens = this.meanTokens === 0
            ? tokens
            : this.meanTokens + this.smoothing * (tokens - this.meanTokens);
        this.sinceMs = isEmpty ? undefined : nowMs;
        this.lastDepartureMs = nowMs;
    }

    /** Records that all waiting requests were withdrawn. */
    recordEmpty(): void {
        this.sinceMs = undefined;
    }

    /**
     * Gets the drain rate.
     * @param nowMs - the monotonic clock
     * @returns milliseconds a token, including a departure that is overdue; undefined before the first departure
     */
    getMsPerToken(nowMs: number): number | undefined {
        if (this.msPerToken === undefined) {
            return undefined;
        }
        const overdue = this.sinceMs === undefined ? 0 : (nowMs - this.sinceMs) / this.meanTokens;
        return Math.max(this.msPerToken, overdue * this.smoothing + this.msPerToken * (1 - this.smoothing));
    }
}

/** Drain rates of the classes of one queue. */
export class ClassDrainMeters<Class> {
    private readonly meters: ReadonlyMap<Class, DrainMeter>;

    /**
     * @param classes - all classes
     * @param options - weight and age of what is measured
     */
    constructor(classes: readonly Class[], options: DrainMeterOptions = {}) {
        this.meters = new Map(classes.map((name) => [name, new DrainMeter(options)]));
    }

    /**
     * Gets the meter of a class.
     * @param name - the class
     * @returns its meter
     */
    get(name: Class): DrainMeter {
        const meter = this.meters.get(name);
        if (meter === undefined) {
            throw new Error(`no drain meter for the class ${String(name)}`);
        }
        return meter;
    }
}
