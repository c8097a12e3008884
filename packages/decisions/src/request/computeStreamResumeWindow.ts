/**
 * How long after its last event a stream is still worth resuming on another chain.
 *
 * Load pattern: an engine that many chains share fails, and its layers are loaded elsewhere 1.7 to 2 s later, including
 * failure detection. With a limit of 1.6 s streams broke off just before that: 26 within 0.1 s in a replay of 41
 * engines, 0.1 to 0.5 s before the next chain was ready. So a stream is held as long as its caller waits.
 */

/** Latency objectives of a route for its streams. */
export interface StreamObjectives {
    /** Time to the first event, in milliseconds. */
    readonly objectiveMs: number;
    /** Longest pause between two events; undefined where the route states none. */
    readonly pauseMs: number | undefined;
}

/** Callers abandon a stream after the longest of these timeouts, as their protocol defines. */
const MIN_CALLER_TIMEOUT_MS = 2_000;
const CALLER_TIMEOUT_OBJECTIVES = 4;
const CALLER_TIMEOUT_PAUSES = 8;
/** Time that a resumed stream needs until its next event: some 150 ms for the network, its prompt and a step. */
const RESUME_MS = 200;

/**
 * Computes how long a stream may be silent and still be resumed.
 * @param objectives - the route's objectives
 * @returns milliseconds since its last event
 */
export function computeStreamResumeWindowMs({ objectiveMs, pauseMs = 0 }: StreamObjectives): number {
    const callerTimeoutMs = Math.max(
        MIN_CALLER_TIMEOUT_MS,
        objectiveMs * CALLER_TIMEOUT_OBJECTIVES,
        pauseMs * CALLER_TIMEOUT_PAUSES,
    );
    return callerTimeoutMs - RESUME_MS;
}
