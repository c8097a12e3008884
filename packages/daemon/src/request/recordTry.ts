/**
 * Notes what an ended try says of its upstream, and of the request.
 */
import type { RoutedRequestFunctions } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import type { RoutedRun } from "./routedRun.js";
import type { TryResult } from "./routedTry.js";

/**
 * Notes what the try says of the upstream, and whether the request may have run there.
 * @param run - the request
 * @param target - where the try went
 * @param result - how it ended
 * @param durationMs - how long it took
 * @param functions - the health of upstreams
 */
export function recordTry(
    run: RoutedRun,
    target: CallTarget,
    result: TryResult,
    durationMs: number,
    functions: RoutedRequestFunctions,
): void {
    const { upstreamId } = target;
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
            recordFailedTry(run, target, result, durationMs, functions);
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
