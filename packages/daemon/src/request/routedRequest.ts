/**
 * One routed request from its admission to its answer: tries at upstreams, one after another, until one gives a whole
 * answer or the decision is to stop.
 */
import { chooseNextStep, type TryEnd } from "@crankfork/decisions";
import type { Agent } from "undici";
import type { EventFields } from "../process/eventLog.js";
import type { LeavePath, StreamPulse } from "../process/pathPulse.js";
import { waitMs } from "../process/waitMs.js";
import { recordTry } from "./recordTry.js";
import type { RoutedAnswer } from "./routedAnswer.js";
import type { CallCodec, CallTarget } from "./routedCall.js";
import { type RefusalId, refusals } from "./routedRefusal.js";
import type { RoutedRun, RunStop } from "./routedRun.js";
import { runTry, type TryResult, type WholeAnswer } from "./routedTry.js";
import { StreamRelay } from "./streamRelay.js";
import { startWatch, type TryWatch } from "./tryWatch.js";

/** What an engine's report says of a request that makes no progress. */
export type StallAnswer =
    | { readonly kind: "moving"; }
    | { readonly kind: "stalled"; readonly faultAddress: string | undefined; }
    /** The first engine of the path gave no report. */
    | { readonly kind: "unreachable"; };

/** Where a try may go. */
export type TargetChoice =
    | { readonly kind: "target"; readonly target: CallTarget; }
    /** Nothing there can take the request. */
    | { readonly kind: "none"; }
    /** What is there has no room. */
    | { readonly kind: "full"; };

/** What a request needs from the process. */
export interface RoutedRequestFunctions {
    readonly agent: Agent;
    readonly codec: CallCodec;
    readonly getNowMs: () => number;
    readonly chooseTarget: (run: RoutedRun, lastEventId: string | undefined, isUnderWay: boolean) => TargetChoice;
    /** Whether the key of the request may still be used. */
    readonly mayUseKey: () => boolean;
    readonly recordStart: (id: string) => void;
    /** The request has its first token, or ended without one. */
    readonly recordStarted: (id: string) => void;
    readonly recordEnd: (id: string) => void;
    readonly recordAnswer: (id: string, durationMs: number, isFailure: boolean) => void;
    /** Leaves an upstream out for a while. */
    readonly suspect: (id: string, reason: string) => void;
    /** Passes an engine over that declined: it has no room, or it is gone. */
    readonly recordDecline: (id: string, reason: string) => void;
    readonly findIdAt: (address: string) => string | undefined;
    /** Draws on the budget of repeats; `isUnderWay` tells whether the caller has a part of its answer already. */
    readonly claimRepeat: (service: string, isUnderWay: boolean) => boolean;
    readonly askStall: (target: CallTarget, requestId: string) => Promise<StallAnswer>;
    /** Follows a stream on its path; `leave` is called where the path stands still. */
    readonly followPath: (target: CallTarget, pauseMs: number, leave: LeavePath) => StreamPulse;
    /** Whether a stream may leave its path for another; draws on the budget of repeats where it may. */
    readonly claimLeave: (run: RoutedRun, isUnderWay: boolean) => boolean;
    /** Whether an upstream has ended, or is cut off: it can't answer any more. */
    readonly hasEnded: (id: string) => boolean;
    readonly record: (event: string, fields: EventFields) => void;
}

/** How a request ended, for the log and the counters. */
export interface RequestEnd {
    readonly outcome: "answered" | "handed-on" | "refused" | "failed" | "broken-off" | "caller-left";
    readonly status: number | undefined;
    readonly refusal: RefusalId | undefined;
    /** When the first event of a stream was handed on, by the monotonic clock. */
    readonly firstMs?: number | undefined;
    readonly longestPauseMs?: number | undefined;
}

/**
 * Part of the time left for which a request waits where nothing can take it now: an engine that is lost is replaced,
 * and a leader elected, in that time. A caller with little time is better sent away at once.
 */
const PATIENCE_SHARE = 0.1;
/** A second and a half: the usual time to load a lost part anew, and more than an election takes. */
const MOST_PATIENCE_MS = 1_800;
/**
 * Part of the objective for which a new request waits where all paths are full: a path ends a request every 50 ms or so,
 * and what is let in then is still answered in time.
 */
const FULL_PATIENCE_SHARE = 0.15;
/**
 * The same for a caller that is back after a refusal. It is late already, would not come a third time, and stays for four
 * objectives: being served late is better for it than not at all. Seven plays: 0.579 to 0.628 of their worth on average.
 */
const BACK_PATIENCE_SHARE = 2.5;
/** Between two looks whether something can take a waiting request. */
export const PATIENCE_POLL_MS = 40;

/**
 * Computes how long a request may wait for something that can take it.
 * @param leftMs - its time until the deadline
 * @returns milliseconds
 */
export function computePatienceMs(leftMs: number): number {
    return Math.max(0, Math.min(MOST_PATIENCE_MS, leftMs * PATIENCE_SHARE));
}

/**
 * Runs a request to its end.
 * @param run - the request
 * @param answer - where its answer goes
 * @param functions - upstreams, budgets and clock
 * @returns how it ended; never rejects
 */
