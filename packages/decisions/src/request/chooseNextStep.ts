/**
 * What follows a try that gave no good answer: another upstream, the upstream's own answer, or an error.
 */

/** How a try ended. */
export type AttemptOutcome =
    /** Nothing was sent. */
    | "not-sent"
    /** Nothing was sent: the upstream asked for rest after it had been chosen. */
    | "kept-back"
    /** The upstream said that it did not run the request. */
    | "declined"
    /** The upstream ran it and answered with a failure, whole. */
    | "failed"
    /** The connection broke, or what came back was no answer to this request: it may have run. */
    | "broken"
    /** No progress, and the engine says that its path stands still. */
    | "stalled"
    /** All streams of its path are silent; a repeat was drawn from the budget before it was left. */
    | "left";

/** What is known when a try has ended. */
export interface AttemptView {
    readonly outcome: AttemptOutcome;
    readonly isRepeatable: boolean;
    /** Whether some try of this request may have run. */
    readonly mayHaveRun: boolean;
    /** Upstreams that it ran on, or may have. */
    readonly executions: number;
    /** Tries so far, also those that did not run. */
    readonly attempts: number;
    readonly maxExecutions: number;
    /** Time left until the caller's deadline or the route's limit, in milliseconds. */
    readonly remainingMs: number;
    /** Whether another upstream can take it. */
    readonly hasAlternative: boolean;
    /**
     * How long the caller of a stream that it has a part of still waits for the next event, in milliseconds; 0 for any
     * other request.
     */
    readonly streamGraceMs: number;
    /** How long a request that has not run may still wait here for a path, in milliseconds. */
    readonly maxQueueMs: number;
    /** Draws on the budget of repeats; called only where all else allows one. */
    readonly claimRetry: () => boolean;
}

/** What is done next. */
export type NextStep =
    | { readonly kind: "try-again"; }
    /** Look again in a moment: a path may take the stream before its caller gives up. */
    | { readonly kind: "wait"; }
    /** Hand on the failure that the upstream gave. */
    | { readonly kind: "hand-on"; }
    /** Refuse as not run, with a time to come back; where a path is free, another entry may have the repeat that lacks here. */
    | { readonly kind: "refuse"; readonly hasFreeUpstream: boolean; }
    /** It may have run and has no answer. */
    | { readonly kind: "fail"; };

/** Tries of one request at the most, so that a fleet that declines everything is not asked in circles. */
const MOST_TRIES = 4;
/** With less time left a repeat would not be answered. */
const LEAST_LEFT_MS = 20;

/**
 * Chooses what follows a try.
 * @param view - what is known
 * @returns the next step
 */
export function chooseNextStep(view: AttemptView): NextStep {
    const mayRepeat = mayTryAgain(view);
    if (mayRepeat && isRepeatAllowed(view)) {
        return { kind: "try-again" };
    }
    if (mayRepeat && view.streamGraceMs > 0) {
        return { kind: "wait" };
    }
    if (mayWaitForPath(view)) {
        return { kind: "wait" };
    }
    if (view.outcome === "failed") {
        return { kind: "hand-on" };
    }
    return view.mayHaveRun ? { kind: "fail" } : { kind: "refuse", hasFreeUpstream: view.hasAlternative };
}

function mayTryAgain(view: AttemptView): boolean {
    const hasRoom = view.attempts < MOST_TRIES && view.remainingMs >= LEAST_LEFT_MS && view.hasAlternative;
    switch (view.outcome) {
        case "not-sent":
        case "kept-back":
        case "declined":
            // A stream under way is not given up for want of room: engines decline while their memory is full.
            return (hasRoom || view.streamGraceMs > 0) && (view.isRepeatable || !view.mayHaveRun);
        case "failed":
        case "broken":
        case "stalled":
        case "left":
            return hasRoom && view.isRepeatable && view.executions < view.maxExecutions;
    }
}

/**
 * A request that nothing took, and that has nowhere else to go, waits for a path like one that has just come: a lost part of
 * a model is loaded anew within a second or two, and its caller would come back to the same.
 */
function mayWaitForPath(view: AttemptView): boolean {
    const hasNotRun = isNotSent(view.outcome) || view.outcome === "declined";
    return hasNotRun
        && !view.hasAlternative
        && view.maxQueueMs > 0
        && view.attempts < MOST_TRIES
        && view.remainingMs >= LEAST_LEFT_MS
        && (view.isRepeatable || !view.mayHaveRun);
}

function isRepeatAllowed(view: AttemptView): boolean {
    // A send that did not arrive adds nothing to what upstreams receive; a path is left only with a repeat in hand.
    return isNotSent(view.outcome) || view.outcome === "left" || view.claimRetry();
}

function isNotSent(end: AttemptOutcome): boolean {
    return end === "not-sent" || end === "kept-back";
}
