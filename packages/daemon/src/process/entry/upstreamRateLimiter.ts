/**
 * Distributed rate limiting of requests to upstreams that report a limit. The leader grants permits for single sends;
 * without a reachable leader, each entry sends at its equal share of the limit. A limit applies to all entries
 * together, so none can comply by its own rate alone.
 */
import { EqualSharePacer } from "@crankfork/decisions";
import { type SendsParameters, type SendsResult, sendsResultSchema } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { computePermitHorizonMs, computePermitIntervalMs } from "../permitIntervals.js";
import { runLoop, startTask } from "../startTask.js";
import type { LimitChange, UpstreamRateLimits } from "../upstreamRateLimits.js";
import { waitMs } from "../waitMs.js";
import { LimitReportQueue } from "./limitReportQueue.js";
import { type PermitClaim, type PermitWait, SendPermitPool } from "./sendPermitPool.js";

/** Dependencies of the rate limiter. */
export interface UpstreamRateLimiterOptions {
    readonly instance: string;
    readonly limits: UpstreamRateLimits;
    readonly getNowMs: () => number;
    readonly countEntries: () => number;
    /** Returns a number from 0 up to, but excluding, 1. */
    readonly random: () => number;
    /** Sends a request to the leader; rejects where no leader is known, or where it does not answer. */
    readonly askLeader: (method: "sends", parameters: object) => Promise<unknown>;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countSuppressedSend" | "countSendOverLimit" | "recordPermitsHeld">;
}

/** After this time without a message from the leader there may be none; a new one is elected by then. */
const LEADER_TIMEOUT_MS = 1_500;
/** Result for an empty list of upstreams. */
const NO_PERMIT: PermitWait = { remainingMs: Number.POSITIVE_INFINITY, isHeld: false };

/** Limits sends by the incarnations of upstreams. */
export class UpstreamRateLimiter {
    private readonly pools = new Map<string, SendPermitPool>();
    private readonly pacers = new Map<string, EqualSharePacer>();
    private readonly limitReports: LimitReportQueue;
    private leaderHeardMs = Number.NEGATIVE_INFINITY;
    private isRequesting = false;

    /**
     * @param options - limits, clock and connection to the leader
     */
    constructor(private readonly options: UpstreamRateLimiterOptions) {
        this.limitReports = new LimitReportQueue(options.limits, options.getNowMs);
    }

    /** Records a message from the leader. */
    recordLeader(): void {
        this.leaderHeardMs = this.options.getNowMs();
        this.pacers.clear();
    }

    /** Reports all limits received here to a new leader, which starts without any. */
    resendLimits(): void {
        this.limitReports.queueAll();
        startTask("permit-request", () => this.requestPermits());
    }

    /**
     * Applies a change of a limit.
     * @param id - the upstream
     * @param change - what changed
     * @param isReceivedHere - whether a response to this entry reported it, so that the leader has to be informed
     */
    handleChange(id: string, change: LimitChange, isReceivedHere: boolean): void {
        // Permits granted under the previous limit would exceed a lower one.
        if (change !== "raised") {
            this.pools.delete(id);
        }
        this.pacers.delete(id);
        if (isReceivedHere) {
            this.limitReports.add(id);
            startTask("permit-request", () => this.requestPermits());
        }
    }

    /**
     * Claims a send for a request. Where none is available, the claim is passed on to the leader.
     * @param id - the incarnation of the upstream
     * @param claim - the request
     * @returns false where the upstream has a limit, and no permit is left or a more urgent request waits for it
     */
    claimPermit(id: string, claim: PermitClaim): boolean {
        if (!this.isLimited(id)) {
            return true;
        }
        if (!this.hasLeader) {
            return this.isPacedSendDue(id);
        }
        const isPermitted = this.getPool(id).tryClaim(claim, this.options.getNowMs());
        if (!isPermitted) {
            startTask("permit-request", () => this.requestPermits());
        }
        return isPermitted;
    }

    /**
     * Withdraws the claims of a request that has ended, since a permit for it would be lost.
     * @param request - the request
     */
    withdraw(request: object): void {
        this.pools.forEach((pool) => {
            pool.withdraw(request);
        });
    }

    /**
     * Checks the limit immediately before a send, which may be long after the target was chosen.
     * @param id - the incarnation of the upstream
     * @returns false where it has a limit and no permit is left; the send is then counted as suppressed
     */
    maySend(id: string): boolean {
        const isPermitted = !this.isLimited(id) || this.hasPermit(id);
        if (!isPermitted) {
            this.options.metrics.countSuppressedSend();
        }
        return isPermitted;
    }

