/**
 * What this entry may send to upstreams that named a limit: single sends that the leader hands out, and an even part of the limit
 * where no leader can be asked. The limit is the upstream's notice to all entries together, so none can keep it by what it
 * sends itself.
 */
import { EvenPace } from "@crankfork/decisions";
import { type SendsParameters, type SendsResult, sendsResultSchema } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import type { LimitChange, NamedLimits } from "../namedLimits.js";
import { computeAskGapMs, computeHorizonMs } from "../sendIntervals.js";
import { waitMs } from "../waitMs.js";
import { LimitReportQueue } from "./limitReportQueue.js";
import { type PermitClaim, type PermitWait, SendPermitPool } from "./sendPermitPool.js";

/** What the sends need from the process. */
export interface UpstreamRateLimiterOptions {
    readonly instance: string;
    readonly limits: NamedLimits;
    readonly getNowMs: () => number;
    readonly countEntries: () => number;
    /** From 0 up to 1. */
    readonly random: () => number;
    /** Asks the leader; rejects where there is none, or where it does not answer. */
    readonly askLeader: (method: "sends", parameters: object) => Promise<unknown>;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countKeptBack" | "countSendBeyond" | "recordSendsHeld">;
}

/** A leader that was not heard for so long may be none; by then a new one is elected. */
const LEADER_TIMEOUT_MS = 1_500;
/** Where there is no upstream. */
const NO_PERMIT: PermitWait = { leftMs: Number.POSITIVE_INFINITY, isHeld: false };

/** Keeps sends by the lives of upstreams. */
export class UpstreamRateLimiter {
    private readonly pools = new Map<string, SendPermitPool>();
    private readonly pacers = new Map<string, EvenPace>();
    private readonly limitReports: LimitReportQueue;
    private leaderHeardMs = Number.NEGATIVE_INFINITY;
    private isRequesting = false;

    /**
     * @param options - limits, clock and the way to the leader
     */
    constructor(private readonly options: UpstreamRateLimiterOptions) {
        this.limitReports = new LimitReportQueue(options.limits, options.getNowMs);
    }

    /** Marks that a leader was heard. */
    recordLeader(): void {
        this.leaderHeardMs = this.options.getNowMs();
        this.pacers.clear();
    }

    /** Tells a new leader all that was heard here: it counts for itself. */
    resendLimits(): void {
        this.limitReports.queueAll();
        void this.requestPermits();
    }

    /**
     * Takes a change of a limit.
     * @param id - the upstream
     * @param change - what changed
     * @param isHeardHere - whether an answer to this entry told it, so that the leader has to be told
     */
    handleChange(id: string, change: LimitChange, isHeardHere: boolean): void {
        // What was handed out by the limit before would go beyond a lower one.
        if (change !== "raised") {
            this.pools.delete(id);
        }
        this.pacers.delete(id);
        if (isHeardHere) {
            this.limitReports.add(id);
            void this.requestPermits();
        }
    }

    /**
     * Tells whether a request may be sent now; where not, its wish is told to the leader.
     * @param id - the life of the upstream that it is sent to
     * @param wish - the request
     * @returns false where it has a limit, and no send is left or a more urgent request waits for it
     */
    claimPermit(id: string, wish: PermitClaim): boolean {
        if (!this.isLimited(id)) {
            return true;
        }
        if (!this.hasLeader) {
            return this.isPacedSendDue(id);
        }
        const isFree = this.getPool(id).tryClaim(wish, this.options.getNowMs());
        if (!isFree) {
            void this.requestPermits();
        }
        return isFree;
    }

    /**
     * Takes a request's wishes back: it has ended, and a send for it would be lost.
     * @param request - the request
     */
    withdraw(request: object): void {
        this.pools.forEach((demand) => {
            demand.withdraw(request);
        });
    }

    /**
     * Looked at right before a send, which may be long after its choice.
     * @param id - the life of the upstream that it is sent to
     * @returns false where it has a limit and no send is left; it is counted as kept back
     */
    maySend(id: string): boolean {
        const isFree = !this.isLimited(id) || this.hasPermit(id);
        if (!isFree) {
            this.options.metrics.countKeptBack();
        }
        return isFree;
    }

