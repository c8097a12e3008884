/**
 * Decides whether a request waits, runs or is refused.
 * Pure: the caller passes counts and rates in. See docs/design/admission.md.
 */
import type { ClassBound } from "@crankfork/schemas";

/** Work ahead of one request at one entry. */
export interface QueueView {
    /** Tokens of waiting requests that would be served before this one. */
    readonly tokensAhead: number;
    /** Tokens of its own that come before its first token: the prompt. */
    readonly promptTokens: number;
    /** Service rate of this entry's share, measured, in tokens per second; 0 where none is known yet. */
    readonly tokensPerSecond: number;
    /** Time that a request takes to its first token once it runs, measured, in milliseconds. */
    readonly startMs: number;
    /** Requests that could start now. */
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
    | { readonly kind: "wait"; readonly expectedMs: number; }
    | { readonly kind: "refuse-late"; readonly expectedMs: number; readonly retryAfterMs: number; }
    | { readonly kind: "refuse-full"; readonly retryAfterMs: number; };

/** Least time to come back, so that refused callers don't return at once together. */
const LEAST_RETRY_MS = 100;
/** Rate assumed while none is measured, in tokens per second. */
const UNKNOWN_RATE = 200;

/**
 * Chooses what happens to a request.
 * @param view - work ahead, in tokens
 * @param bound - the contracted latency of its class
 * @returns `refuse-late` with a time to come back where the bound or the deadline can't hold
 */
export function chooseAdmission(view: QueueView, bound: ClassBound): AdmissionDecision {
    if (view.waitingRequests >= view.queueLimit) {
        return { kind: "refuse-full", retryAfterMs: Math.max(LEAST_RETRY_MS, computeDrainMs(view)) };
    }
    const canStart = view.freeSlots > 0 && view.tokensAhead === 0;
    const expectedMs = view.startMs + (canStart ? 0 : computeDrainMs(view));
    const limitMs = Math.min(bound.first_token_ms, view.deadlineMs);
    if (expectedMs > limitMs && !canStart) {
        return { kind: "refuse-late", expectedMs, retryAfterMs: Math.max(LEAST_RETRY_MS, expectedMs - limitMs) };
    }
    return canStart ? { kind: "run" } : { kind: "wait", expectedMs };
}

function computeDrainMs(view: QueueView): number {
    const rate = view.tokensPerSecond > 0 ? view.tokensPerSecond : UNKNOWN_RATE;
    return (view.tokensAhead + view.promptTokens) / rate * 1_000;
}
