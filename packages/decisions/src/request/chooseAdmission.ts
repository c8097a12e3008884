/**
 * Decides whether a request waits, runs or is refused.
 * Pure: the caller passes counts and rates in. See docs/design/admission.md.
 */
import type { LatencyBound } from "@crankfork/schemas";

/** Work ahead of one request at one entry. */
export interface QueueView {
    /** Tokens of its class that would be served before this one. */
    readonly tokensAhead: number;
    /** Tokens that it is expected to cost itself. */
    readonly ownTokens: number;
    /** How fast its class drains, measured, in milliseconds a token; undefined where none is known yet. */
    readonly msPerToken: number | undefined;
    /** Time that a request takes to its first token once it runs, measured mean, in milliseconds. */
    readonly startMs: number;
    /** Requests of its class that could start now. */
    readonly freeSlots: number;
    /** Requests that wait, of all classes. */
    readonly waitingRequests: number;
    /** Most that may wait. */
    readonly queueLimit: number;
    /** Time until the caller's deadline, in milliseconds; infinite without one. */
    readonly deadlineMs: number;
}

/** What happens to a request. */
export type AdmissionDecision =
    | { readonly kind: "run"; }
    /** It may wait this long, in milliseconds; past it the bound can't hold any more. */
    | { readonly kind: "wait"; readonly limitMs: number; }
    | { readonly kind: "refuse-late"; readonly expectedMs: number; readonly retryAfterMs: number; }
    | { readonly kind: "refuse-full"; readonly retryAfterMs: number; };

/** Least time to come back, so that refused callers don't return at once together. */
const LEAST_RETRY_MS = 100;
/** Drain assumed while none is measured, in milliseconds a token. */
const UNKNOWN_MS_PER_TOKEN = 1;
/** The contract is for 95 in 100, the measured start a mean: twice the mean is kept free for it. */
const START_MARGIN = 2;

/**
 * Chooses what happens to a request.
 * @param view - work ahead, in tokens
 * @param bound - the contracted latency of its class
 * @returns `refuse-late` with a time to come back where the bound or the deadline can't hold
 */
export function chooseAdmission(view: QueueView, bound: LatencyBound): AdmissionDecision {
    const drainMs = (view.tokensAhead + view.ownTokens) * (view.msPerToken ?? UNKNOWN_MS_PER_TOKEN);
    if (view.waitingRequests >= view.queueLimit) {
        return { kind: "refuse-full", retryAfterMs: Math.max(LEAST_RETRY_MS, drainMs) };
    }
    if (view.freeSlots > 0 && view.tokensAhead === 0) {
        return { kind: "run" };
    }
    const limitMs = computeWaitLimitMs(view, bound);
    if (drainMs > limitMs) {
        const expectedMs = drainMs + view.startMs * START_MARGIN;
        return { kind: "refuse-late", expectedMs, retryAfterMs: Math.max(LEAST_RETRY_MS, drainMs - limitMs) };
    }
    return { kind: "wait", limitMs };
}

function computeWaitLimitMs(view: QueueView, bound: LatencyBound): number {
    return Math.max(0, Math.min(bound.first_token_ms, view.deadlineMs) - view.startMs * START_MARGIN);
}
