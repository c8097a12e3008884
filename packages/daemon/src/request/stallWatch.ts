/**
 * Watches a try of a request that may run again: a path that stands still, or an upstream that says nothing, is left
 * in time to be answered elsewhere. Any other request has to wait for its answer.
 */
import type { StreamPulse } from "../process/entry/pathPulse.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions, StallReport } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import type { StreamRelay } from "./streamRelay.js";
import type { AttemptAbort } from "./upstreamAttempt.js";

/**
 * Silence of a stream after which its engine is asked: a little more than a contracted pause, so that a path which
 * stands still is left before the caller gives up.
 */
const STALL_QUERY_PAUSE_FACTOR = 1.25;
/** Used where the route names no pause. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 200;
/** Part of the objective after which the engine is asked about a stream that has not begun. */
const FIRST_EVENT_QUERY_FACTOR = 0.6;
/** Until an engine that knew of no stall is asked again: its report lags, so the next one may tell. */
const STALL_QUERY_INTERVAL_MS = 80;
/** Reports without an answer after which the first engine counts as gone. */
const MAX_MISSED_REPORTS = 2;

/** A running watch. */
export interface StallWatch {
    /** A part of the answer came. */
    readonly recordEvent: () => void;
    readonly stop: () => void;
}

/**
 * Starts to watch a try.
 * @param context - the request
 * @param target - where the try went
 * @param relay - the stream, for a request that is answered by one
 * @param functions - reports of engines
 * @param abort - ends the try
 * @returns the watch, or undefined where the try is not worth watching
 */
export function startStallWatch(
    context: RequestContext,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
    abort: (reason: AttemptAbort) => void,
): StallWatch | undefined {
    const { route } = context.admitted;
    if (!route.is_repeatable) {
        return undefined;
    }
    if (relay !== undefined) {
        return target.stages === undefined ? undefined : new StreamStallWatch(context, target, relay, functions, abort);
    }
    if (
        context.mayHaveRunOn.size + 1 >= route.most_attempts
        || functions.chooseTarget(context, undefined, true).kind !== "target"
    ) {
        return undefined;
    }
    const timer = setTimeout(() => {
        abort({ end: "stalled", reason: `no answer for ${String(route.objective_ms)} ms` });
    }, route.objective_ms);
    return {
        recordEvent: () => undefined,
        stop: () => {
            clearTimeout(timer);
        },
    };
}

/** Watches a stream for silence: with the others on its path, and by asking its engine whether the path stands still. */
class StreamStallWatch implements StallWatch {
    private readonly pulse: StreamPulse;
    private timer: NodeJS.Timeout;
    private missedReports = 0;
    private isStopped = false;

    constructor(
        private readonly context: RequestContext,
        private readonly target: CallTarget,
        private readonly relay: StreamRelay,
        private readonly functions: RoutedRequestFunctions,
        private readonly abort: (reason: AttemptAbort) => void,
    ) {
        this.pulse = functions.watchPath(target, this.pauseMs, (isSure) => {
            this.switchPath(isSure);
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
        return this.context.admitted.route.pause_objective_ms ?? DEFAULT_PAUSE_OBJECTIVE_MS;
    }

    private get limitMs(): number {
        return this.relay.eventCount === 0
            ? this.context.admitted.route.objective_ms * FIRST_EVENT_QUERY_FACTOR
            : this.pauseMs * STALL_QUERY_PAUSE_FACTOR;
    }

    /** All streams of the path are silent. */
    private switchPath(isSure: boolean): void {
        // A move that may be in vain draws on what other repeats leave of the budget.
        const isUnderWay = isSure && this.relay.eventCount > 0;
        if (!this.isStopped && this.functions.claimPathSwitch(this.context, isUnderWay)) {
            this.abort({ end: "left", reason: `silent for ${String(Math.round(this.relay.silentMs))} ms` });
        }
    }

    private async check(): Promise<void> {
        const remainingMs = this.limitMs - this.relay.silentMs;
        if (remainingMs > 0) {
            this.wait(remainingMs);
            return;
        }
        const { functions, target, context } = this;
        const report = await functions.queryStall(target, context.admitted.call.requestId);
        if (this.isStopped || this.relay.silentMs < this.limitMs) {
            this.wait(this.limitMs);
            return;
        }
        this.applyReport(report);
    }

    private applyReport(report: StallReport): void {
        const silentMs = Math.round(this.relay.silentMs);
        this.missedReports = report.kind === "unreachable" ? this.missedReports + 1 : 0;
        if (report.kind === "stalled") {
            const reason = `stalled, silent for ${String(silentMs)} ms`;
            this.abort({ end: "stalled", reason, faultAddress: report.faultAddress });
            return;
        }
        if (this.missedReports >= MAX_MISSED_REPORTS) {
            this.abort({ end: "stalled", reason: `no report, silent for ${String(silentMs)} ms` });
            return;
        }
        this.wait(report.kind === "unreachable" ? 1 : STALL_QUERY_INTERVAL_MS);
    }

    private wait(ms: number): void {
        if (!this.isStopped) {
            this.timer = setTimeout(() => void this.check(), ms);
        }
    }
}
