/**
 * Watches an attempt of a repeatable request for silence, so that another attempt can be started beside it early enough. A
 * request that is not repeatable has to wait.
 */
import type { PausableTracker } from "../process/entry/pathStallDetector.js";
import { startTask, startTimer } from "../process/startTask.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions, StallReport } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import type { AttemptStream, StreamRelay } from "./streamRelay.js";

/**
 * Silence of a stream, in multiples of the pause objective, after which its engine is queried: slightly above one, so
 * that another path is tried before the caller gives up.
 */
const STALL_QUERY_PAUSE_FACTOR = 1.25;
/** Pause objective if the route states none. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 200;
/** Fraction of the latency objective after which the engine is queried about a stream that has not started. */
const FIRST_EVENT_QUERY_FACTOR = 0.6;
/** Delay before an engine is queried again: its report lags, and one report is shared by all queries of 70 ms. */
const STALL_QUERY_INTERVAL_MS = 80;
/** Time without a report after which another attempt is worth its cost: a sound engine answers within some milliseconds. */
const LATE_REPORT_MS = 100;
/** Consecutive missing reports after which the first engine is considered silent. */
const MAX_MISSED_REPORTS = 2;

/** What shows that an attempt makes no progress. */
export type Silence =
    /** All streams on its path are silent; `isCertain` is false where few streams show it. */
    | { readonly kind: "path"; readonly isCertain: boolean; readonly silentMs: number; }
    /** Its engine reports that the request is stalled, and maybe the address of the engine that it waits for. */
    | { readonly kind: "stalled"; readonly faultAddress: string | undefined; readonly silentMs: number; }
    /** Its engine sends no report; `isCertain` is false while one may only be late. */
    | { readonly kind: "no-report"; readonly isCertain: boolean; readonly silentMs: number; }
    /** It has no response within the latency objective. */
    | { readonly kind: "late"; readonly silentMs: number; };

/** A watch on an attempt. */
export interface StallWatch {
    /** Records that a part of the response was received. */
    readonly recordEvent: () => void;
    /** Records that the upstream is paused because the caller does not read. */
    readonly recordPause: () => void;
    readonly stop: () => void;
}

/** What a watch needs. */
export interface StallWatchOptions {
    readonly context: RequestContext;
    readonly target: CallTarget;
    /** The stream to the caller and its part from this attempt; undefined for a response that is not streamed. */
    readonly stream: { readonly relay: StreamRelay; readonly attempt: AttemptStream; } | undefined;
    /** Access to the engines' reports. */
    readonly functions: RoutedRequestFunctions;
    /** Called when the attempt is found silent; for a stream maybe again, with other evidence or in a later silence. */
    readonly handleSilence: (silence: Silence) => void;
}

/**
 * Starts to watch an attempt.
 * @param options - the attempt, and the handler of its silence
 * @returns the watch, or undefined if no other attempt may run beside it
 */
export function startStallWatch(options: StallWatchOptions): StallWatch | undefined {
    const { context: { admitted: { route } }, target, stream, functions, handleSilence } = options;
    if (!route.is_repeatable) {
        return undefined;
    }
    if (stream !== undefined) {
        return target.stages === undefined
            ? undefined
            : new StreamStallWatch(options.context, target, stream.relay, stream.attempt, functions, handleSilence);
    }
    const timer = startTimer("stall-watch", route.objective_ms, () => {
        handleSilence({ kind: "late", silentMs: route.objective_ms });
    });
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
        private readonly attempt: AttemptStream,
        private readonly functions: RoutedRequestFunctions,
        private readonly handleSilence: (silence: Silence) => void,
    ) {
        this.tracker = functions.watchPath(target, this.pauseMs, (isCertain) => {
            this.applyPathStall(isCertain);
        });
        this.timer = this.startCheck(this.limitMs);
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

    private applyPathStall(isCertain: boolean): void {
        if (!this.isStopped && !this.relay.isPaused) {
            this.handleSilence({ kind: "path", isCertain, silentMs: this.attempt.silentMs });
        }
    }

    private async check(): Promise<void> {
        const remainingMs = this.limitMs - this.attempt.silentMs;
        if (remainingMs > 0) {
            this.wait(remainingMs);
            return;
        }
        const { functions, target, context } = this;
        const lateTimer = startTimer("stall-watch", LATE_REPORT_MS, () => {
            this.applyLateReport();
        });
        const report = await functions.queryStall(target, context.admitted.call.requestId).finally(() => {
            clearTimeout(lateTimer);
        });
        if (this.isStopped || this.attempt.silentMs < this.limitMs) {
            this.missedReports = 0;
            this.wait(this.limitMs);
            return;
        }
        this.applyReport(report);
    }

    private applyLateReport(): void {
        const { silentMs } = this.attempt;
        if (!this.isStopped && silentMs >= this.limitMs) {
            this.handleSilence({ kind: "no-report", isCertain: false, silentMs });
        }
    }

    private applyReport(report: StallReport): void {
        const { silentMs } = this.attempt;
        this.missedReports = report.kind === "unreachable" ? this.missedReports + 1 : 0;
        if (report.kind === "stalled") {
            this.handleSilence({ kind: "stalled", faultAddress: report.faultAddress, silentMs });
            this.wait(this.limitMs);
        }
        else if (this.missedReports >= MAX_MISSED_REPORTS) {
            this.missedReports = 0;
            this.handleSilence({ kind: "no-report", isCertain: true, silentMs });
            this.wait(this.limitMs);
        }
        else {
            this.wait(STALL_QUERY_INTERVAL_MS);
        }
    }

    private wait(ms: number): void {
        if (!this.isStopped) {
            this.timer = this.startCheck(ms);
        }
    }

    private startCheck(afterMs: number): NodeJS.Timeout {
        return startTimer("stall-watch", afterMs, () => {
            startTask("stall-watch", () => this.check(), () => {
                this.wait(this.limitMs);
            });
        });
    }
}
