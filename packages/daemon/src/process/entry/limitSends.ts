/**
 * What this entry may send to upstreams that named a limit: single sends that the leader hands out, and an even part of the limit
 * where no leader can be asked. The limit is the upstream's notice to all entries together, so none can keep it by what it
 * sends itself.
 */
import { EvenPace } from "@crankfork/decisions";
import { type SendsParameters, type SendsResult, sendsResultSchema } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { computePermitHorizonMs, computePermitIntervalMs } from "../permitIntervals.js";
import type { LimitChange, UpstreamRateLimits } from "../upstreamRateLimits.js";
import { waitMs } from "../waitMs.js";
import { LimitReport } from "./limitReport.js";
import { SendDemand, type SendsLeft, type SendWish } from "./sendDemand.js";

/** What the sends need from the process. */
export interface LimitSendsOptions {
    readonly instance: string;
    readonly limits: UpstreamRateLimits;
    readonly getNowMs: () => number;
    readonly countEntries: () => number;
    /** From 0 up to 1. */
    readonly random: () => number;
    /** Asks the leader; rejects where there is none, or where it does not answer. */
    readonly askLeader: (method: "sends", parameters: object) => Promise<unknown>;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countSuppressedSend" | "countSendOverLimit" | "recordPermitsHeld">;
}

/** A leader that was not heard for so long may be none; by then a new one is elected. */
const LED_MS = 1_500;
/** Where there is no upstream. */
const NO_SENDS: SendsLeft = { leftMs: Number.POSITIVE_INFINITY, isHeld: false };

/** Keeps sends by the lives of upstreams. */
export class LimitSends {
    private readonly demands = new Map<string, SendDemand>();
    private readonly paces = new Map<string, EvenPace>();
    private readonly telling: LimitReport;
    private heardMs = Number.NEGATIVE_INFINITY;
    private isAsking = false;

    /**
     * @param options - limits, clock and the way to the leader
     */
    constructor(private readonly options: LimitSendsOptions) {
        this.telling = new LimitReport(options.limits, options.getNowMs);
    }

    /** Marks that a leader was heard. */
    recordLeader(): void {
        this.heardMs = this.options.getNowMs();
        this.paces.clear();
    }

