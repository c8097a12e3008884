/**
 * Ends routed requests that get no response from an upstream: the response to the caller, and its Retry-After.
 */
import type { AttemptOutcome, RetryObstacle } from "@crankfork/decisions";
import type { RequestContext, StopReason } from "./requestContext.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import { type RefusalId, refusals } from "./routedRefusal.js";
import type { RoutedResponse } from "./routedResponse.js";
import type { BufferedResponse } from "./upstreamAttempt.js";

/** Outcome of a request, for the log and the metrics. */
export interface RequestEnd {
    readonly outcome: "answered" | "handed-on" | "refused" | "failed" | "broken-off" | "caller-left";
    readonly status: number | undefined;
    readonly refusal: RefusalId | undefined;
    /** Why a request that may have run was not attempted again. */
    readonly obstacle?: RetryObstacle | undefined;
    /** When the first event of a stream was forwarded, on the monotonic clock. */
    readonly firstMs?: number | undefined;
    readonly longestPauseMs?: number | undefined;
}

/** The refusal for each reason why no target is available. */
const choiceRefusals: Readonly<Record<Exclude<TargetChoice["kind"], "target">, RefusalId>> = {
    "none": "no-upstream",
    "too-few-engines": "too-few-engines",
    "full": "full",
    "resting": "resting",
    "limited": "limited",
};

/**
 * Refuses a request for which no target is available.
 * @param context - the request
 * @param response - the response; a stream may have started
 * @param choice - the reason
 * @param functions - computes Retry-After for upstreams in backoff, with a rate limit or without room
 * @returns the outcome
 */
export function refuseWithoutTarget(
    context: RequestContext,
    response: RoutedResponse,
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (context.mayHaveRun) {
        return { ...sendRefusal(context, response, "upstream-failed"), obstacle: "upstream" };
    }
    if (choice.kind !== "resting" && choice.kind !== "limited") {
        context.takenBy = choice.kind === "full" ? choice.takenBy : undefined;
        const returnMs = choice.kind === "full" ? functions.waiting?.assignReturnMs(context) : undefined;
        return sendRefusal(context, response, choiceRefusals[choice.kind], returnMs);
    }
    context.throttledBy = choice.upstreams;
    const retryAfterMs = functions.notices.computeRetryAfterMs(context.admitted.service, choice.remainingMs);
    return sendRefusal(context, response, choiceRefusals[choice.kind], retryAfterMs);
}

/**
 * Ends a request that timed out, whose caller disconnected, or that this instance no longer completes.
 * @param context - the request
 * @param response - the response
 * @param stop - the reason
 * @returns the outcome
 */
export function finishStopped(context: RequestContext, response: RoutedResponse, stop: StopReason): RequestEnd {
    switch (stop) {
        case "caller-left":
            return { outcome: "caller-left", status: undefined, refusal: undefined };
        case "timeout":
            return sendRefusal(context, response, context.mayHaveRun ? "timeout" : "timeout-not-run");
        case "stopping":
            return sendRefusal(context, response, context.mayHaveRun ? "stopped" : "stopping");
    }
}

/**
 * Selects the refusal for a request that no upstream ran.
 * @param end - how the last attempt ended
 * @param isPathFree - whether another upstream could take the request
 * @returns the refusal
 */
export function getNotRunRefusal(end: AttemptOutcome, isPathFree: boolean): RefusalId {
    if (isPathFree) {
        return "no-repeat-left";
    }
    return end === "declined" ? "declined" : "no-upstream";
}

/**
 * Forwards the error response of an upstream.
 * @param context - the request
 * @param response - the response to the caller
 * @param handed - the error response, if there is one, and the choice of a target for another attempt
 * @param functions - computes Retry-After if the upstream asked for a backoff
 * @returns the outcome
 */
export function forwardFailure(
    context: RequestContext,
    response: RoutedResponse,
    { failure, choice }: { readonly failure: BufferedResponse | undefined; readonly choice: TargetChoice; },
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (failure === undefined || response.hasStarted) {
        return sendRefusal(context, response, "upstream-failed");
    }
    if (functions.codec.readNotice(failure.head).backoff.kind === "none") {
        response.sendBuffered(failure);
    }
    else {
        // The upstream's backoff applies to this instance; others may serve the caller at once.
        const remainingMs = choice.kind === "resting" ? choice.remainingMs : 0;
        response.sendBuffered(failure, functions.notices.computeRetryAfterMs(context.admitted.service, remainingMs));
    }
    return { outcome: "handed-on", status: failure.head.status, refusal: undefined };
}

/**
 * Sends a refusal; a stream that has started is aborted.
 * @param context - the request
 * @param response - the response to the caller
 * @param id - the refusal
 * @param retryAfterMs - Retry-After if known, in milliseconds; otherwise derived from the refusal
 * @returns the outcome
 */
export function sendRefusal(
    context: RequestContext,
    response: RoutedResponse,
    id: RefusalId,
    retryAfterMs?: number,
): RequestEnd {
    if (response.hasStarted) {
        response.abort();
        return { outcome: "broken-off", status: undefined, refusal: id };
    }
    response.sendRefusal(context.admitted.call, refusals[id], { remainingMs: context.remainingMs, retryAfterMs });
    return { outcome: context.mayHaveRun ? "failed" : "refused", status: refusals[id].status, refusal: id };
}
