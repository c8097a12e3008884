/**
 * What is known of one routed request while it lives: its limits, its tries, and whether it may have run.
 */
import type { Route, RoutedOrganisation, RoutedService } from "@crankfork/schemas";
import type { AdmissionBasis } from "./admitCall.js";
import type { RoutedCall } from "./routedCall.js";

/** Why a request ended before its answer. */
export type StopReason = "caller-left" | "timeout";

/** A request that was let in. */
export interface AdmittedCall {
    readonly call: RoutedCall;
    readonly route: Route;
    readonly service: RoutedService;
    readonly organisation: RoutedOrganisation | undefined;
    readonly basis: AdmissionBasis;
    readonly body: Buffer | undefined;
    readonly arrivedMs: number;
}

/**
 * A caller that comes back says its whole deadline less what the first attempt and the wait took; with less left than this
 * part of the route's limit it was here before.
 */
const RETRY_DEADLINE_FRACTION = 0.97;

/** One request from its admission to its end. */
export class RequestContext {
    /** Upstreams that it was sent to, first ones of paths. */
    readonly attemptedUpstreams = new Set<string>();
    attempts = 0;
    /** Upstreams that it ran on, or may have, first ones of paths. */
    readonly mayHaveRunOn = new Set<string>();
    mayHaveRun = false;
    /** Whether it ended upstreams before and is sent once more, to find out whether it still does. */
    isTrial = false;
    /** Whether an upstream ended under it, so that its line in the log has to tell which request it is. */
    hasCrash = false;
    /** Upstreams whose rest or limit kept it from being sent, for the log. */
    throttledBy: readonly string[] = [];
    /** What was done, for the log. */
    readonly attemptLog: string[] = [];
    private stopped: StopReason | undefined;
    private readonly stopHandlers = new Set<(reason: StopReason) => void>();
    private readonly timer: NodeJS.Timeout;
    private readonly deadlineMs: number;

    /**
     * @param admitted - the request
     * @param getNowMs - the monotonic clock
     */
    constructor(readonly admitted: AdmittedCall, private readonly getNowMs: () => number) {
        const { call, route, arrivedMs } = admitted;
        this.deadlineMs = arrivedMs + Math.min(route.timeout_ms, call.deadlineMs ?? route.timeout_ms);
        this.timer = setTimeout(() => {
            this.stop("timeout");
        }, Math.max(0, this.remainingMs));
    }

    /** Time until the caller's deadline or the route's limit, whichever comes first. */
    get remainingMs(): number {
        return this.deadlineMs - this.getNowMs();
    }

    /** Whether the caller seems to come back after a first attempt; a caller with a short deadline seems so, too. */
    get isLikelyRetry(): boolean {
        const { call, route } = this.admitted;
        return call.deadlineMs !== undefined && call.deadlineMs < route.timeout_ms * RETRY_DEADLINE_FRACTION;
    }

    /** Time since the request arrived. */
    get ageMs(): number {
        return this.getNowMs() - this.admitted.arrivedMs;
    }

    /** Why it was ended early; undefined while it goes on. */
    get stopReason(): StopReason | undefined {
        return this.stopped;
    }

    /** Ends it where its time is over and its timer has not said so: timers stand still while the machine sleeps. */
    stopIfExpired(): void {
        if (this.remainingMs <= 0) {
            this.stop("timeout");
        }
    }

    /**
     * Ends the request early.
     * @param stop - why
     */
    stop(stop: StopReason): void {
        if (this.stopped !== undefined) {
            return;
        }
        this.stopped = stop;
        this.stopHandlers.forEach((handle) => {
            handle(stop);
        });
    }

    /**
     * Asks to be told of an early end.
     * @param handle - called at most once
     * @returns takes the request to be told back
     */
    onStop(handle: (reason: StopReason) => void): () => void {
        this.stopHandlers.add(handle);
        return () => {
            this.stopHandlers.delete(handle);
        };
    }

    /** Frees what the request holds. */
    close(): void {
        clearTimeout(this.timer);
        this.stopHandlers.clear();
    }
}
