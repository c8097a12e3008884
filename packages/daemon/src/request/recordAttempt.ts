/**
 * Notes what an ended try says of its upstream, and of the request.
 */
import type { RequestContext } from "./requestContext.js";
import type { CrashFunctions, RoutedRequestFunctions } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import { isSelfDelimited } from "./routedResponse.js";
import type { AttemptResult, BufferedResponse } from "./upstreamAttempt.js";

/** What the caller had of the answer when the try ended. */
export interface AttemptProgress {
    /** Whether this try gave a part of the answer. */
    readonly hadProgress: boolean;
    /** For how long it gave nothing more, in milliseconds. */
    readonly silentMs: number;
}

/**
 * Silence after which an upstream may have ended before whoever gave the try up: over three times the longest pause that a busy
 * engine makes.
 */
const SILENCE_THRESHOLD_MS = 1_000;

/**
 * Notes what the try says of the upstream, and whether the request may have run there.
 * @param context - the request
 * @param target - where the try went
 * @param result - how it ended
 * @param durationMs - how long it took
 * @param progress - what the caller had of the answer
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
    const label = result.kind === "ended" ? `${result.end}(${result.reason})` : result.kind;
    context.attemptLog.push(`${upstreamId}:${label}:${String(Math.round(durationMs))}ms`);
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
        case "ended":
            // A rest says nothing against an upstream, and what was kept back has met none.
            if (result.end !== "kept-back") {
                recordFailedAttempt(context, target, result, durationMs, functions);
            }
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
    else if (result.end !== "left") {
        functions.recordAnswer(upstreamId, durationMs, true);
    }
    if (result.end !== "not-sent" && result.end !== "declined") {
        context.mayHaveRun = true;
        context.mayHaveRunOn.add(upstreamId);
    }
}

/** Whether the answer names the engine that had no room, or that is gone. */
function namesFaultyEngine(result: Extract<AttemptResult, { kind: "ended"; }>): boolean {
    return result.faultAddress !== undefined;
}

/** Notes what the try says of the request: whether an upstream ended under it. */
function recordCrash(
    context: RequestContext,
    target: CallTarget,
    result: AttemptResult,
    { hadProgress, silentMs }: AttemptProgress,
    { crashes, findIdAt }: RoutedRequestFunctions,
): void {
    const { upstreamId, stages = [] } = target;
    const passed = stages.length === 0 ? [upstreamId] : stages.map(({ engine }) => engine.id);
    const isSilent = silentMs >= SILENCE_THRESHOLD_MS;
    switch (result.kind) {
        case "answered":
            recordSuccess(context, result.response, crashes);
            return;
        case "streamed":
            crashes.recordSuccess(context.admitted);
            return;
        case "stopped":
            if (isSilent) {
                crashes.recordUnanswered(context, { upstreams: passed, hadProgress });
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
            recordSuccess(context, result.answer, crashes);
            return;
        case "stalled":
        case "left":
            crashes.recordUnanswered(context, { upstreams: faultyId === undefined ? passed : [faultyId], hadProgress });
            return;
        case "broken":
            context.hasCrash = true;
            if (passed.length > 1 && isSilent) {
                // The first engine cuts what stood still for a later one.
                crashes.recordUnanswered(context, { upstreams: passed, hadProgress });
            }
            else if (result.hasConnectionEnded === true) {
                crashes.recordCrash(context, upstreamId, hadProgress);
            }
    }
}

/** An answer that ends with its connection may have been cut by a crash. */
function recordSuccess(
    context: RequestContext,
    response: BufferedResponse | undefined,
    { recordSuccess: recordRanWell }: CrashFunctions,
): void {
    if (response !== undefined && isSelfDelimited(response.head)) {
        recordRanWell(context.admitted);
    }
}
