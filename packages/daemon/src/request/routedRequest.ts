/**
 * One routed request from its admission to its answer: tries at upstreams, one after another, until one gives a whole
 * answer or the decision is to stop.
 */
import { chooseNextStep, computeStreamResumeWindowMs, type NextStep } from "@crankfork/decisions";
import type { Route } from "@crankfork/schemas";
import { waitMs } from "../process/waitMs.js";
import { recordTry } from "./recordTry.js";
import { endStopped, getNotRunRefusal, handOn, refuseChoice, type RequestEnd, sendRefusal } from "./refuseRequest.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import { chooseTargetPatiently, computePatienceMs, isHeldNow, mayUseKey, PATIENCE_POLL_MS } from "./requestPatience.js";
import type { RoutedAnswer } from "./routedAnswer.js";
import type { CallTarget } from "./routedCall.js";
import type { RoutedRun } from "./routedRun.js";
import { runTry, type TryResult } from "./routedTry.js";
import { StreamRelay } from "./streamRelay.js";
import { startWatch, type TryWatch } from "./tryWatch.js";

/** Tries that follow each other at once; more would only use up the budget while the engines' memory is full. */
const TRIES_AT_ONCE = 2;
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
        run.stopIfLate();
        const choice = await chooseTargetPatiently(run, relay, functions);
        // Looked at right before the send: while a request waits for a path, others like it may have ended three upstreams.
        if (run.stopReason === undefined && await holdBack(run, choice, functions)) {
            return sendRefusal(run, answer, run.mayHaveRun ? "held-after-run" : "held");
        }
        if (run.stopReason !== undefined) {
            return endStopped(run, answer, run.stopReason);
        }
        // Its lease may have run out while the request waited for a path, 1.8 s at most.
        if (!mayUseKey(run, functions)) {
            return sendRefusal(run, answer, run.mayHaveRun ? "upstream-failed" : "not-confirmed");
        }
        if (choice.kind !== "target") {
            return refuseChoice(run, answer, choice, functions);
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
                const end = await applyNextStep(run, answer, relay, result, functions);
                if (end !== undefined) {
                    return end;
                }
            }
        }
    }
}

/**
 * A request that ended every upstream that ran it is not sent on: it would end one after another, and all others that run there
 * would lose their runs with each.
 * Resolves to false where it is free, or goes as a trial.
 */
async function holdBack(run: RoutedRun, choice: TargetChoice, functions: RoutedRequestFunctions): Promise<boolean> {
    if (!isHeldNow(run, functions)) {
        return false;
    }
    run.hasCrash = true;
    // A trial is claimed only where it can be sent: there are two.
    run.isTrial = choice.kind === "target" && !run.mayHaveRun && await functions.crashes.claimTrial(run.admitted);
    return !run.isTrial;
}

