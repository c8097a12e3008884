/**
 * How long a routed request waits where nothing can take it now, and what keeps it from waiting at all.
 */
import { waitMs } from "../process/waitMs.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import type { RoutedRun } from "./routedRun.js";
import type { StreamRelay } from "./streamRelay.js";

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
 * objectives: being served late is better for it than not at all.
 */
const BACK_PATIENCE_SHARE = 2.5;
/** Part of the objective for which a request waits for a send that is held here; the rest of it is for the answer. */
const HELD_PATIENCE_SHARE = 0.3;
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
 * Computes how long a request may wait for a send that is held for it.
 * @param run - the request
 * @returns milliseconds
 */
export function computeHeldPatienceMs({ admitted, leftMs }: RoutedRun): number {
    return Math.min(admitted.route.objective_ms * HELD_PATIENCE_SHARE, computePatienceMs(leftMs));
}

/**
 * Tells whether the key of a request may still be used.
 * @param run - the request
 * @param functions - the lease on the configuration
 * @returns true also where it needs none
 */
export function mayUseKey({ admitted }: RoutedRun, functions: RoutedRequestFunctions): boolean {
    return admitted.organisation === undefined || functions.mayUseKey();
}

/**
 * Tells whether a request is held, since upstreams ended whenever they ran it; such a one does not wait for a path first.
 * @param run - the request
 * @param functions - what is known of crashes
 * @returns false for a trial of it
 */
export function isHeldNow(run: RoutedRun, { crashes }: RoutedRequestFunctions): boolean {
    return !run.isTrial && crashes.isHeld(run.admitted);
}

/**
 * Chooses a target, and waits for one as long as that may help.
 * @param run - the request
 * @param relay - its stream, where it is answered by one
 * @param functions - the choice and the clock
 * @returns the target, or why there is none
 */
export async function chooseTargetPatiently(
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
    /** For a send that is held here for later. */
    readonly heldMs: number;
}

function computePatience(run: RoutedRun): Patience {
    const { objective_ms } = run.admitted.route;
    return {
        noneMs: computePatienceMs(run.leftMs),
        fullMs: objective_ms * (run.isBack ? BACK_PATIENCE_SHARE : FULL_PATIENCE_SHARE),
        // Whoever is back has been told when there is room, so it waits no longer than others.
        restingMs: objective_ms * FULL_PATIENCE_SHARE,
        heldMs: computeHeldPatienceMs(run),
    };
}

function getPatienceMs(
    choice: Exclude<TargetChoice, { kind: "target"; }>,
    { noneMs, fullMs, restingMs, heldMs }: Patience,
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
            return (choice.isHeld ? heldMs : restingMs) - choice.leftMs;
    }
}
