/**
 * How a routed request ends without an answer of an upstream: what its caller is told, and when to come back.
 */
import type { TryEnd } from "@crankfork/decisions";
import type { RequestContext, StopReason } from "./requestContext.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import { type RefusalId, refusals } from "./routedRefusal.js";
import type { RoutedResponse } from "./routedResponse.js";
import type { BufferedResponse } from "./upstreamAttempt.js";

/** How a request ended, for the log and the counters. */
export interface RequestEnd {
    readonly outcome: "answered" | "handed-on" | "refused" | "failed" | "broken-off" | "caller-left";
    readonly status: number | undefined;
    readonly refusal: RefusalId | undefined;
    /** When the first event of a stream was handed on, by the monotonic clock. */
    readonly firstMs?: number | undefined;
    readonly longestPauseMs?: number | undefined;
}

/** What a caller is told where nothing can take its request. */
const choiceRefusals: Readonly<Record<Exclude<TargetChoice["kind"], "target">, RefusalId>> = {
    "none": "no-upstream",
    "too-few-engines": "too-few-engines",
    "full": "full",
    "resting": "resting",
    "limited": "limited",
};

/**
 * Refuses a request for which there is no target.
 * @param context - the request
 * @param response - nothing written yet, or a stream under way
 * @param choice - why there is none
 * @param functions - when to come back to upstreams that rest or take few
 * @returns how it ended
 */
export function refuseWithoutTarget(
    context: RequestContext,
    response: RoutedResponse,
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (context.mayHaveRun) {
        return sendRefusal(context, response, "upstream-failed");
    }
    if (choice.kind !== "resting" && choice.kind !== "limited") {
        return sendRefusal(context, response, choiceRefusals[choice.kind]);
    }
    context.throttledBy = choice.upstreams;
    const retryAfterMs = functions.notices.computeRetryAfterMs(context.admitted.service, choice.leftMs);
    return sendRefusal(context, response, choiceRefusals[choice.kind], retryAfterMs);
}

/**
 * Ends a request whose time is over, or whose caller has left.
 * @param context - the request
 * @param response - where it would have been answered
 * @param stop - which of the two
 * @returns how it ended
 */
export function finishStopped(context: RequestContext, response: RoutedResponse, stop: StopReason): RequestEnd {
    return stop === "caller-left"
        ? { outcome: "caller-left", status: undefined, refusal: undefined }
        : sendRefusal(context, response, context.mayHaveRun ? "timeout" : "timeout-not-run");
}

/**
 * Names the refusal of a request that nothing took.
 * @param end - how its last try ended
 * @param isPathFree - whether another upstream could take it
 * @returns the refusal
 */
export function getNotRunRefusal(end: TryEnd, isPathFree: boolean): RefusalId {
    if (isPathFree) {
        return "no-repeat-left";
    }
    return end === "declined" ? "declined" : "no-upstream";
}

/**
 * Hands an upstream's failure on.
 * @param context - the request
 * @param response - where it goes
 * @param handed - the failure, undefined where there is none, and where another try could go
 * @param functions - when to come back, where the upstream asked for rest
 * @returns how the request ended
 */
export function forwardFailure(
    context: RequestContext,
    response: RoutedResponse,
    { whole, choice }: { readonly whole: BufferedResponse | undefined; readonly choice: TargetChoice; },
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (whole === undefined || response.hasStarted) {
        return sendRefusal(context, response, "upstream-failed");
    }
    if (functions.codec.readNotice(whole.head).rest.kind === "none") {
        response.sendBuffered(whole);
    }
    else {
        // The upstream's rest was meant for this instance: others may serve the caller at once.
        const leftMs = choice.kind === "resting" ? choice.leftMs : 0;
        response.sendBuffered(whole, functions.notices.computeRetryAfterMs(context.admitted.service, leftMs));
    }
    return { outcome: "handed-on", status: whole.head.status, refusal: undefined };
}

/**
 * Sends a refusal; a stream under way is broken off.
 * @param context - the request
 * @param response - where it goes
 * @param id - why
 * @param retryAfterMs - when to come back where that is known, in milliseconds; the refusal's own time is drawn where left out
 * @returns how the request ended
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