async function tryTarget(
    run: RoutedRun,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<TryResult> {
    const startMs = functions.getNowMs();
    const eventsBefore = relay?.count ?? 0;
    const { notices } = functions;
    run.tries += 1;
    run.tried.add(target.upstreamId);
    functions.recordStart(target.upstreamId);
    const recordStarted = createOnce(() => {
        functions.recordStarted(target.upstreamId);
    });
    const recordOutcome = createOnce((isServed: boolean) => {
        notices.recordOutcome(target, isServed);
    });
    let watch: TryWatch | undefined;
    const result = await runTry({
        connections: functions.getConnections(target),
        codec: functions.codec,
        run,
        target,
        notices,
        getNowMs: functions.getNowMs,
        sink: relay?.createSink(() => {
            recordStarted();
            recordOutcome(true);
            watch?.recordEvent();
        }),
        handleStart: (giveUp) => {
            watch = startWatch(run, target, relay, functions, giveUp);
        },
    });
    watch?.stop();
    recordStarted();
    if (result.kind === "ended" && result.end === "kept-back") {
        // Nothing was sent, so it is no try.
        run.tries -= 1;
    }
    else {
        recordOutcome(result.kind === "answered" || result.kind === "streamed");
    }
    functions.recordEnd(target.upstreamId);
    const durationMs = functions.getNowMs() - startMs;
    const hadProgress = (relay?.count ?? 0) > eventsBefore;
    const silentMs = hadProgress && relay !== undefined ? relay.sinceEventMs : durationMs;
    recordTry(run, target, result, durationMs, { hadProgress, silentMs }, functions);
    return result;
}

function createOnce<Arguments extends readonly unknown[]>(
    run: (...some: Arguments) => void,
): (...some: Arguments) => void {
    let isDone = false;
    return (...some) => {
        if (!isDone) {
            isDone = true;
            run(...some);
        }
    };
}

/** How a try ended, and where the next one could go. */
interface EndedTry {
    readonly result: Extract<TryResult, { kind: "ended"; }>;
    readonly choice: TargetChoice;
}

async function applyNextStep(
    run: RoutedRun,
    answer: RoutedAnswer,
    relay: StreamRelay | undefined,
    result: Extract<TryResult, { kind: "ended"; }>,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd | undefined> {
    const lookAhead = (): TargetChoice => functions.chooseTarget(run, undefined, true);
    let choice = lookAhead();
    let step = chooseStep(run, answer, relay, { result, choice }, functions);
    while (step.kind === "wait") {
        await waitMs(PATIENCE_POLL_MS);
        if (run.stopReason !== undefined) {
            return endStopped(run, answer, run.stopReason);
        }
        choice = lookAhead();
        step = chooseStep(run, answer, relay, { result, choice }, functions);
    }
    switch (step.kind) {
        case "try-again":
            functions.record("try-again", {
                request: run.admitted.call.requestId,
                after: result.end,
                reason: result.reason,
                tries: run.tries,
                left_ms: Math.round(run.leftMs),
            });
            if (result.end === "declined" && run.tries >= TRIES_AT_ONCE) {
                await waitMs(PATIENCE_POLL_MS);
            }
            return undefined;
        case "hand-on":
            return handOn(run, answer, { whole: result.answer, choice }, functions);
        case "refuse":
            return isBound(choice)
                ? refuseChoice(run, answer, choice, functions)
                : sendRefusal(run, answer, getNotRunRefusal(result.end, step.hasFreeUpstream));
        case "fail":
            return sendRefusal(run, answer, "upstream-failed");
    }
}

function chooseStep(
    run: RoutedRun,
    answer: RoutedAnswer,
    relay: StreamRelay | undefined,
    { result, choice }: EndedTry,
    functions: RoutedRequestFunctions,
): NextStep {
    const { service, route } = run.admitted;
    const isUnderWay = relay !== undefined && relay.count > 0;
    return chooseNextStep({
        outcome: result.end,
        isRepeatable: route.is_repeatable,
        mayHaveRun: run.mayHaveRun,
        executions: countLivingRuns(run, functions),
        attempts: run.tries,
        maxExecutions: route.most_attempts,
        remainingMs: run.leftMs,
        // A trial is one send.
        hasAlternative: !run.isTrial && choice.kind === "target",
        streamGraceMs: isUnderWay && !run.isTrial ? computeGraceMs(route, relay) : 0,
        // Where all that is left rests or takes no more, nothing will take it sooner than its caller is told.
        maxQueueMs: isUnderWay || run.isTrial || service.engine === undefined || isBound(choice)
            ? 0
            : computePatienceMs(run.leftMs + run.ageMs) - run.ageMs,
        claimRetry: () => functions.claimRepeat(service.name, answer.isBegun),
    });
}

/** Whether upstreams' own notices keep a request from being sent. */
function isBound(choice: TargetChoice): choice is Extract<TargetChoice, { kind: "resting" | "limited"; }> {
    return choice.kind === "resting" || choice.kind === "limited";
}

function computeGraceMs(route: Route, relay: StreamRelay): number {
    const contract = { objectiveMs: route.objective_ms, pauseMs: route.pause_objective_ms };
    return computeStreamResumeWindowMs(contract) - relay.sinceEventMs;
}

/**
 * A run on an upstream that has ended meanwhile can't give an answer, and does not count against the route's limit. One
 * that is merely suspected still counts.
 */
function countLivingRuns(run: RoutedRun, functions: RoutedRequestFunctions): number {
    return [...run.ranOn].filter((id) => !functions.hasEnded(id)).length;
}
