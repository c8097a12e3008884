/**
 * Draws the faults of one soak run. They come in series and overlap; the same seed draws the same series.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** One fault: what happens, to which of its kind of thing, when and for how long. */
export interface SoakFault {
    readonly kind: FaultKind;
    /** Number of the entry or printer. */
    readonly target: number;
    readonly offsetMs: number;
    readonly durationMs: number;
}

/** What may happen. */
export type FaultKind = keyof typeof faultWeights;

/** How often each kind is drawn, relative to the others. */
const faultWeights = {
    "kill-entry": 4,
    "stop-entry": 4,
    "pause-entry": 4,
    "kill-all-entries": 1,
    "lose-disk": 1,
    "delay-link": 3,
    "reset-link": 3,
    "one-way-link": 3,
    "silent-link": 3,
    "drop-answers": 3,
    "decline-calls": 2,
    "change-configuration": 5,
} as const;

/** Mean time between two faults: shorter than most of them last, so that they overlap. */
const MEAN_INTERVAL_MS = 350;
const MIN_FAULT_MS = 100;
const MAX_FAULT_MS = 1_500;

/** What a series is drawn for. */
export interface FaultScheduleOptions {
    readonly seed: number;
    readonly durationMs: number;
    /** Targets of each kind of thing. */
    readonly targets: number;
}

/**
 * Creates a source of numbers.
 * @param seed - the same seed gives the same numbers
 * @returns draws from 0 up to 1
 */
export function createDraw(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
}

/**
 * Draws the faults of a run.
 * @param options - seed, length and targets
 * @returns faults in the order in which they begin
 */
export function createFaultSchedule({ seed, durationMs, targets }: FaultScheduleOptions): readonly SoakFault[] {
    const draw = createDraw(seed);
    const faults: SoakFault[] = [];
    for (let atMs = draw() * MEAN_INTERVAL_MS; atMs < durationMs; atMs += draw() * 2 * MEAN_INTERVAL_MS) {
        faults.push({
            kind: pickKind(draw()),
            target: Math.floor(draw() * targets),
            offsetMs: atMs,
            durationMs: MIN_FAULT_MS + draw() * (MAX_FAULT_MS - MIN_FAULT_MS),
        });
    }
    return faults;
}

function pickKind(drawn: number): FaultKind {
    const kinds = Object.entries(faultWeights) as [FaultKind, number][];
    let remaining = drawn * kinds.reduce((sum, [, weight]) => sum + weight, 0);
    for (const [kind, weight] of kinds) {
        remaining -= weight;
        if (remaining < 0) {
            return kind;
        }
    }
    return "kill-entry";
}