export async function handleRoutedRequest(
    run: RoutedRun,
    answer: RoutedAnswer,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd> {
    const { call, route } = run.admitted;
    const relay = route.kind === "stream"
        ? new StreamRelay(answer, call.lastEventId, functions.getNowMs)
        : undefined;
    const end = await runTries(run, answer, relay, functions);
    return relay === undefined ? end : { ...end, firstMs: relay.firstMs, longestPauseMs: relay.longestPauseMs };
}

async function runTries(
    run: RoutedRun,
    answer: RoutedAnswer,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd> {
    for (;;) {
        if (run.admitted.organisation !== undefined && !functions.mayUseKey()) {
            return sendRefusal(run, answer, run.mayHaveRun ? "upstream-failed" : "not-confirmed");
        }
        const choice = await chooseTargetPatiently(run, relay, functions);
        if (run.stopReason !== undefined) {
            return endStopped(run, answer, run.stopReason);
        }
        if (choice.kind !== "target") {
            const refusal = choice.kind === "full" ? "full" : "no-upstream";
            return sendRefusal(run, answer, run.mayHaveRun ? "upstream-failed" : refusal);
        }
        const { target } = choice;
        const result = await tryTarget(run, target, relay, functions);
        switch (result.kind) {
            case "answered":
                answer.sendWhole(result.answer);
                return { outcome: "answered", status: result.answer.head.status, refusal: undefined };
            case "streamed":
                answer.endStream();
                return { outcome: "answered", status: 200, refusal: undefined };
            case "stopped":
                return endStopped(run, answer, result.stop);
            case "ended": {
                const end = applyNextStep(run, answer, result, functions);
                if (end !== undefined) {
                    return end;
                }
            }
        }
    }
}

function endStopped(run: RoutedRun, answer: RoutedAnswer, stop: RunStop): RequestEnd {
    return stop === "caller-left"
        ? { outcome: "caller-left", status: undefined, refusal: undefined }
        : sendRefusal(run, answer, run.mayHaveRun ? "timeout" : "timeout-not-run");
}

async function chooseTargetPatiently(
    run: RoutedRun,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<TargetChoice> {
    const startMs = functions.getNowMs();
    const noneMs = computePatienceMs(run.leftMs);
    const fullMs = run.admitted.route.objective_ms * (run.isBack ? BACK_PATIENCE_SHARE : FULL_PATIENCE_SHARE);
    const choose = (): TargetChoice => functions.chooseTarget(run, relay?.lastEventId, (relay?.count ?? 0) > 0);
    let choice = choose();
    while (choice.kind !== "target" && run.stopReason === undefined) {
        if (functions.getNowMs() - startMs >= (choice.kind === "full" ? fullMs : noneMs)) {
            return choice;
        }
        await waitMs(PATIENCE_POLL_MS);
        choice = choose();
    }
    return choice;
}

async function tryTarget(
    run: RoutedRun,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<TryResult> {
    const startMs = functions.getNowMs();
    run.tries += 1;
    run.tried.add(target.upstreamId);
    functions.recordStart(target.upstreamId);
    const recordStarted = createOnce(() => {
        functions.recordStarted(target.upstreamId);
    });
    let watch: TryWatch | undefined;
    const result = await runTry({
        agent: functions.agent,
        codec: functions.codec,
        run,
        target,
        sink: relay?.createSink(() => {
            recordStarted();
            watch?.recordEvent();
        }),
        handleStart: (giveUp) => {
            watch = startWatch(run, target, relay, functions, giveUp);
        },
    });
    watch?.stop();
    recordStarted();
    functions.recordEnd(target.upstreamId);
    recordTry(run, target, result, functions.getNowMs() - startMs, functions);
    return result;
}

function createOnce(run: () => void): () => void {
    let isDone = false;
    return () => {
        if (!isDone) {
            isDone = true;
            run();
        }
    };
}

function applyNextStep(
    run: RoutedRun,
    answer: RoutedAnswer,
    result: Extract<TryResult, { kind: "ended"; }>,
    functions: RoutedRequestFunctions,
): RequestEnd | undefined {
    const { service, route } = run.admitted;
    const step = chooseNextStep({
        end: result.end,
        isRepeatable: route.is_repeatable,
        mayHaveRun: run.mayHaveRun,
        runs: countLivingRuns(run, functions),
        tries: run.tries,
        mostAttempts: route.most_attempts,
        leftMs: run.leftMs,
        hasAlternative: functions.chooseTarget(run, undefined, true).kind === "target",
        claimRepeat: () => functions.claimRepeat(service.name, answer.isBegun),
    });
    switch (step.kind) {
        case "try-again":
            functions.record("try-again", {
                request: run.admitted.call.requestId,
                after: result.end,
                reason: result.reason,
                tries: run.tries,
                left_ms: Math.round(run.leftMs),
            });
            return undefined;
        case "hand-on":
            return handOn(run, answer, result.answer);
        case "refuse":
            return sendRefusal(run, answer, getNotRunRefusal(result.end));
        case "fail":
            return sendRefusal(run, answer, "upstream-failed");
    }
}

/**
 * A run on an upstream that has ended meanwhile can't give an answer, and does not count against the route's limit. One
 * that is merely suspected still counts.
 */
function countLivingRuns(run: RoutedRun, functions: RoutedRequestFunctions): number {
    return [...run.ranOn].filter((id) => !functions.hasEnded(id)).length;
}

function getNotRunRefusal(end: TryEnd): RefusalId {
    return end === "declined" ? "declined" : "no-upstream";
}

function handOn(run: RoutedRun, answer: RoutedAnswer, whole: WholeAnswer | undefined): RequestEnd {
    if (whole === undefined || answer.isBegun) {
        return sendRefusal(run, answer, "upstream-failed");
    }
    answer.sendWhole(whole);
    return { outcome: "handed-on", status: whole.head.status, refusal: undefined };
}

function sendRefusal(run: RoutedRun, answer: RoutedAnswer, id: RefusalId): RequestEnd {
    if (answer.isBegun) {
        answer.breakOff();
        return { outcome: "broken-off", status: undefined, refusal: id };
    }
    answer.sendRefusal(run.admitted.call, refusals[id], run.leftMs);
    return { outcome: run.mayHaveRun ? "failed" : "refused", status: refusals[id].status, refusal: id };
}
