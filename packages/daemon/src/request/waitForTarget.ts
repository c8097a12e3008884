/**
 * Waits for an upstream that can take a routed request, within limits that depend on why none can now.
 */
import { classifyReturn, computeQueueWaitMs, type ReturnStanding } from "@crankfork/decisions";
import { RequestQueue, type UnsentChoice } from "../process/entry/requestQueue.js";
import type { RequestContext } from "./requestContext.js";
import type { RequestRank, RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import type { StreamRelay } from "./streamRelay.js";

/**
 * Fraction of the remaining time for which a request waits if no upstream can take it: lost engines are replaced and
 * leaders elected within that time. A caller with little time left is better refused at once.
 */
const WAIT_FACTOR = 0.1;
/**
 * Upper bound of the wait: longer than the 1.5 s that it usually takes to reload a lost part of a model, and than an
 * election.
 */
const MAX_WAIT_MS = 1_800;
/**
 * Fraction of the latency objective for which a new request waits if all paths are at capacity: a path completes a
 * request about every 50 ms, and a request admitted within this time still meets its objective.
 */
const FULL_WAIT_FACTOR = 0.15;
/**
 * The same for a caller that retries after a refusal, as a multiple of the objective. It is late already, does not
 * retry a second time and waits up to four objectives, so a late response is better than none.
 */
const RETRY_WAIT_FACTOR = 2.5;
/**
 * Fraction of the latency objective for which a request waits for a send that is reserved for it; the rest is left for
 * the response.
 */
const RESERVED_WAIT_FACTOR = 0.3;

export { TARGET_POLL_MS } from "../process/entry/requestQueue.js";

/**
 * Computes how long a request may wait for a target.
 * @param remainingMs - time until its deadline, in milliseconds
 * @returns milliseconds
 */
export function computeMaxWaitMs(remainingMs: number): number {
    return Math.max(0, Math.min(MAX_WAIT_MS, remainingMs * WAIT_FACTOR));
}

/**
 * Computes how long a request may wait if all paths are at capacity.
 * @param context - the request
 * @returns milliseconds
 */
export function computeFullWaitMs({ admitted, isLikelyRetry }: RequestContext): number {
    return admitted.route.objective_ms * (isLikelyRetry ? RETRY_WAIT_FACTOR : FULL_WAIT_FACTOR);
}

/**
 * Computes how long a request may wait for a send reserved for it.
 * @param context - the request
 * @returns milliseconds
 */
export function computeReservedWaitMs({ admitted, remainingMs }: RequestContext): number {
    return Math.min(admitted.route.objective_ms * RESERVED_WAIT_FACTOR, computeMaxWaitMs(remainingMs));
}

/**
 * Tells whether the API key of a request is still valid.
 * @param context - the request
 * @param functions - access to the lease of the configuration
 * @returns true also if the request needs no key
 */
export function isKeyUsable({ admitted }: RequestContext, functions: RoutedRequestFunctions): boolean {
    return admitted.organisation === undefined || functions.isKeyUsable();
}

/**
 * Tells whether a request is quarantined because upstreams crashed whenever they ran it; such a request does not wait
 * for a path.
 * @param context - the request
 * @param functions - access to the recorded crashes
 * @returns false for a trial
 */
export function isQuarantined(context: RequestContext, { crashes }: RoutedRequestFunctions): boolean {
    return !context.isTrial && crashes.isQuarantined(context.admitted);
}

/**
 * Chooses a target, waiting for one as long as that may help.
 * @param context - the request
 * @param relay - its stream, for a streamed response
 * @param functions - choice of targets and clock
 * @returns the target, or the reason why there is none
 */
export async function waitForTarget(
    context: RequestContext,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<TargetChoice> {
    const { admitted } = context;
    const hasStarted = (relay?.eventCount ?? 0) > 0;
    const choose = (): TargetChoice => functions.chooseTarget(context, relay?.lastEventId, hasStarted);
    const { waiting } = functions;
    const queue = waiting?.getQueue(admitted.service.name) ?? new RequestQueue(functions);
    const requestRank = waiting?.getRank(admitted) ?? UNRANKED;
    const standing = getStanding(context);
    const limits = computeWaitLimits(context);
    const computeRankedMs = createRankedLimit(context, requestRank, standing, queue, functions);
    return await queue.wait(context, choose, {
        rank: requestRank.rank,
        isRanked: requestRank.isRanked,
        hasReturned: requestRank.isRanked && standing === "returned",
        hasStarted,
        getLimitMs: (reason) => {
            if (
                reason.kind === "too-few-engines" || isQuarantined(context, functions)
                || !isKeyUsable(context, functions)
            ) {
                return 0;
            }
            if (hasStarted) {
                // The caller, which has received a part, may still wait; it ends the wait by leaving.
                return context.remainingMs;
            }
            return requestRank.isRanked && reason.kind === "full" ? computeRankedMs() : getWaitLimitMs(reason, limits);
        },
    });
}

/** Without ranks all requests of a service are alike. */
const UNRANKED: RequestRank = { rank: 0, rankCount: 1, isRanked: false };

/**
 * Classifies the caller of a request by the deadline that it states.
 * @param context - the request
 * @returns whether it came back, and whether it honoured `Retry-After`
 */
export function getStanding({ admitted: { call, route }, isLikelyRetry }: RequestContext): ReturnStanding {
    return classifyReturn({ isLikelyRetry, timeoutMs: route.timeout_ms, deadlineMs: call.deadlineMs });
}

/** The limit changes while the request waits, since the least urgent rank gives way to others. */
function createRankedLimit(
    context: RequestContext,
    { rank, rankCount }: RequestRank,
    standing: ReturnStanding,
    queue: RequestQueue,
    { waiting }: RoutedRequestFunctions,
): () => number {
    const { admitted, ageMs } = context;
    const { objective_ms: objectiveMs } = admitted.route;
    const isLeastUrgent = rankCount > 1 && rank === rankCount - 1;
    // Only the least urgent gives way, so the others don't look at the fleet's demand at each try.
    const isMoreUrgentShort = (): boolean =>
        isLeastUrgent && (queue.hasMoreUrgent(rank)
            || waiting?.isMoreUrgentShort(admitted.service.name, rank) === true);
    return () => {
        const firstEventMs = waiting?.getFirstEventMs(admitted);
        const view = { objectiveMs, firstEventMs, standing, isLeastUrgent, isMoreUrgentShort: isMoreUrgentShort() };
        return computeQueueWaitMs(view) - ageMs;
    };
}

/** Wait limits by the reason why a request cannot be sent, in milliseconds. */
interface WaitLimits {
    readonly noneMs: number;
    readonly fullMs: number;
    readonly restingMs: number;
    /** For a send reserved for this entry. */
    readonly reservedMs: number;
}

function computeWaitLimits(context: RequestContext): WaitLimits {
    const { objective_ms } = context.admitted.route;
    return {
        noneMs: computeMaxWaitMs(context.remainingMs),
        fullMs: computeFullWaitMs(context),
        // A retrying caller was told when capacity is available, so it waits no longer than others.
        restingMs: objective_ms * FULL_WAIT_FACTOR,
        reservedMs: computeReservedWaitMs(context),
    };
}

function getWaitLimitMs(
    choice: UnsentChoice,
    { noneMs, fullMs, restingMs, reservedMs }: WaitLimits,
): number {
    switch (choice.kind) {
        case "none":
        case "too-few-engines":
            return noneMs;
        case "full":
            return fullMs;
        case "resting":
            // A backoff longer than the wait is known in advance; the caller gets its end in Retry-After.
            return restingMs - choice.remainingMs;
        case "limited":
            // A send reserved for this entry is worth waiting for as long as the response is still in time.
            return (choice.isHeld ? reservedMs : restingMs) - choice.remainingMs;
    }
}
