/**
 * State of one upstream as this instance observes it.
 */
import { CircuitBreaker, RetryAfterBackoff } from "@crankfork/decisions";
import type { EngineStatus, ModelLayerRange, Upstream } from "@crankfork/schemas";
import type { EngineClient } from "../../connection/engineClient.js";
import { UpstreamRateLimiter } from "./upstreamRateLimiter.js";

/** Reachability of an upstream. */
export type Reachability = "unknown" | "reachable" | "unreachable";

/** State of one upstream. */
export class UpstreamState {
    readonly circuit = new CircuitBreaker();
    /** Backoff that the upstream asked for. It indicates no failure, so the circuit breaker does not count it. */
    readonly backoff = new RetryAfterBackoff();
    /** Applies the rate limit that the upstream announced. */
    readonly rateLimiter = new UpstreamRateLimiter();
    reachability: Reachability = "unknown";
    /** Whether the platform lists the upstream as leaving. The list lags behind. */
    isListedLeaving = false;
    /** Consecutive failed status polls. */
    failedPolls = 0;
    private status: EngineStatus | undefined;
    private sampledAtMs = 0;
    /** Start times of this entry's requests in flight, by run, on the monotonic clock. */
    private readonly startTimes = new Map<string, number>();

    /**
     * @param upstream - configuration of the upstream
     * @param engine - client of the engine; undefined for a plain service
     */
    constructor(public upstream: Upstream, readonly engine: EngineClient | undefined) {}

    /** Whether the upstream is leaving by its own status or the platform's list. A restart clears the former. */
    get isLeaving(): boolean {
        return this.isListedLeaving || this.status?.is_leaving === true;
    }

    /** Number of this entry's requests in flight. */
    get ownInFlight(): number {
        return this.startTimes.size;
    }

    /** Layers that the upstream last reported as held. */
    get holds(): readonly ModelLayerRange[] {
        return this.status?.holds ?? [];
    }

    /** Last status report. */
    get lastStatus(): EngineStatus | undefined {
        return this.status;
    }

    /**
     * Replaces the configuration of the upstream and keeps the rest of the state.
     * @param upstream - the new configuration
     * @returns this state
     */
    updateUpstream(upstream: Upstream): this {
        this.upstream = upstream;
        return this;
    }

    /**
     * Stores a status report.
     * @param status - the report
     * @param nowMs - the monotonic clock
     */
    receiveStatus(status: EngineStatus, nowMs: number): void {
        this.status = status;
        this.sampledAtMs = nowMs - status.load.age_ms;
    }

    /**
     * Records that a request of this entry starts at the upstream.
     * @param run - the request
     * @param nowMs - the monotonic clock
     */
    recordStart(run: string, nowMs: number): void {
        if (!this.startTimes.has(run)) {
            this.startTimes.set(run, nowMs);
            this.circuit.recordStart();
            this.backoff.recordSend();
            this.rateLimiter.recordSend(nowMs);
        }
    }

    /**
     * Records that a request of this entry ended at the upstream.
     * @param run - the request
     * @param isServed - whether it was answered
     */
    recordEnd(run: string, isServed: boolean): void {
        if (!this.startTimes.delete(run)) {
            return;
        }
        if (isServed) {
            this.backoff.recordSuccess();
        }
        else {
            this.backoff.releaseSend();
        }
    }

    /**
     * Tells whether a request may be sent now. Checked directly before each send.
     * @param run - the request; one already running at the upstream does not count against the rate limit
     * @param nowMs - the monotonic clock
     * @returns false while the upstream is in backoff, or if this entry's share of the rate limit is used up
     */
    maySend(run: string, nowMs: number): boolean {
        return !this.backoff.isBackingOff(nowMs) && (this.startTimes.has(run) || this.rateLimiter.maySend(nowMs));
    }

    /**
     * Counts requests of this entry that started after the last status report was sampled, so that it can't include them.
     */
    countStartedSinceReport(): number {
        let count = 0;
        for (const startedMs of this.startTimes.values()) {
            count += startedMs > this.sampledAtMs ? 1 : 0;
        }
        return count;
    }

    /**
     * Gets the age of the last status report.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    getReportAgeMs(nowMs: number): number {
        return nowMs - this.sampledAtMs;
    }

    /**
     * Tells whether new requests may be routed to the upstream.
     * @param nowMs - the monotonic clock
     * @returns false if the upstream is leaving, is in backoff, is unreachable, is at its rate limit, or its circuit is
     * open
     */
    isUsable(nowMs: number): boolean {
        return !this.isLeaving && this.backoff.canSend(nowMs) && this.reachability !== "unreachable"
            && this.circuit.isUsable(nowMs) && this.rateLimiter.maySend(nowMs);
    }
}
