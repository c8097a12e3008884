/**
 * Records what a finished attempt shows about its upstream and about the request.
 */
import type { UnansweredAttempt } from "../process/entry/crashTracker.js";
import type { RequestContext } from "./requestContext.js";
import type { CrashFunctions, RoutedRequestFunctions } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import { isSelfDelimited } from "./routedResponse.js";
import type { AttemptResult } from "./upstreamAttempt.js";

/** How far the response had come when the attempt ended. */
export interface AttemptProgress {
    /** Whether this attempt delivered a part of the response. */
    readonly hadProgress: boolean;
    /** Time from the first to the last part that it delivered, in milliseconds. */
    readonly outputMs: number;
    /** Time since its last output, in milliseconds. */
    readonly silentMs: number;
}

/**
 * Silence after which an upstream may have crashed before the attempt was aborted: more than three times the longest
 * pause of a busy engine.
 */
const SILENCE_THRESHOLD_MS = 1_000;

/**
 * Records the result for the upstream's health, and whether the request may have run there.
 * @param context - the request
 * @param target - the target of the attempt
 * @param result - the result of the attempt
 * @param durationMs - its duration, in milliseconds
 * @param progress - how far the response had come
 * @param functions - the health of upstreams
 */
export function recordAttempt(
    context: RequestContext,
    target: CallTarget,
    result: AttemptResult,
    durationMs: number,
    progress: AttemptProgress,
    functions: RoutedRequestFunctions,
): void {
    const { upstreamId } = target;
    recordCrash(context, target, result, progress, functions);
    const label = formatResult(result);
    const relay = functions.getRelay?.(target);
    const via = relay === undefined ? "" : `(via ${relay})`;
    if (result.kind !== "superseded") {
        context.lastAttemptEnd = result.kind === "ended" ? result.end : result.kind;
    }
    context.attemptLog.push(`${upstreamId}${via}:${label}:${String(Math.round(durationMs))}ms`);
    switch (result.kind) {
        case "answered":
        case "streamed":
            functions.recordAnswer(upstreamId, durationMs, false);
            return;
        case "stopped":
            context.mayHaveRun = true;
            if (result.stop === "timeout") {
                functions.recordAnswer(upstreamId, durationMs, true);
            }
            return;
        case "superseded":
            recordPossibleRun(context, upstreamId);
            return;
        case "ended":
            // A backoff is no failure of the upstream, and a withheld request never reached it.
            if (result.end !== "kept-back") {
                recordFailedAttempt(context, target, result, durationMs, functions);
            }
    }
}

function formatResult(result: AttemptResult): string {
    switch (result.kind) {
        case "ended":
            return `${result.end}(${result.reason})`;
        case "superseded":
            return `superseded(${result.reason})`;
        case "answered":
        case "streamed":
        case "stopped":
            return result.kind;
    }
}

function recordFailedAttempt(
    context: RequestContext,
    target: CallTarget,
    result: Extract<AttemptResult, { kind: "ended"; }>,
    durationMs: number,
    functions: RoutedRequestFunctions,
): void {
    const { upstreamId } = target;
    if (result.isLinkFault !== true) {
        recordFault(upstreamId, result, durationMs, functions);
    }
    if (result.end !== "not-sent" && result.end !== "declined") {
        recordPossibleRun(context, upstreamId);
    }
}

function recordFault(
    upstreamId: string,
    result: Extract<AttemptResult, { kind: "ended"; }>,
    durationMs: number,
    functions: RoutedRequestFunctions,
): void {
    const faultyId = result.faultAddress === undefined ? undefined : functions.findIdAt(result.faultAddress);
    if (result.end === "declined" && namesFaultyEngine(result)) {
        functions.recordDecline(faultyId ?? upstreamId, result.reason);
    }
    else if (faultyId !== undefined && faultyId !== upstreamId) {
        functions.suspect(faultyId, result.reason);
    }
    else if (result.end === "not-sent" || result.end === "stalled") {
        functions.suspect(upstreamId, result.reason);
    }
    else {
        functions.recordAnswer(upstreamId, durationMs, true);
    }
}

function recordPossibleRun(context: RequestContext, upstreamId: string): void {
    context.mayHaveRun = true;
    context.mayHaveRunOn.add(upstreamId);
}

/** Whether the response names the engine that has no capacity or is gone. */
function namesFaultyEngine(result: Extract<AttemptResult, { kind: "ended"; }>): boolean {
    return result.faultAddress !== undefined;
}

/** Records whether an upstream crashed while it ran the request. */
function recordCrash(
    context: RequestContext,
    target: CallTarget,
    result: AttemptResult,
    { hadProgress, outputMs, silentMs }: AttemptProgress,
    { crashes, findIdAt, getRelay }: RoutedRequestFunctions,
): void {
    const { upstreamId, stages = [] } = target;
    const passed = stages.length === 0 ? [upstreamId] : stages.map(({ engine }) => engine.id);
    const isSilent = silentMs >= SILENCE_THRESHOLD_MS;
    const output = { hadProgress, outputMs };
    // A buffered response counts as progress once it has arrived.
    const response = { ...output, hadProgress: true };
    switch (result.kind) {
        case "answered":
            recordEnd(context, { upstreams: passed, ...response }, isSelfDelimited(result.response.head), crashes);
            return;
        case "streamed":
            recordEnd(context, { upstreams: passed, ...output }, result.isSelfDelimited, crashes);
            return;
        case "stopped":
        case "superseded":
            if (isSilent) {
                crashes.recordUnanswered(context, { upstreams: passed, ...output });
            }
            return;
        case "ended":
            break;
    }
    const faultyId = result.faultAddress === undefined ? undefined : findIdAt(result.faultAddress);
    switch (result.end) {
        case "not-sent":
        case "kept-back":
        case "declined":
            return;
        case "failed":
            if (result.response !== undefined) {
                recordEnd(context, { upstreams: passed, ...response }, isSelfDelimited(result.response.head), crashes);
            }
            return;
        case "stalled":
            crashes.recordUnanswered(context, { upstreams: faultyId === undefined ? passed : [faultyId], ...output });
            return;
        case "broken":
            context.hasCrash = true;
            if (passed.length > 1 && isSilent) {
                // The first engine also closes connections of requests that stalled at a later engine.
                crashes.recordUnanswered(context, { upstreams: passed, ...output });
            }
            else if (result.hasConnectionEnded === true) {
                crashes.recordCrash(context, upstreamId, output, getRelay?.(target) !== undefined);
            }
    }
}

/** A close-delimited response may have been truncated by a crash. */
function recordEnd(
    context: RequestContext,
    ended: UnansweredAttempt,
    hasDeclaredEnd: boolean,
    { recordSuccess, recordUnconfirmed }: CrashFunctions,
): void {
    if (hasDeclaredEnd) {
        recordSuccess(context.admitted);
    }
    else {
        recordUnconfirmed(context, ended);
    }
}
