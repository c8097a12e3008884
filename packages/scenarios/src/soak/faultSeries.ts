/**
 * Generates the fault schedule of a soak run. Faults overlap; the same seed gives the same schedule.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A scheduled fault. */
export interface SoakFault {
    readonly kind: FaultKind;
    /** Number of the entry or printer, modulo their count. */
    readonly target: number;
    readonly offsetMs: number;
    readonly durationMs: number;
}

/** Kind of fault. */
export type FaultKind = keyof typeof faultWeights;

/** Relative frequency of each kind. */
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

/** Mean time between the starts of two faults; shorter than most faults last, so that they overlap. */
const MEAN_INTERVAL_MS = 350;
const MIN_FAULT_MS = 100;
const MAX_FAULT_MS = 1_500;

/** Parameters of a fault schedule. */
export interface FaultScheduleOptions {
    readonly seed: number;
    readonly durationMs: number;
    /** Number of targets. */
    readonly targets: number;
}

/**
 * Creates a seeded pseudo-random number generator.
 * @param seed - the same seed gives the same numbers
 * @returns function that returns uniform numbers from 0 (inclusive) to 1 (exclusive)
 */
export function createDraw(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
}

/**
 * Generates the faults of a run.
 * @param options - seed, duration and targets
 * @returns faults, ordered by their start
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
