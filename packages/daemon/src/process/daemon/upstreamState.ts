/**
 * What this instance knows of one upstream.
 */
import { Circuit, Rest } from "@crankfork/decisions";
import type { EngineStatus, HeldRange, Upstream } from "@crankfork/schemas";
import type { EngineFunctions } from "../../connection/engineClient.js";
import { UpstreamRateLimiter } from "./upstreamRateLimiter.js";

/** Whether an upstream answers. */
export type Reachability = "unknown" | "reachable" | "unreachable";

/** One upstream. */
export class UpstreamState {
    readonly circuit = new Circuit();
    /** What it asked this instance for; says nothing against it, so the circuit does not count it. */
    readonly rest = new Rest();
    /** The rate that it named. */
    readonly rateLimiter = new UpstreamRateLimiter();
    reachability: Reachability = "unknown";
    /** Whether the platform's list, which lags, says that it leaves. */
    isListedLeaving = false;
    /** Status questions in a row that got no answer. */
    failedPolls = 0;
    private status: EngineStatus | undefined;
    private sampledMs = 0;
    /** Start times of own requests in flight, by run, on the monotonic clock. */
    private readonly running = new Map<string, number>();

    /**
     * @param upstream - its configuration
     * @param engine - its functions; undefined for a plain service
     */
    constructor(public upstream: Upstream, readonly engine: EngineFunctions | undefined) {}

    /** Whether it leaves, by its own notice or the list's; one that came back after a restart leaves no more. */
    get isLeaving(): boolean {
        return this.isListedLeaving || this.status?.is_leaving === true;
    }

    /** Own requests in flight there. */
    get ownInFlight(): number {
        return this.running.size;
    }

    /** Layers that it said it holds. */
    get holds(): readonly HeldRange[] {
        return this.status?.holds ?? [];
    }

    /** Its last report of load. */
    get lastStatus(): EngineStatus | undefined {
        return this.status;
    }

    /**
     * Takes a new configuration of the same upstream.
     * @param upstream - its configuration
     * @returns this state
     */
    updateUpstream(upstream: Upstream): this {
        this.upstream = upstream;
        return this;
    }

    /**
     * Takes a status.
     * @param status - what it reported
     * @param nowMs - the monotonic clock
     */
    receiveStatus(status: EngineStatus, nowMs: number): void {
        this.status = status;
        this.sampledMs = nowMs - status.load.age_ms;
    }

    /**
     * Marks an own request that starts there.
     * @param run - the request
     * @param nowMs - the monotonic clock
     */
    recordStart(run: string, nowMs: number): void {
        if (!this.running.has(run)) {
            this.running.set(run, nowMs);
            this.circuit.recordStart();
            this.rest.recordSend();
            this.rateLimiter.recordSend(nowMs);
        }
    }

    /**
     * Marks an own request that ended there.
     * @param run - the request
     * @param isServed - whether it was answered
     */
    recordEnd(run: string, isServed: boolean): void {
        if (!this.running.delete(run)) {
            return;
        }
        if (isServed) {
            this.rest.recordServed();
        }
        else {
            this.rest.recordLost();
        }
    }

    /**
     * Tells whether it wants a request now; looked at right before each send.
     * @param run - the request; one that runs there already is no new one
     * @param nowMs - the monotonic clock
     * @returns false while it rests, or where this entry has sent its part
     */
    maySend(run: string, nowMs: number): boolean {
        return !this.rest.isResting(nowMs) && (this.running.has(run) || this.rateLimiter.maySend(nowMs));
    }

    /**
     * Counts own requests that its last report can't include.
     * @returns requests that started after the report was sampled
     */
    countStartedSinceReport(): number {
        let count = 0;
        for (const startedMs of this.running.values()) {
            count += startedMs > this.sampledMs ? 1 : 0;
        }
        return count;
    }

    /**
     * Gets the age of the last report.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    getReportAgeMs(nowMs: number): number {
        return nowMs - this.sampledMs;
    }

    /**
     * Tells whether new work may go there.
     * @param nowMs - the monotonic clock
     * @returns false while it leaves, rests, is lost, gets as much as it takes, or its circuit is open
     */
    isUsable(nowMs: number): boolean {
        return !this.isLeaving && this.rest.hasRoom(nowMs) && this.reachability !== "unreachable"
            && this.circuit.isUsable(nowMs) && this.rateLimiter.maySend(nowMs);
    }
}
