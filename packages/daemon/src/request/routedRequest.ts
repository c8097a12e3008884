/**
 * Handles a routed request after its admission: attempts it at one upstream after another until one returns a complete
 * response or no further attempt is allowed.
 */
import { chooseNextStep, computeStreamResumeWindowMs, type NextStep } from "@crankfork/decisions";
import { waitMs } from "../process/waitMs.js";
import { runAttemptGroup } from "./attemptGroup.js";
import { checkSend, waitUntilCrashesStored } from "./checkSend.js";
import { isMemoryChecked } from "./observedAttempt.js";
import {
    finishStopped,
    forwardFailure,
    getNotRunRefusal,
    refuseWithoutTarget,
    type RequestEnd,
    sendRefusal,
} from "./refuseRequest.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import type { RoutedResponse } from "./routedResponse.js";
import { StreamRelay } from "./streamRelay.js";
import type { AttemptResult } from "./upstreamAttempt.js";
import { computeFullWaitMs, computeMaxWaitMs, isKeyUsable, TARGET_POLL_MS, waitForTarget } from "./waitForTarget.js";

/** Interval between checks for a stream that was broken off long ago. */
const LATE_POLL_MS = 500;
/** Attempts made without a delay; more would only drain the retry budget while the engines' memory is full. */
const IMMEDIATE_ATTEMPTS = 2;

/**
 * Handles a request.
 * @param context - the request
 * @param response - the response to the caller
 * @param functions - upstreams, budgets and clock
 * @returns the outcome; never rejects
 */
