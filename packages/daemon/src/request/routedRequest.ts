/**
 * One routed request from its admission to its answer: tries at upstreams, one after another, until one gives a whole
 * answer or the decision is to stop.
 */
import { chooseNextStep, computeStreamPatienceMs, type NextStep, type TryEnd } from "@crankfork/decisions";
import type { Route } from "@crankfork/schemas";
import { waitMs } from "../process/waitMs.js";
import { recordTry } from "./recordTry.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import type { RoutedAnswer } from "./routedAnswer.js";
import type { CallTarget } from "./routedCall.js";
import { type RefusalId, refusals } from "./routedRefusal.js";
import type { RoutedRun, RunStop } from "./routedRun.js";
import { runTry, type TryResult, type WholeAnswer } from "./routedTry.js";
import { StreamRelay } from "./streamRelay.js";
import { startWatch, type TryWatch } from "./tryWatch.js";

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
 * objectives: being served late is better for it than not at all. Requests refused for good: 2.4 in 100 without, 1.0 with
 * it (mean of seven loaded days with faults).
 */
const BACK_PATIENCE_SHARE = 2.5;
/** Tries that follow each other at once; more would only use up the budget while the engines' memory is full. */
const TRIES_AT_ONCE = 2;
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
 * A request that ended every upstream that ran it is not sent on: 27 upstreams ended under one within a day, and 30 others lost
 * their run with each (`crashingRequest.test.ts`: 40 sends later than 3 s after the third crash without this, 3 at most with it).
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

function mayUseKey({ admitted }: RoutedRun, functions: RoutedRequestFunctions): boolean {
    return admitted.organisation === undefined || functions.mayUseKey();
}

/** A request that is held does not wait for a path first. */
function isHeldNow(run: RoutedRun, { crashes }: RoutedRequestFunctions): boolean {
    return !run.isTrial && crashes.isHeld(run.admitted);
}

/** What a caller is told where nothing can take its request. */
const choiceRefusals: Readonly<Record<Exclude<TargetChoice["kind"], "target">, RefusalId>> = {
    "none": "no-upstream",
    "too-few-engines": "too-few-engines",
    "full": "full",
    "resting": "resting",
};

function refuseChoice(
    run: RoutedRun,
    answer: RoutedAnswer,
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (run.mayHaveRun) {
        return sendRefusal(run, answer, "upstream-failed");
    }
    if (choice.kind !== "resting") {
        return sendRefusal(run, answer, choiceRefusals[choice.kind]);
    }
    run.restingUpstreams = choice.upstreams;
    return sendRefusal(run, answer, "resting", functions.words.computeReturnMs(run.admitted.service, choice.leftMs));
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
    const patience = computePatience(run);
    const choose = (): TargetChoice => functions.chooseTarget(run, relay?.lastEventId, (relay?.count ?? 0) > 0);
    let choice = choose();
    while (choice.kind !== "target" && run.stopReason === undefined) {
        if (choice.kind === "too-few-engines" || isHeldNow(run, functions) || !mayUseKey(run, functions)) {
            return choice;
        }
        if (functions.getNowMs() - startMs >= getPatienceMs(choice, patience)) {
            return choice;
        }
        await waitMs(PATIENCE_POLL_MS);
        choice = choose();
    }
    return choice;
}

/** For how long a request waits, by what keeps it from being sent; in milliseconds. */
interface Patience {
    readonly noneMs: number;
    readonly fullMs: number;
    readonly restingMs: number;
}

function computePatience(run: RoutedRun): Patience {
    const { objective_ms } = run.admitted.route;
    return {
        noneMs: computePatienceMs(run.leftMs),
        fullMs: objective_ms * (run.isBack ? BACK_PATIENCE_SHARE : FULL_PATIENCE_SHARE),
        // Whoever is back has been told when there is room, so it waits no longer than others.
        restingMs: objective_ms * FULL_PATIENCE_SHARE,
    };
}

function getPatienceMs(
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    { noneMs, fullMs, restingMs }: Patience,
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
    }
}

