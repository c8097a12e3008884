/**
 * Notes what an ended try says of its upstream, and of the request.
 */
import type { CrashFunctions, RoutedRequestFunctions } from "./requestFunctions.js";
import { isFramed } from "./routedAnswer.js";
import type { CallTarget } from "./routedCall.js";
import type { RoutedRun } from "./routedRun.js";
import type { TryResult, WholeAnswer } from "./routedTry.js";

/** What the caller had of the answer when the try ended. */
export interface TryProgress {
    /** Whether this try gave a part of the answer. */
    readonly hadProgress: boolean;
    /** For how long it gave nothing more, in milliseconds. */
    readonly silentMs: number;
}

/**
 * Silence after which an upstream may have ended before whoever gave the try up: over three times the longest pause that a busy
 * engine makes.
 */
const SILENT_MS = 1_000;

/**
 * Notes what the try says of the upstream, and whether the request may have run there.
 * @param run - the request
 * @param target - where the try went
 * @param result - how it ended
 * @param durationMs - how long it took
 * @param progress - what the caller had of the answer
 * @param functions - the health of upstreams
 */
export function recordTry(
    run: RoutedRun,
    target: CallTarget,
    result: TryResult,
    durationMs: number,
    progress: TryProgress,
    functions: RoutedRequestFunctions,
): void {
    const { upstreamId } = target;
    recordCrash(run, target, result, progress, functions);
    const label = result.kind === "ended" ? `${result.end}(${result.reason})` : result.kind;
    run.steps.push(`${upstreamId}:${label}:${String(Math.round(durationMs))}ms`);
    switch (result.kind) {
        case "answered":
        case "streamed":
            functions.recordAnswer(upstreamId, durationMs, false);
            return;
        case "stopped":
            run.mayHaveRun = true;
            if (result.stop === "timeout") {
                functions.recordAnswer(upstreamId, durationMs, true);
            }
            return;
        case "ended":
            // A rest says nothing against an upstream, and what was kept back has met none.
            if (result.end !== "kept-back") {
                recordFailedTry(run, target, result, durationMs, functions);
            }
    }
}

function recordFailedTry(
    run: RoutedRun,
    target: CallTarget,
    result: Extract<TryResult, { kind: "ended"; }>,
    durationMs: number,
    functions: RoutedRequestFunctions,
): void {
    const { upstreamId } = target;
    const faultId = result.faultAddress === undefined ? undefined : functions.findIdAt(result.faultAddress);
    if (result.end === "declined" && isFault(result)) {
        functions.recordDecline(faultId ?? upstreamId, result.reason);
    }
    else if (faultId !== undefined && faultId !== upstreamId) {
        functions.suspect(faultId, result.reason);
    }
    else if (result.end === "not-sent" || result.end === "stalled") {
        functions.suspect(upstreamId, result.reason);
    }
    else if (result.end !== "left") {
        functions.recordAnswer(upstreamId, durationMs, true);
    }
    if (result.end !== "not-sent" && result.end !== "declined") {
        run.mayHaveRun = true;
        run.ranOn.add(upstreamId);
    }
}

/** Whether the answer names the engine that had no room, or that is gone. */
function isFault(result: Extract<TryResult, { kind: "ended"; }>): boolean {
    return result.faultAddress !== undefined;
}

/** Notes what the try says of the request: whether an upstream ended under it. */
function recordCrash(
    run: RoutedRun,
    target: CallTarget,
    result: TryResult,
    { hadProgress, silentMs }: TryProgress,
    { crashes, findIdAt }: RoutedRequestFunctions,
): void {
    const { upstreamId, stages = [] } = target;
    const passed = stages.length === 0 ? [upstreamId] : stages.map(({ engine }) => engine.id);
    const isSilent = silentMs >= SILENT_MS;
    switch (result.kind) {
        case "answered":
            recordRanWell(run, result.answer, crashes);
            return;
        case "streamed":
            crashes.recordRanWell(run.admitted);
            return;
        case "stopped":
            if (isSilent) {
                crashes.recordUnanswered(run, { upstreams: passed, hadProgress });
            }
            return;
        case "ended":
            break;
    }
    const fault = result.faultAddress === undefined ? undefined : findIdAt(result.faultAddress);
    switch (result.end) {
        case "not-sent":
        case "kept-back":
        case "declined":
            return;
        case "failed":
            recordRanWell(run, result.answer, crashes);
            return;
        case "stalled":
        case "left":
            crashes.recordUnanswered(run, { upstreams: fault === undefined ? passed : [fault], hadProgress });
            return;
        case "broken":
            run.hasCrash = true;
            if (passed.length > 1 && isSilent) {
                // The first engine cuts what stood still for a later one.
                crashes.recordUnanswered(run, { upstreams: passed, hadProgress });
            }
            else if (result.hasConnectionEnded === true) {
                crashes.recordCrash(run, upstreamId, hadProgress);
            }
    }
}

/** An answer that ends with its connection may have been cut by a crash. */
function recordRanWell(run: RoutedRun, answer: WholeAnswer | undefined, { recordRanWell }: CrashFunctions): void {
    if (answer !== undefined && isFramed(answer.head)) {
        recordRanWell(run.admitted);
    }
}
