/**
 * Watches a try of a request that may run again: a path that stands still, or an upstream that says nothing, is left
 * in time to be answered elsewhere. Any other request has to wait for its answer.
 */
import type { StreamTracker } from "../process/entry/pathStallDetector.js";
import type { RoutedRequestFunctions, StallAnswer } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import type { RoutedRun } from "./routedRun.js";
import type { TryStall } from "./routedTry.js";
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
/** Until an engine that knew of no stall is asked again: its report lags, so the next one may tell. */
const ASK_AGAIN_MS = 80;
/** Reports without an answer after which the first engine counts as gone. */
const MOST_UNREACHABLE = 2;

/** A running watch. */
export interface TryWatch {
    /** A part of the answer came. */
    readonly recordEvent: () => void;
    readonly stop: () => void;
}

/**
 * Starts to watch a try.
 * @param run - the request
 * @param target - where the try went
 * @param relay - the stream, for a request that is answered by one
 * @param functions - reports of engines
 * @param giveUp - ends the try
 * @returns the watch, or undefined where the try is not worth watching
 */
export function startWatch(
    run: RoutedRun,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
    giveUp: (stall: TryStall) => void,
): TryWatch | undefined {
    const { route } = run.admitted;
    if (!route.is_repeatable) {
        return undefined;
    }
    if (relay !== undefined) {
        return target.stages === undefined ? undefined : new SilenceWatch(run, target, relay, functions, giveUp);
    }
    if (run.ranOn.size + 1 >= route.most_attempts || functions.chooseTarget(run, undefined, true).kind !== "target") {
        return undefined;
    }
    const timer = setTimeout(() => {
        giveUp({ end: "stalled", reason: `no answer for ${String(route.objective_ms)} ms` });
    }, route.objective_ms);
    return {
        recordEvent: () => undefined,
        stop: () => {
            clearTimeout(timer);
        },
    };
}

/** Watches a stream for silence: with the others on its path, and by asking its engine whether the path stands still. */
class SilenceWatch implements TryWatch {
    private readonly pulse: StreamTracker;
    private timer: NodeJS.Timeout;
    private unreachable = 0;
    private isStopped = false;

    constructor(
        private readonly run: RoutedRun,
        private readonly target: CallTarget,
        private readonly relay: StreamRelay,
        private readonly functions: RoutedRequestFunctions,
        private readonly giveUp: (stall: TryStall) => void,
    ) {
        this.pulse = functions.followPath(target, this.pauseMs, (isSure) => {
            this.leave(isSure);
        });
        this.timer = setTimeout(() => void this.check(), this.limitMs);
    }

    recordEvent(): void {
        this.pulse.recordEvent();
    }

    stop(): void {
        this.isStopped = true;
        this.pulse.close();
        clearTimeout(this.timer);
    }

    private get pauseMs(): number {
        return this.run.admitted.route.pause_objective_ms ?? DEFAULT_PAUSE_MS;
    }

    private get limitMs(): number {
        return this.relay.count === 0
            ? this.run.admitted.route.objective_ms * ASK_BEFORE_FIRST_SHARE
            : this.pauseMs * ASK_AFTER_PAUSE_SHARE;
    }

    /** All streams of the path are silent. */
    private leave(isSure: boolean): void {
        // A move that may be in vain draws on what other repeats leave of the budget.
        const isUnderWay = isSure && this.relay.count > 0;
        if (!this.isStopped && this.functions.claimLeave(this.run, isUnderWay)) {
            this.giveUp({ end: "left", reason: `silent for ${String(Math.round(this.relay.silentMs))} ms` });
        }
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
            const reason = `stalled, silent for ${String(silentMs)} ms`;
            this.giveUp({ end: "stalled", reason, faultAddress: said.faultAddress });
            return;
        }
        if (this.unreachable >= MOST_UNREACHABLE) {
            this.giveUp({ end: "stalled", reason: `no report, silent for ${String(silentMs)} ms` });
            return;
        }
        this.wait(said.kind === "unreachable" ? 1 : ASK_AGAIN_MS);
    }

    private wait(ms: number): void {
        if (!this.isStopped) {
            this.timer = setTimeout(() => void this.check(), ms);
        }
    }
}
