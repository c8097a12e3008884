/**
 * State of one routed request: its deadline, its attempts, and whether it may have run.
 */
import type { Route, RoutedOrganisation, RoutedService } from "@crankfork/schemas";
import { startTimer } from "../process/startTask.js";
import type { AdmissionBasis } from "./admitCall.js";
import type { RoutedCall } from "./routedCall.js";

/** Why a request was stopped before its response was complete. */
export type StopReason =
    | "caller-left"
    | "timeout"
    /** This instance is about to exit. */
    | "stopping";

/** An admitted request. */
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
 * A retrying caller states its deadline less the duration of the first attempt and of the wait, so a deadline below
 * this fraction of the route's time-out indicates a retry.
 */
const RETRY_DEADLINE_FRACTION = 0.97;

/** State of one request from its admission to its end. */
export class RequestContext {
    /** Upstreams that further attempts avoid, since it was sent there; for paths, their first engines. */
    readonly attemptedUpstreams = new Set<string>();
    /** Upstreams it was sent to, whether they are avoided or not. */
    readonly contactedUpstreams = new Set<string>();
    attempts = 0;
    /**
     * Position among the requests of its organisation, at random from 0 up to 1, so that a repeated check of its room has
     * the same result; undefined before the first check. The greater it is, the more room the request may take.
     */
    draw: number | undefined;
    /** Upstreams that ran it or may have; for paths, their first engines. */
    readonly mayHaveRunOn = new Set<string>();
    mayHaveRun = false;
    /** Whether its open attempts are silent, so that the next one should be at an upstream that is seen to work. */
    hasSilentAttempt = false;
    /** Upstreams that did not respond when a backup attempt was about to be sent there. */
    readonly unresponsiveUpstreams = new Set<string>();
    /** Whether it is quarantined and sent once more as a trial, to find out whether it still crashes upstreams. */
    isTrial = false;
    /** Whether the leader has agreed to one more attempt although an upstream crashed under the request. */
    hasResendGrant = false;
    /** Whether an upstream crashed while running it, so that its log line must identify the request. */
    hasCrash = false;
    /** Upstreams whose backoff or rate limit kept it from being sent, for the log. */
    throttledBy: readonly string[] = [];
    /** Open requests by rank that held the room it lacked, for the log. */
    takenBy: string | undefined;
    /** How its last attempt ended, for the metrics. */
    lastAttemptEnd: string | undefined;
    /** Results of its attempts, for the log. */
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
        this.timer = startTimer("request-timeout", Math.max(0, this.remainingMs), () => {
            this.stop("timeout");
        });
    }

    /** Time until the caller's deadline or the route's time-out, whichever comes first. */
    get remainingMs(): number {
        return this.deadlineMs - this.getNowMs();
    }

    /** Whether the request looks like a retry; a request with a short deadline looks like one, too. */
    get isLikelyRetry(): boolean {
        const { call, route } = this.admitted;
        return call.deadlineMs !== undefined && call.deadlineMs < route.timeout_ms * RETRY_DEADLINE_FRACTION;
    }

    /** Time since the request arrived. */
    get ageMs(): number {
        return this.getNowMs() - this.admitted.arrivedMs;
    }

    /** Why it was stopped; undefined while it is running. */
    get stopReason(): StopReason | undefined {
        return this.stopped;
    }

    /** Stops it if its deadline has passed but the timer has not fired: timers stand still while the machine sleeps. */
    stopIfExpired(): void {
        if (this.remainingMs <= 0) {
            this.stop("timeout");
        }
    }

    /**
     * Stops the request.
     * @param stop - the reason
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
     * Registers a handler for an early stop.
     * @param handle - called at most once
     * @returns a function that removes the handler
     */
    onStop(handle: (reason: StopReason) => void): () => void {
        this.stopHandlers.add(handle);
        return () => {
            this.stopHandlers.delete(handle);
        };
    }

    /**
     * Waits for something that has a time-out of its own, at most until the request is stopped.
     * @param promise - what to wait for
     * @returns its value; undefined if the request was stopped first
     */
    async waitUnlessStopped<Value>(promise: Promise<Value>): Promise<Value | undefined> {
        let removeHandler = (): void => undefined;
        const stopped = new Promise<undefined>((resolve) => {
            removeHandler = this.onStop(() => {
                resolve(undefined);
            });
        });
        try {
            return this.stopped === undefined ? await Promise.race([promise, stopped]) : undefined;
        }
        finally {
            removeHandler();
        }
    }

    /** Releases the timer and the handlers. */
    close(): void {
        clearTimeout(this.timer);
        this.stopHandlers.clear();
    }
}
