/**
 * Decides what follows an attempt that gave no good answer: a retry at another upstream, the upstream's own answer, or
 * an error.
 */

/** How an attempt ended. */
export type AttemptOutcome =
    /** Nothing was sent. */
    | "not-sent"
    /** Nothing was sent: the upstream asked for backoff after it had been chosen. */
    | "kept-back"
    /** The upstream said that it did not execute the request. */
    | "declined"
    /** The upstream executed it and answered with a complete failure response. */
    | "failed"
    /** The connection broke, or the response did not belong to this request: it may have been executed. */
    | "broken"
    /** No progress, and its upstream cannot be reached any more. */
    | "stalled";

/** State of a request after an attempt. */
export interface AttemptView {
    readonly outcome: AttemptOutcome;
    readonly isRepeatable: boolean;
    /** Whether any attempt of this request may have been executed. */
    readonly mayHaveRun: boolean;
    /** Upstreams that executed it, or may have. */
    readonly executions: number;
    /** Attempts so far, including those that were not executed. */
    readonly attempts: number;
    readonly maxExecutions: number;
    /** Time left until the caller's deadline or the route's timeout, in milliseconds. */
    readonly remainingMs: number;
    /** Whether another upstream can take it. */
    readonly hasAlternative: boolean;
    /** Whether it is a partly delivered stream whose caller may still get the rest: it has not left, and has time left. */
    readonly isStreamWaiting: boolean;
    /** How long a request that has not been executed may still wait here for a chain, in milliseconds. */
    readonly maxQueueMs: number;
    /** Claims a retry from the budget; called only where everything else allows one. */
    readonly claimRetry: () => boolean;
}

/** What is done next. */
export type NextStep =
    | { readonly kind: "try-again"; }
    /** Check again shortly: a chain may take the stream before its caller leaves. */
    | { readonly kind: "wait"; }
    /** Pass the upstream's failure on to the caller. */
    | { readonly kind: "hand-on"; }
    /**
     * Refuse as not executed, with a retry delay. Where an upstream is free, another entry may have the retry that is
     * lacking here.
     */
    | { readonly kind: "refuse"; readonly hasFreeUpstream: boolean; }
    /** It may have been executed and has no answer. */
    | { readonly kind: "fail"; readonly lacks: RetryObstacle; };

/** Why a request is not attempted again. */
export type RetryObstacle =
    /** It may be executed only once. */
    | "permission"
    /** The route allows no further attempt. */
    | "attempt"
    /** No other upstream can take it. */
    | "upstream"
    /** The retry budget is spent. */
    | "retry"
    /** Its deadline is too close. */
    | "time";

/** Most attempts of one request, so that it does not go round a fleet that declines everything. */
const MAX_ATTEMPTS = 4;
/** With less time left a retry would not be answered. */
const MIN_REMAINING_MS = 20;

/**
 * Decides what follows an attempt.
 * @param view - state of the request
 * @returns the next step
 */
export function chooseNextStep(view: AttemptView): NextStep {
    const canRetry = mayRetry(view);
    if (canRetry && isRetryAllowed(view)) {
        return { kind: "try-again" };
    }
    if (view.isStreamWaiting && mayRetry({ ...view, hasAlternative: true })) {
        return { kind: "wait" };
    }
    if (mayWaitForChain(view)) {
        return { kind: "wait" };
    }
    if (view.outcome === "failed") {
        return { kind: "hand-on" };
    }
    return view.mayHaveRun
        ? { kind: "fail", lacks: findRetryObstacle(view) ?? "retry" }
        : { kind: "refuse", hasFreeUpstream: view.hasAlternative };
}

/** What decides whether a request may be attempted again, apart from the retry budget. */
export type RetryView = Pick<
    AttemptView,
    | "isRepeatable"
    | "executions"
    | "attempts"
    | "maxExecutions"
    | "remainingMs"
    | "hasAlternative"
    | "isStreamWaiting"
>;

/**
 * Finds out why a request that may have been executed is not attempted again.
 * @param view - state of the request
 * @returns the first obstacle; undefined if only the retry budget decides
 */
export function findRetryObstacle(view: RetryView): RetryObstacle | undefined {
    if (!view.isRepeatable) {
        return "permission";
    }
    if (view.remainingMs < MIN_REMAINING_MS) {
        return "time";
    }
    if (view.executions >= view.maxExecutions || !isBelowMaxAttempts(view)) {
        return "attempt";
    }
    return view.hasAlternative ? undefined : "upstream";
}

function mayRetry(view: AttemptView): boolean {
    const canAttempt = isBelowMaxAttempts(view) && view.remainingMs >= MIN_REMAINING_MS && view.hasAlternative;
    switch (view.outcome) {
        case "not-sent":
        case "kept-back":
        case "declined":
            // A partly delivered stream is not given up for lack of capacity: engines decline while their memory is
            // full.
            return (canAttempt || view.isStreamWaiting) && (view.isRepeatable || !view.mayHaveRun);
        case "failed":
        case "broken":
        case "stalled":
            return canAttempt && view.isRepeatable && view.executions < view.maxExecutions;
    }
}

/** Attempts of a partly delivered stream that were not executed are bounded by the retry budget only. */
function isBelowMaxAttempts({ attempts, isStreamWaiting }: Pick<AttemptView, "attempts" | "isStreamWaiting">): boolean {
    return isStreamWaiting || attempts < MAX_ATTEMPTS;
}

/**
 * A request that no upstream took and that has no alternative waits for a chain as a new request does: the lost part of
 * a model is reloaded within a second or two, and a retry by its caller would meet the same state.
 */
function mayWaitForChain(view: AttemptView): boolean {
    const wasNotExecuted = isNotSent(view.outcome) || view.outcome === "declined";
    return wasNotExecuted
        && !view.hasAlternative
        && view.maxQueueMs > 0
        && view.attempts < MAX_ATTEMPTS
        && view.remainingMs >= MIN_REMAINING_MS
        && (view.isRepeatable || !view.mayHaveRun);
}

function isRetryAllowed(view: AttemptView): boolean {
    // An attempt that did not reach the upstream adds no load.
    return isNotSent(view.outcome) || view.claimRetry();
}

function isNotSent(outcome: AttemptOutcome): boolean {
    return outcome === "not-sent" || outcome === "kept-back";
}