    /**
     * Marks that a request was sent.
     * @param id - the life of the upstream that it is sent to
     */
    recordSend(id: string): void {
        if (!this.isLimited(id)) {
            return;
        }
        if (!this.hasPermit(id)) {
            this.options.metrics.countSendBeyond();
        }
        if (this.hasLeader) {
            this.getPool(id).recordSend(this.options.getNowMs());
        }
        else {
            this.getPacer(id).recordSend(this.createPaceTerms(id), this.options.getNowMs());
        }
    }

    /**
     * Computes how long it takes until one of some upstreams takes a request.
     * @param ids - lives of upstreams that have a limit
     * @returns milliseconds, and whether a send is held here for that time
     */
    computeWait(ids: readonly string[]): PermitWait {
        const nowMs = this.options.getNowMs();
        const lefts = ids.map((id): PermitWait =>
            this.hasLeader
                ? this.getPool(id).computeWait(nowMs)
                : { leftMs: this.getPacer(id).computeLeftMs(nowMs), isHeld: true }
        );
        return lefts.reduce((best, one) => one.leftMs < best.leftMs ? one : best, NO_PERMIT);
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
        const demand = this.pools.get(id) ?? new SendPermitPool();
        this.pools.set(id, demand);
        return demand;
    }

    private isPacedSendDue(id: string): boolean {
        return this.getPacer(id).isDue(this.options.getNowMs());
    }

    private getPacer(id: string): EvenPace {
        const known = this.pacers.get(id);
        if (known !== undefined) {
            return known;
        }
        const { getNowMs, random } = this.options;
        const pace = new EvenPace(this.createPaceTerms(id), getNowMs(), random());
        this.pacers.set(id, pace);
        return pace;
    }

    private createPaceTerms(id: string): { requestsASecond: number; entries: number; } {
        const { limits, countEntries } = this.options;
        return { requestsASecond: limits.getLimit(id) ?? Number.POSITIVE_INFINITY, entries: countEntries() };
    }

    /** Asks as long as there is something to ask, never twice at a time. */
    private async requestPermits(): Promise<void> {
        if (this.isRequesting) {
            return;
        }
        this.isRequesting = true;
        for (let question = this.takeRequest(); question !== undefined; question = this.takeRequest()) {
            await this.sendRequest(question);
            await waitMs(computeAskGapMs(this.options.countEntries()));
        }
        this.isRequesting = false;
    }

    private takeRequest(): SendsParameters | undefined {
        const { instance, countEntries } = this.options;
        const wanted = this.takeWanted();
        // A leader that is new knows nothing of the limits that it is to hand out.
        const heard = this.limitReports.list(wanted.map(({ upstream }) => upstream));
        return wanted.length === 0 && heard.length === 0
            ? undefined
            : { instance, entries: countEntries(), heard: [...heard], wanted };
    }

    private takeWanted(): SendsParameters["wanted"] {
        const nowMs = this.options.getNowMs();
        const horizonMs = computeHorizonMs(this.options.countEntries());
        return [...this.pools].flatMap(([id, demand]) => {
            if (demand.isIdle(nowMs)) {
                this.pools.delete(id);
            }
            const wanted = demand.takeDemand(nowMs, horizonMs);
            return wanted === undefined ? [] : [{ upstream: id, count: wanted.count, within_ms: wanted.withinMs }];
        });
    }

    private async sendRequest(question: SendsParameters): Promise<void> {
        try {
            const result = sendsResultSchema.parse(await this.options.askLeader("sends", question));
            if (result.kind === "sends") {
                this.limitReports.recordReported(question.heard);
                this.applyGrants(result);
            }
        }
        catch (error) {
            // What was wanted is wanted again by whoever still waits.
            this.options.log.record("info", "sends-not-asked", { reason: String(error) });
        }
        this.pools.forEach((demand) => {
            demand.recordReply();
        });
    }

    private applyGrants({ granted }: Extract<SendsResult, { kind: "sends"; }>): void {
        this.recordLeader();
        const nowMs = this.options.getNowMs();
        granted.filter(({ upstream }) => this.isLimited(upstream)).forEach((one) => {
            this.getPool(one.upstream).applyGrants(one.in_ms, one.next_in_ms, nowMs);
        });
        const held = [...this.pools.values()].reduce((sum, demand) => sum + demand.permitCount, 0);
        this.options.metrics.recordSendsHeld(held);
    }
}