async function tryTarget(
    run: RoutedRun,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<TryResult> {
    const startMs = functions.getNowMs();
    const eventsBefore = relay?.count ?? 0;
    const { words } = functions;
    run.tries += 1;
    run.tried.add(target.upstreamId);
    functions.recordStart(target.upstreamId);
    const recordStarted = createOnce(() => {
        functions.recordStarted(target.upstreamId);
    });
    const recordOutcome = createOnce((isServed: boolean) => {
        words.recordOutcome(target, isServed);
    });
    let watch: TryWatch | undefined;
    const result = await runTry({
        connections: functions.getConnections(target),
        codec: functions.codec,
        run,
        target,
        words,
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

async function applyNextStep(
    run: RoutedRun,
    answer: RoutedAnswer,
    relay: StreamRelay | undefined,
    result: Extract<TryResult, { kind: "ended"; }>,
    functions: RoutedRequestFunctions,
): Promise<RequestEnd | undefined> {
    let step = chooseStep(run, answer, relay, result, functions);
    while (step.kind === "wait") {
        await waitMs(PATIENCE_POLL_MS);
        if (run.stopReason !== undefined) {
            return endStopped(run, answer, run.stopReason);
        }
        step = chooseStep(run, answer, relay, result, functions);
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
            return handOn(run, answer, result.answer, functions);
        case "refuse": {
            const choice = functions.chooseTarget(run, undefined, true);
            return choice.kind === "resting"
                ? refuseChoice(run, answer, choice, functions)
                : sendRefusal(run, answer, getNotRunRefusal(result.end, step.isPathFree));
        }
        case "fail":
            return sendRefusal(run, answer, "upstream-failed");
    }
}

function chooseStep(
    run: RoutedRun,
    answer: RoutedAnswer,
    relay: StreamRelay | undefined,
    result: Extract<TryResult, { kind: "ended"; }>,
    functions: RoutedRequestFunctions,
): NextStep {
    const { service, route } = run.admitted;
    const isUnderWay = relay !== undefined && relay.count > 0;
    const next = functions.chooseTarget(run, undefined, true);
    return chooseNextStep({
        end: result.end,
        isRepeatable: route.is_repeatable,
        mayHaveRun: run.mayHaveRun,
        runs: countLivingRuns(run, functions),
        tries: run.tries,
        mostAttempts: route.most_attempts,
        leftMs: run.leftMs,
        // A trial is one send.
        hasAlternative: !run.isTrial && next.kind === "target",
        graceMs: isUnderWay && !run.isTrial ? computeGraceMs(route, relay) : 0,
        // Where all that is left rests, nothing will take it before the first rest ends; its caller is told when.
        patienceMs: isUnderWay || run.isTrial || service.engine === undefined || next.kind === "resting"
            ? 0
            : computePatienceMs(run.leftMs + run.ageMs) - run.ageMs,
        claimRepeat: () => functions.claimRepeat(service.name, answer.isBegun),
    });
}

function computeGraceMs(route: Route, relay: StreamRelay): number {
    const contract = { objectiveMs: route.objective_ms, pauseMs: route.pause_objective_ms };
    return computeStreamPatienceMs(contract) - relay.sinceEventMs;
}

/**
 * A run on an upstream that has ended meanwhile can't give an answer, and does not count against the route's limit. One
 * that is merely suspected still counts.
 */
function countLivingRuns(run: RoutedRun, functions: RoutedRequestFunctions): number {
    return [...run.ranOn].filter((id) => !functions.hasEnded(id)).length;
}

function getNotRunRefusal(end: TryEnd, isPathFree: boolean): RefusalId {
    if (isPathFree) {
        return "no-repeat-left";
    }
    return end === "declined" ? "declined" : "no-upstream";
}

function handOn(
    run: RoutedRun,
    answer: RoutedAnswer,
    whole: WholeAnswer | undefined,
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (whole === undefined || answer.isBegun) {
        return sendRefusal(run, answer, "upstream-failed");
    }
    if (functions.codec.readWord(whole.head).rest.kind === "none") {
        answer.sendWhole(whole);
    }
    else {
        // The upstream's rest was meant for this instance: others may serve the caller at once.
        const choice = functions.chooseTarget(run, undefined, true);
        const leftMs = choice.kind === "resting" ? choice.leftMs : 0;
        answer.sendWhole(whole, functions.words.computeReturnMs(run.admitted.service, leftMs));
    }
    return { outcome: "handed-on", status: whole.head.status, refusal: undefined };
}

/** `returnMs` tells when to come back where that is known; else the refusal's own time is drawn. */
function sendRefusal(run: RoutedRun, answer: RoutedAnswer, id: RefusalId, returnMs?: number): RequestEnd {
    if (answer.isBegun) {
        answer.breakOff();
        return { outcome: "broken-off", status: undefined, refusal: id };
    }
    answer.sendRefusal(run.admitted.call, refusals[id], { leftMs: run.leftMs, returnMs });
    return { outcome: run.mayHaveRun ? "failed" : "refused", status: refusals[id].status, refusal: id };
}
