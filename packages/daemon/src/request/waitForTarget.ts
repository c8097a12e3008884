/**
 * How long a routed request waits where nothing can take it now, and what keeps it from waiting at all.
 */
import { waitMs } from "../process/waitMs.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import type { StreamRelay } from "./streamRelay.js";

/**
 * Part of the time left for which a request waits where nothing can take it now: an engine that is lost is replaced,
 * and a leader elected, in that time. A caller with little time is better sent away at once.
 */
const WAIT_FACTOR = 0.1;
/** A second and a half: the usual time to load a lost part anew, and more than an election takes. */
const MAX_WAIT_MS = 1_800;
/**
 * Part of the objective for which a new request waits where all paths are full: a path ends a request every 50 ms or so,
 * and what is let in then is still answered in time.
 */
const FULL_WAIT_FACTOR = 0.15;
/**
 * The same for a caller that is back after a refusal. It is late already, would not come a third time, and stays for four
 * objectives: being served late is better for it than not at all.
 */
const RETRY_WAIT_FACTOR = 2.5;
/** Part of the objective for which a request waits for a send that is held here; the rest of it is for the answer. */
const RESERVED_WAIT_FACTOR = 0.3;
/** Between two looks whether something can take a waiting request. */
export const TARGET_POLL_MS = 40;

/**
 * Computes how long a request may wait for something that can take it.
 * @param remainingMs - its time until the deadline
 * @returns milliseconds
 */
export function computeMaxWaitMs(remainingMs: number): number {
    return Math.max(0, Math.min(MAX_WAIT_MS, remainingMs * WAIT_FACTOR));
}

/**
 * Computes how long a request may wait for a send that is held for it.
 * @param run - the request
 * @returns milliseconds
 */
export function computeReservedWaitMs({ admitted, remainingMs: leftMs }: RequestContext): number {
    return Math.min(admitted.route.objective_ms * RESERVED_WAIT_FACTOR, computeMaxWaitMs(leftMs));
}

/**
 * Tells whether the key of a request may still be used.
 * @param run - the request
 * @param functions - the lease on the configuration
 * @returns true also where it needs none
 */
export function isKeyUsable({ admitted }: RequestContext, functions: RoutedRequestFunctions): boolean {
    return admitted.organisation === undefined || functions.isKeyUsable();
}

/**
 * Tells whether a request is held, since upstreams ended whenever they ran it; such a one does not wait for a path first.
 * @param context - the request
 * @param functions - what is known of crashes
 * @returns false for a trial of it
 */
export function isQuarantined(context: RequestContext, { crashes }: RoutedRequestFunctions): boolean {
    return !context.isTrial && crashes.isQuarantined(context.admitted);
}

/**
 * Chooses a target, and waits for one as long as that may help.
 * @param context - the request
 * @param relay - its stream, where it is answered by one
 * @param functions - the choice and the clock
 * @returns the target, or why there is none
 */
export async function waitForTarget(
    context: RequestContext,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<TargetChoice> {
    const startMs = functions.getNowMs();
    const waitLimits = computeWaitLimits(context);
    const choose = (): TargetChoice =>
        functions.chooseTarget(context, relay?.lastEventId, (relay?.eventCount ?? 0) > 0);
    let choice = choose();
    while (choice.kind !== "target" && context.stopReason === undefined) {
        if (
            choice.kind === "too-few-engines" || isQuarantined(context, functions) || !isKeyUsable(context, functions)
        ) {
            return choice;
        }
        if (functions.getNowMs() - startMs >= getWaitLimitMs(choice, waitLimits)) {
            return choice;
        }
        await waitMs(TARGET_POLL_MS);
        choice = choose();
    }
    return choice;
}

/** For how long a request waits, by what keeps it from being sent; in milliseconds. */
interface WaitLimits {
    readonly noneMs: number;
    readonly fullMs: number;
    readonly restingMs: number;
    /** For a send that is held here for later. */
    readonly reservedMs: number;
}

function computeWaitLimits(context: RequestContext): WaitLimits {
    const { objective_ms } = context.admitted.route;
    return {
        noneMs: computeMaxWaitMs(context.remainingMs),
        fullMs: objective_ms * (context.isLikelyRetry ? RETRY_WAIT_FACTOR : FULL_WAIT_FACTOR),
        // Whoever is back has been told when there is room, so it waits no longer than others.
        restingMs: objective_ms * FULL_WAIT_FACTOR,
        reservedMs: computeReservedWaitMs(context),
    };
}

function getWaitLimitMs(
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    { noneMs, fullMs, restingMs, reservedMs }: WaitLimits,
): number {
    switch (choice.kind) {
        case "none":
        case "too-few-engines":
            return noneMs;
        case "full":
            return fullMs;
        case "resting":
            // A rest that outlasts the wait is known at once; its caller is told when to come back.
            return restingMs - choice.leftMs;
        case "limited":
            // A send that is held here for later is worth waiting for, as long as the answer is still in time.
            return (choice.isHeld ? reservedMs : restingMs) - choice.leftMs;
    }
}
