/**
 * Decides whether a request runs, waits or is refused.
 * Pure: the caller passes counts and rates in. See docs/design/admission.md.
 */
import type { LatencyBound } from "@crankfork/schemas";

/** The queue as one request at one entry meets it. */
export interface QueueView {
    /** Tokens of its class that would be served before it. */
    readonly tokensAhead: number;
    /** Tokens that it is expected to cost. */
    readonly ownTokens: number;
    /** Measured drain rate of its class, in milliseconds a token; undefined before the first measurement. */
    readonly msPerToken: number | undefined;
    /** Measured mean time from the start of a request to its first token, in milliseconds. */
    readonly startMs: number;
    /** Requests of its class that could start now. */
    readonly freeSlots: number;
    /** Waiting requests of all classes. */
    readonly waitingRequests: number;
    /** Most requests that may wait. */
    readonly queueLimit: number;
    /** Time until the caller's deadline, in milliseconds; infinite without one. */
    readonly deadlineMs: number;
}

/** Outcome of admission. */
export type AdmissionDecision =
    | { readonly kind: "run"; }
    /** It may wait this long, in milliseconds; after that its latency bound can't be met. */
    | { readonly kind: "wait"; readonly limitMs: number; }
    | { readonly kind: "refuse-late"; readonly expectedMs: number; readonly retryAfterMs: number; }
    | { readonly kind: "refuse-full"; readonly retryAfterMs: number; };

/** Shortest retry delay, so that refused callers don't all return at once. */
const MIN_RETRY_MS = 100;
/** Drain rate assumed before the first measurement, in milliseconds a token. */
const DEFAULT_MS_PER_TOKEN = 1;
/**
 * The latency bound is a 95th percentile and the measured start time a mean; twice the mean is reserved for the start.
 */
const START_TIME_FACTOR = 2;

/**
 * Decides on a request.
 * @param view - the queue ahead of it, in tokens
 * @param bound - the contracted latency of its class
 * @returns the decision; `refuse-late` with a retry delay where the bound or the deadline can't be met
 */
export function chooseAdmission(view: QueueView, bound: LatencyBound): AdmissionDecision {
    const drainMs = (view.tokensAhead + view.ownTokens) * (view.msPerToken ?? DEFAULT_MS_PER_TOKEN);
    if (view.waitingRequests >= view.queueLimit) {
        return { kind: "refuse-full", retryAfterMs: Math.max(MIN_RETRY_MS, drainMs) };
    }
    if (view.freeSlots > 0 && view.tokensAhead === 0) {
        return { kind: "run" };
    }
    const limitMs = computeWaitLimitMs(view, bound);
    if (drainMs > limitMs) {
        const expectedMs = drainMs + view.startMs * START_TIME_FACTOR;
        return { kind: "refuse-late", expectedMs, retryAfterMs: Math.max(MIN_RETRY_MS, drainMs - limitMs) };
    }
    return { kind: "wait", limitMs };
}

function computeWaitLimitMs(view: QueueView, bound: LatencyBound): number {
    return Math.max(0, Math.min(bound.first_token_ms, view.deadlineMs) - view.startMs * START_TIME_FACTOR);
}
