/**
 * How a routed request ends without an answer of an upstream: what its caller is told, and when to come back.
 */
import type { AttemptOutcome } from "@crankfork/decisions";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import type { RoutedAnswer } from "./routedAnswer.js";
import { type RefusalId, refusals } from "./routedRefusal.js";
import type { RoutedRun, RunStop } from "./routedRun.js";
import type { WholeAnswer } from "./routedTry.js";

/** How a request ended, for the log and the counters. */
export interface RequestEnd {
    readonly outcome: "answered" | "handed-on" | "refused" | "failed" | "broken-off" | "caller-left";
    readonly status: number | undefined;
    readonly refusal: RefusalId | undefined;
    /** When the first event of a stream was handed on, by the monotonic clock. */
    readonly firstMs?: number | undefined;
    readonly longestPauseMs?: number | undefined;
}

/** What a caller is told where nothing can take its request. */
const choiceRefusals: Readonly<Record<Exclude<TargetChoice["kind"], "target">, RefusalId>> = {
    "none": "no-upstream",
    "too-few-engines": "too-few-engines",
    "full": "full",
    "resting": "resting",
    "limited": "limited",
};

/**
 * Refuses a request for which there is no target.
 * @param run - the request
 * @param answer - nothing written yet, or a stream under way
 * @param choice - why there is none
 * @param functions - when to come back to upstreams that rest or take few
 * @returns how it ended
 */
export function refuseChoice(
    run: RoutedRun,
    answer: RoutedAnswer,
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (run.mayHaveRun) {
        return sendRefusal(run, answer, "upstream-failed");
    }
    if (choice.kind !== "resting" && choice.kind !== "limited") {
        return sendRefusal(run, answer, choiceRefusals[choice.kind]);
    }
    run.boundBy = choice.upstreams;
    const returnMs = functions.notices.computeReturnMs(run.admitted.service, choice.leftMs);
    return sendRefusal(run, answer, choiceRefusals[choice.kind], returnMs);
}

/**
 * Ends a request whose time is over, or whose caller has left.
 * @param run - the request
 * @param answer - where it would have been answered
 * @param stop - which of the two
 * @returns how it ended
 */
export function endStopped(run: RoutedRun, answer: RoutedAnswer, stop: RunStop): RequestEnd {
    return stop === "caller-left"
        ? { outcome: "caller-left", status: undefined, refusal: undefined }
        : sendRefusal(run, answer, run.mayHaveRun ? "timeout" : "timeout-not-run");
}

/**
 * Names the refusal of a request that nothing took.
 * @param end - how its last try ended
 * @param isPathFree - whether another upstream could take it
 * @returns the refusal
 */
export function getNotRunRefusal(end: AttemptOutcome, isPathFree: boolean): RefusalId {
    if (isPathFree) {
        return "no-repeat-left";
    }
    return end === "declined" ? "declined" : "no-upstream";
}

/**
 * Hands an upstream's failure on.
 * @param run - the request
 * @param answer - where it goes
 * @param handed - the failure, undefined where there is none, and where another try could go
 * @param functions - when to come back, where the upstream asked for rest
 * @returns how the request ended
 */
export function handOn(
    run: RoutedRun,
    answer: RoutedAnswer,
    { whole, choice }: { readonly whole: WholeAnswer | undefined; readonly choice: TargetChoice; },
    functions: RoutedRequestFunctions,
): RequestEnd {
    if (whole === undefined || answer.isBegun) {
        return sendRefusal(run, answer, "upstream-failed");
    }
    if (functions.codec.readNotice(whole.head).rest.kind === "none") {
        answer.sendWhole(whole);
    }
    else {
        // The upstream's rest was meant for this instance: others may serve the caller at once.
        const leftMs = choice.kind === "resting" ? choice.leftMs : 0;
        answer.sendWhole(whole, functions.notices.computeReturnMs(run.admitted.service, leftMs));
    }
    return { outcome: "handed-on", status: whole.head.status, refusal: undefined };
}

/**
 * Sends a refusal; a stream under way is broken off.
 * @param run - the request
 * @param answer - where it goes
 * @param id - why
 * @param returnMs - when to come back where that is known, in milliseconds; the refusal's own time is drawn where left out
 * @returns how the request ended
 */
export function sendRefusal(run: RoutedRun, answer: RoutedAnswer, id: RefusalId, returnMs?: number): RequestEnd {
    if (answer.isBegun) {
        answer.breakOff();
        return { outcome: "broken-off", status: undefined, refusal: id };
    }
    answer.sendRefusal(run.admitted.call, refusals[id], { leftMs: run.leftMs, returnMs });
    return { outcome: run.mayHaveRun ? "failed" : "refused", status: refusals[id].status, refusal: id };
}