    /** Tells a new leader all that was heard here: it counts for itself. */
    notifyAll(): void {
        this.telling.notifyAll();
        void this.ask();
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
            this.demands.delete(id);
        }
        this.paces.delete(id);
        if (isHeardHere) {
            this.telling.add(id);
            void this.ask();
        }
    }

    /**
     * Tells whether a request may be sent now; where not, its wish is told to the leader.
     * @param id - the life of the upstream that it is sent to
     * @param wish - the request
     * @returns false where it has a limit, and no send is left or a more urgent request waits for it
     */
    claimSend(id: string, wish: SendWish): boolean {
        if (!this.isLimited(id)) {
            return true;
        }
        if (!this.isLed) {
            return this.isPaceDue(id);
        }
        const isFree = this.getDemand(id).claim(wish, this.options.getNowMs());
        if (!isFree) {
            void this.ask();
        }
        return isFree;
    }

    /**
     * Takes a request's wishes back: it has ended, and a send for it would be lost.
     * @param request - the request
     */
    withdraw(request: object): void {
        this.demands.forEach((demand) => {
            demand.withdraw(request);
        });
    }

    /**
     * Looked at right before a send, which may be long after its choice.
     * @param id - the life of the upstream that it is sent to
     * @returns false where it has a limit and no send is left; it is counted as kept back
     */
    maySend(id: string): boolean {
        const isFree = !this.isLimited(id) || this.hasSend(id);
        if (!isFree) {
            this.options.metrics.countSuppressedSend();
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
        if (!this.hasSend(id)) {
            this.options.metrics.countSendOverLimit();
        }
        if (this.isLed) {
            this.getDemand(id).recordSend(this.options.getNowMs());
        }
        else {
            this.getPace(id).recordSend(this.createTerms(id), this.options.getNowMs());
        }
    }

    /**
     * Computes how long it takes until one of some upstreams takes a request.
     * @param ids - lives of upstreams that have a limit
     * @returns milliseconds, and whether a send is held here for that time
     */
    computeLeft(ids: readonly string[]): SendsLeft {
        const nowMs = this.options.getNowMs();
        const lefts = ids.map((id): SendsLeft =>
            this.isLed
                ? this.getDemand(id).computeLeft(nowMs)
                : { leftMs: this.getPace(id).computeLeftMs(nowMs), isHeld: true }
        );
        return lefts.reduce((best, one) => one.leftMs < best.leftMs ? one : best, NO_SENDS);
    }

    private isLimited(id: string): boolean {
        return this.options.limits.getLimit(id) !== undefined;
    }

    private get isLed(): boolean {
        return this.options.getNowMs() - this.heardMs < LED_MS;
    }

    private hasSend(id: string): boolean {
        return this.isLed ? this.getDemand(id).hasSend(this.options.getNowMs()) : this.isPaceDue(id);
    }

    private getDemand(id: string): SendDemand {
        const demand = this.demands.get(id) ?? new SendDemand();
        this.demands.set(id, demand);
        return demand;
    }

    private isPaceDue(id: string): boolean {
        return this.getPace(id).isDue(this.options.getNowMs());
    }

    private getPace(id: string): EvenPace {
        const known = this.paces.get(id);
        if (known !== undefined) {
            return known;
        }
        const { getNowMs, random } = this.options;
        const pace = new EvenPace(this.createTerms(id), getNowMs(), random());
        this.paces.set(id, pace);
        return pace;
    }

    private createTerms(id: string): { requestsASecond: number; entries: number; } {
        const { limits, countEntries } = this.options;
        return { requestsASecond: limits.getLimit(id) ?? Number.POSITIVE_INFINITY, entries: countEntries() };
    }

    /** Asks as long as there is something to ask, never twice at a time. */
    private async ask(): Promise<void> {
        if (this.isAsking) {
            return;
        }
        this.isAsking = true;
        for (let question = this.takeQuestion(); question !== undefined; question = this.takeQuestion()) {
            await this.askOnce(question);
            await waitMs(computePermitIntervalMs(this.options.countEntries()));
        }
        this.isAsking = false;
    }

    private takeQuestion(): SendsParameters | undefined {
        const { instance, countEntries } = this.options;
        const wanted = this.takeWanted();
        // A leader that is new knows nothing of the limits that it is to hand out.
        const heard = this.telling.list(wanted.map(({ upstream }) => upstream));
        return wanted.length === 0 && heard.length === 0
            ? undefined
            : { instance, entries: countEntries(), heard: [...heard], wanted };
    }

    private takeWanted(): SendsParameters["wanted"] {
        const nowMs = this.options.getNowMs();
        const horizonMs = computePermitHorizonMs(this.options.countEntries());
        return [...this.demands].flatMap(([id, demand]) => {
            if (demand.isIdle(nowMs)) {
                this.demands.delete(id);
            }
            const wanted = demand.takeWanted(nowMs, horizonMs);
            return wanted === undefined ? [] : [{ upstream: id, count: wanted.count, within_ms: wanted.withinMs }];
        });
    }

    private async askOnce(question: SendsParameters): Promise<void> {
        try {
            const result = sendsResultSchema.parse(await this.options.askLeader("sends", question));
            if (result.kind === "sends") {
                this.telling.recordReported(question.heard);
                this.applyGranted(result);
            }
        }
        catch (error) {
            // What was wanted is wanted again by whoever still waits.
            this.options.log.record("info", "sends-not-asked", { reason: String(error) });
        }
        this.demands.forEach((demand) => {
            demand.recordAnswer();
        });
    }

    private applyGranted({ granted }: Extract<SendsResult, { kind: "sends"; }>): void {
        this.recordLeader();
        const nowMs = this.options.getNowMs();
        granted.filter(({ upstream }) => this.isLimited(upstream)).forEach((one) => {
            this.getDemand(one.upstream).applyGranted(one.in_ms, one.next_in_ms, nowMs);
        });
        const held = [...this.demands.values()].reduce((sum, demand) => sum + demand.heldCount, 0);
        this.options.metrics.recordPermitsHeld(held);
    }
}
