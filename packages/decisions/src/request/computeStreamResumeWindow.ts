/**
 * How long after its last event a stream is still worth going on with elsewhere.
 *
 * Load pattern: an engine that many paths share goes dark; its layers are loaded anew 1.7 to 2 s later, detection included.
 * Streams that were given up after 1.6 s broke off in that last moment: 26 within 0.1 s in a replay of 41 engines, 0.1 to 0.5
 * s before the next path was there. So a stream is held as long as its caller is.
 */

/** What a route asks of its streams. */
export interface StreamObjectives {
    /** Time to the first event, in milliseconds. */
    readonly objectiveMs: number;
    /** Longest pause between two events; undefined where the route names none. */
    readonly pauseMs: number | undefined;
}

/** Callers of the users' protocol give a stream up after the longest of these gaps. */
const LEAST_CALLER_GAP_MS = 2_000;
const CALLER_GAP_OBJECTIVES = 4;
const CALLER_GAP_PAUSES = 8;
/** A resumed stream needs some 150 ms until its next event: the way, its prompt, a step. */
const RESUME_MS = 200;

/**
 * Computes how long a stream may be silent and still be resumed.
 * @param contract - what the route asks
 * @returns milliseconds since its last event
 */
export function computeStreamResumeWindowMs({ objectiveMs, pauseMs = 0 }: StreamObjectives): number {
    const callerGapMs = Math.max(
        LEAST_CALLER_GAP_MS,
        objectiveMs * CALLER_GAP_OBJECTIVES,
        pauseMs * CALLER_GAP_PAUSES,
    );
    return callerGapMs - RESUME_MS;
}