export async function handleRoutedRequest(
    context: RequestContext,
    response: RoutedResponse,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd> {
    const { call, route, organisation } = context.admitted;
    const { unread } = functions;
    if (unread !== undefined) {
        const name = organisation?.name ?? "";
        response.limitUnread(unread, name);
        if (unread.isRefused(name)) {
            return sendRefusal(context, response, "slow-readers");
        }
    }
    const relay = route.kind === "stream"
        ? new StreamRelay(response, call.lastEventId, functions.getNowMs)
        : undefined;
    const end = await runAttempts(context, response, relay, functions);
    return relay === undefined ? end : { ...end, firstMs: relay.firstMs, longestPauseMs: relay.longestPauseMs };
}

async function runAttempts(
    context: RequestContext,
    response: RoutedResponse,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd> {
    for (;;) {
        context.stopIfExpired();
        const choice = await waitForTarget(context, relay, functions);
        // Checked right before sending: while the request waited for a path, similar requests may have crashed three
        // upstreams.
        const check = context.stopReason === undefined ? await checkSend(context, choice, functions) : "send";
        if (context.stopReason !== undefined) {
            return finishStopped(context, response, context.stopReason);
        }
        if (check === "quarantined") {
            return sendRefusal(context, response, context.mayHaveRun ? "held-after-run" : "held");
        }
        if (check === "undecided") {
            return sendRefusal(context, response, context.mayHaveRun ? "upstream-failed" : "resend-undecided");
        }
        if (check === "choose-again") {
            continue;
        }
        // The lease of the key may have expired while the request waited for a path, up to 1.8 s.
        if (!isKeyUsable(context, functions)) {
            return sendRefusal(context, response, context.mayHaveRun ? "upstream-failed" : "not-confirmed");
        }
        // An answer to a request that is sent now may not be complete before this process exits. A caller that has received a
        // part of a stream gets what can still be delivered.
        if (functions.acceptsRequests?.() === false && !response.hasStarted) {
            return finishStopped(context, response, "stopping");
        }
        if (choice.kind !== "target") {
            return refuseWithoutTarget(context, response, choice, functions);
        }
        const target = {
            ...choice.target,
            needsNewConnection: context.contactedUpstreams.has(choice.target.upstreamId),
        };
        const result = await runAttemptGroup(context, target, relay, functions);
        switch (result.kind) {
            case "answered":
                response.sendBuffered(result.response);
                return { outcome: "answered", status: result.response.head.status, refusal: undefined };
            case "streamed":
                response.endStream();
                return { outcome: "answered", status: 200, refusal: undefined };
            case "stopped":
                return finishStopped(context, response, result.stop);
            case "ended": {
                const stop = result.end === "broken" || context.hasCrash
                    ? await waitUntilCrashesStored(context, functions)
                    : undefined;
                if (stop !== undefined) {
                    return finishStopped(context, response, stop);
                }
                const end = await applyNextStep(context, response, relay, result, functions);
                if (end !== undefined) {
                    return end;
                }
            }
        }
    }
}

/** A failed attempt, and the target of a further one. */
interface FailedAttempt {
    readonly result: Extract<AttemptResult, { kind: "ended"; }>;
    readonly choice: TargetChoice;
}

async function applyNextStep(
    context: RequestContext,
    response: RoutedResponse,
    relay: StreamRelay | undefined,
    result: Extract<AttemptResult, { kind: "ended"; }>,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd | undefined> {
    // Where the attempt was declined for lack of memory, a path without room would decline it again, and use up a retry.
    const isMemoryFull = result.end === "declined" && result.faultAddress !== undefined && !response.hasStarted
        && isMemoryChecked(context.admitted.service.name, functions);
    const findAlternative = (): TargetChoice => functions.chooseTarget(context, undefined, !isMemoryFull);
    let choice = findAlternative();
    let step = chooseStep(context, response, relay, { result, choice }, functions);
    while (step.kind === "wait") {
        await waitMs(computePollMs(context, relay));
        if (context.stopReason !== undefined) {
            return finishStopped(context, response, context.stopReason);
        }
        choice = findAlternative();
        step = chooseStep(context, response, relay, { result, choice }, functions);
    }
    switch (step.kind) {
        case "try-again":
            functions.record("try-again", {
                request: context.admitted.call.requestId,
                after: result.end,
                reason: result.reason,
                tries: context.attempts,
                left_ms: Math.round(context.remainingMs),
            });
            if ((result.end === "declined" && context.attempts >= IMMEDIATE_ATTEMPTS) || isWithoutRelay(result)) {
                await waitMs(computePollMs(context, relay));
            }
            return undefined;
        case "hand-on":
            return forwardFailure(context, response, { failure: result.response, choice }, functions);
        case "refuse":
            return isThrottled(choice) || (isMemoryFull && choice.kind === "full")
                ? refuseWithoutTarget(context, response, choice, functions)
                : sendRefusal(
                    context,
                    response,
                    isWithoutRelay(result) ? "cut-off" : getNotRunRefusal(result.end, step.hasFreeUpstream),
                );
        case "fail":
            return { ...sendRefusal(context, response, "upstream-failed"), obstacle: step.lacks };
    }
}

function chooseStep(
    context: RequestContext,
    response: RoutedResponse,
    relay: StreamRelay | undefined,
    { result, choice }: FailedAttempt,
    functions: RoutedRequestFunctions,
): NextStep {
    const { service, route } = context.admitted;
    const hasStarted = relay !== undefined && relay.eventCount > 0;
    return chooseNextStep({
        outcome: result.end,
        isRepeatable: route.is_repeatable,
        mayHaveRun: context.mayHaveRun,
        executions: countActiveRuns(context, functions),
        attempts: context.attempts,
        maxExecutions: route.most_attempts,
        remainingMs: context.remainingMs,
        // A trial is sent only once.
        hasAlternative: !context.isTrial && choice.kind === "target" && !isWithoutRelay(result),
        isStreamWaiting: hasStarted && !context.isTrial && choice.kind !== "too-few-engines",
        // If all remaining upstreams are in backoff or rate-limited, none accepts the request before the caller's
        // Retry-After.
        maxQueueMs: hasStarted || isWithoutRelay(result) || context.isTrial || service.engine === undefined
                || isThrottled(choice)
            ? 0
            : computeQueueLimitMs(context, choice) - context.ageMs,
        claimRetry: () => functions.claimRetry(service.name, response.hasStarted),
    });
}

/** A request that finds all paths full waits no longer than a new one, so that it is refused while others may serve it. */
function computeQueueLimitMs(context: RequestContext, choice: TargetChoice): number {
    return choice.kind === "full"
        ? computeFullWaitMs(context)
        : computeMaxWaitMs(context.remainingMs + context.ageMs);
}

/** Whether a request was not sent because this entry is cut off and no relay took it; another upstream would not help. */
function isWithoutRelay({ end, isLinkFault }: FailedAttempt["result"]): boolean {
    return end === "not-sent" && isLinkFault === true;
}

/** Whether only backoffs or rate limits keep a request from being sent. */
function isThrottled(choice: TargetChoice): choice is Extract<TargetChoice, { kind: "resting" | "limited"; }> {
    return choice.kind === "resting" || choice.kind === "limited";
}

/** Most callers have left after the window in which a stream can be resumed; the others are tried less often. */
function computePollMs({ admitted: { route } }: RequestContext, relay: StreamRelay | undefined): number {
    const contract = { objectiveMs: route.objective_ms, pauseMs: route.pause_objective_ms };
    const isWithinWindow = relay === undefined || relay.sinceEventMs < computeStreamResumeWindowMs(contract);
    return isWithinWindow ? TARGET_POLL_MS : LATE_POLL_MS;
}

/**
 * Counts the upstreams that may still be running the request. One that has terminated cannot respond any more and does
 * not count against the route's limit; one that is merely suspected does.
 */
function countActiveRuns(context: RequestContext, functions: RoutedRequestFunctions): number {
    return [...context.mayHaveRunOn].filter((id) => !functions.hasEnded(id)).length;
}
