/**
 * Watches a try of a request that may run again: a path that stands still, or an upstream that says nothing, is left
 * in time to be answered elsewhere. Any other request has to wait for its answer.
 */
import type { CallTarget } from "./routedCall.js";
import type { RoutedRequestFunctions, StallAnswer } from "./routedRequest.js";
import type { RoutedRun } from "./routedRun.js";
import type { StreamRelay } from "./streamRelay.js";

/**
 * Silence of a stream after which its engine is asked: a little more than a contracted pause, so that a path which
 * stands still is left before the caller gives up.
 */
const ASK_AFTER_PAUSE_SHARE = 1.25;
/** Used where the route names no pause. */
const DEFAULT_PAUSE_MS = 200;
/** Part of the objective after which the engine is asked about a stream that has not begun. */
const ASK_BEFORE_FIRST_SHARE = 0.6;
/** Reports without an answer after which the first engine counts as gone. */
const MOST_UNREACHABLE = 2;

/** A running watch. */
export interface TryWatch {
    readonly stop: () => void;
}

/**
 * Starts to watch a try.
 * @param run - the request
 * @param target - where the try went
 * @param relay - the stream, for a request that is answered by one
 * @param functions - reports of engines
 * @param stall - ends the try as stalled
 * @returns the watch, or undefined where the try is not worth watching
 */
export function startWatch(
    run: RoutedRun,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
    stall: (reason: string, faultAddress: string | undefined) => void,
): TryWatch | undefined {
    const { route } = run.admitted;
    if (!route.is_repeatable) {
        return undefined;
    }
    if (relay !== undefined) {
        return target.stages === undefined ? undefined : new SilenceWatch(run, target, relay, functions, stall);
    }
    if (run.runs + 1 >= route.most_attempts || functions.chooseTarget(run, undefined, true).kind !== "target") {
        return undefined;
    }
    const timer = setTimeout(() => {
        stall(`no answer for ${String(route.objective_ms)} ms`, undefined);
    }, route.objective_ms);
    return {
        stop: () => {
            clearTimeout(timer);
        },
    };
}

/** Watches a stream for silence, and asks its engine whether the path stands still. */
class SilenceWatch {
    private timer: NodeJS.Timeout;
    private unreachable = 0;
    private isStopped = false;

    constructor(
        private readonly run: RoutedRun,
        private readonly target: CallTarget,
        private readonly relay: StreamRelay,
        private readonly functions: RoutedRequestFunctions,
        private readonly stall: (reason: string, faultAddress: string | undefined) => void,
    ) {
        this.timer = setTimeout(() => void this.check(), this.limitMs);
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.timer);
    }

    private get limitMs(): number {
        const { route } = this.run.admitted;
        return this.relay.count === 0
            ? route.objective_ms * ASK_BEFORE_FIRST_SHARE
            : (route.pause_objective_ms ?? DEFAULT_PAUSE_MS) * ASK_AFTER_PAUSE_SHARE;
    }

    private async check(): Promise<void> {
        const leftMs = this.limitMs - this.relay.silentMs;
        if (leftMs > 0) {
            this.wait(leftMs);
            return;
        }
        const { functions, target, run } = this;
        const said = await functions.askStall(target, run.admitted.call.requestId);
        if (this.isStopped || this.relay.silentMs < this.limitMs) {
            this.wait(this.limitMs);
            return;
        }
        this.applyAnswer(said);
    }

    private applyAnswer(said: StallAnswer): void {
        const silentMs = Math.round(this.relay.silentMs);
        this.unreachable = said.kind === "unreachable" ? this.unreachable + 1 : 0;
        if (said.kind === "stalled") {
            this.stall(`stalled, silent for ${String(silentMs)} ms`, said.faultAddress);
            return;
        }
        if (this.unreachable >= MOST_UNREACHABLE) {
            this.stall(`no report, silent for ${String(silentMs)} ms`, undefined);
            return;
        }
        this.wait(said.kind === "unreachable" ? 1 : this.limitMs);
    }

    private wait(ms: number): void {
        if (!this.isStopped) {
            this.timer = setTimeout(() => void this.check(), ms);
        }
    }
}