    /**
     * Records that a request was sent.
     * @param id - the incarnation of the upstream
     */
    recordSend(id: string): void {
        if (!this.isLimited(id)) {
            return;
        }
        if (!this.hasPermit(id)) {
            this.options.metrics.countSendOverLimit();
        }
        if (this.hasLeader) {
            this.getPool(id).recordSend(this.options.getNowMs());
        }
        else {
            this.getPacer(id).recordSend(this.createPaceTerms(id), this.options.getNowMs());
        }
    }

    /**
     * Computes the time until one of several upstreams can take a request.
     * @param ids - incarnations of upstreams with a limit
     * @returns milliseconds, and whether this entry holds a permit for that time
     */
    computeWait(ids: readonly string[]): PermitWait {
        const nowMs = this.options.getNowMs();
        const waits = ids.map((id): PermitWait =>
            this.hasLeader
                ? this.getPool(id).computeWait(nowMs)
                : { remainingMs: this.getPacer(id).computeDelayMs(nowMs), isHeld: true }
        );
        return waits.reduce((best, one) => one.remainingMs < best.remainingMs ? one : best, NO_PERMIT);
    }

    private isLimited(id: string): boolean {
        return this.options.limits.getLimit(id) !== undefined;
    }

    private get hasLeader(): boolean {
        return this.options.getNowMs() - this.leaderHeardMs < LEADER_TIMEOUT_MS;
    }

    private hasPermit(id: string): boolean {
        return this.hasLeader ? this.getPool(id).hasPermit(this.options.getNowMs()) : this.isPacedSendDue(id);
    }

    private getPool(id: string): SendPermitPool {
        const pool = this.pools.get(id) ?? new SendPermitPool();
        this.pools.set(id, pool);
        return pool;
    }

    private isPacedSendDue(id: string): boolean {
        return this.getPacer(id).isDue(this.options.getNowMs());
    }

    private getPacer(id: string): EqualSharePacer {
        const existing = this.pacers.get(id);
        if (existing !== undefined) {
            return existing;
        }
        const { getNowMs, random } = this.options;
        const pacer = new EqualSharePacer(this.createPaceTerms(id), getNowMs(), random());
        this.pacers.set(id, pacer);
        return pacer;
    }

    private createPaceTerms(id: string): { requestsPerSecond: number; entries: number; } {
        const { limits, countEntries } = this.options;
        return { requestsPerSecond: limits.getLimit(id) ?? Number.POSITIVE_INFINITY, entries: countEntries() };
    }

    /** Sends requests to the leader while there is something to request, one at a time. */
    private async requestPermits(): Promise<void> {
        if (this.isRequesting) {
            return;
        }
        this.isRequesting = true;
        let request: SendsParameters | undefined;
        const shouldContinue = (): boolean => {
            request = this.takeRequest();
            return this.isRequesting = request !== undefined;
        };
        await runLoop("permit-request", shouldContinue, async () => {
            if (request !== undefined) {
                await this.sendRequest(request);
            }
            await waitMs(computePermitIntervalMs(this.options.countEntries()));
        });
    }

    private takeRequest(): SendsParameters | undefined {
        const { instance, countEntries } = this.options;
        const wanted = this.takeDemands();
        // A new leader does not know the limits for which permits are requested.
        const limits = this.limitReports.list(wanted.map(({ upstream }) => upstream));
        return wanted.length === 0 && limits.length === 0
            ? undefined
            : { instance, entries: countEntries(), heard: [...limits], wanted };
    }

    private takeDemands(): SendsParameters["wanted"] {
        const nowMs = this.options.getNowMs();
        const horizonMs = computePermitHorizonMs(this.options.countEntries());
        return [...this.pools].flatMap(([id, pool]) => {
            if (pool.isIdle(nowMs)) {
                this.pools.delete(id);
            }
            const wanted = pool.takeDemand(nowMs, horizonMs);
            return wanted === undefined ? [] : [{ upstream: id, count: wanted.count, within_ms: wanted.withinMs }];
        });
    }

    private async sendRequest(request: SendsParameters): Promise<void> {
        try {
            const result = sendsResultSchema.parse(await this.options.askLeader("sends", request));
            if (result.kind === "sends") {
                this.limitReports.recordReported(request.heard);
                this.applyGrants(result);
            }
        }
        catch (error) {
            // Requests that still wait repeat their claims.
            this.options.log.record("info", "sends-not-asked", { reason: String(error) });
        }
        this.pools.forEach((pool) => {
            pool.recordReply();
        });
    }

    private applyGrants({ granted }: Extract<SendsResult, { kind: "sends"; }>): void {
        this.recordLeader();
        const nowMs = this.options.getNowMs();
        granted.filter(({ upstream }) => this.isLimited(upstream)).forEach((one) => {
            this.getPool(one.upstream).applyGrants(one.in_ms, one.next_in_ms, nowMs);
        });
        const permitCount = [...this.pools.values()].reduce((sum, pool) => sum + pool.permitCount, 0);
        this.options.metrics.recordPermitsHeld(permitCount);
    }
}
