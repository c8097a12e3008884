/**
 * Watches an attempt of a repeatable request: if its path stalls or its upstream stays silent, the attempt is aborted
 * early enough to get a response elsewhere. A request that is not repeatable has to wait.
 */
import type { PausableTracker } from "../process/entry/pathStallDetector.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions, StallReport } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import type { StreamRelay } from "./streamRelay.js";
import type { AttemptAbort } from "./upstreamAttempt.js";

/**
 * Silence of a stream, in multiples of the pause objective, after which its engine is queried: slightly above one, so
 * that a stalled path is left before the caller gives up.
 */
const STALL_QUERY_PAUSE_FACTOR = 1.25;
/** Pause objective if the route states none. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 200;
/** Fraction of the latency objective after which the engine is queried about a stream that has not started. */
const FIRST_EVENT_QUERY_FACTOR = 0.6;
/** Delay before an engine that reported no stall is queried again: its report lags, so the next one may show it. */
const STALL_QUERY_INTERVAL_MS = 80;
/** Consecutive missing reports after which the first engine is considered gone. */
const MAX_MISSED_REPORTS = 2;

/** A watch on an attempt. */
export interface StallWatch {
    /** Records that a part of the response was received. */
    readonly recordEvent: () => void;
    /** Records that the upstream is paused because the caller does not read. */
    readonly recordPause: () => void;
    readonly stop: () => void;
}

/**
 * Starts to watch an attempt.
 * @param context - the request
 * @param target - the target of the attempt
 * @param relay - the stream, for a streamed response
 * @param functions - access to the engines' reports
 * @param abort - aborts the attempt
 * @returns the watch, or undefined if the attempt must not be aborted or aborting it would not help
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
        abort({ end: "stalled", reason: `no response for ${String(route.objective_ms)} ms` });
    }, route.objective_ms);
    return {
        recordEvent: () => undefined,
        recordPause: () => undefined,
        stop: () => {
            clearTimeout(timer);
        },
    };
}

/** Watches a stream for silence: together with the other streams on its path, and by querying its engine for a stall. */
class StreamStallWatch implements StallWatch {
    private readonly tracker: PausableTracker;
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
        this.tracker = functions.watchPath(target, this.pauseMs, (isSure) => {
            this.switchPath(isSure);
        });
        this.timer = setTimeout(() => void this.check(), this.limitMs);
    }

    recordEvent(): void {
        this.tracker.recordEvent();
    }

    recordPause(): void {
        this.tracker.recordPause();
    }

    stop(): void {
        this.isStopped = true;
        this.tracker.close();
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

    /** Leaves the path; called if all its streams are silent. */
    private switchPath(isSure: boolean): void {
        // A switch that may be unnecessary only uses what other retries leave of the budget.
        const hasStarted = isSure && this.relay.eventCount > 0;
        if (!this.isStopped && !this.relay.isPaused && this.functions.claimPathSwitch(this.context, hasStarted)) {
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
