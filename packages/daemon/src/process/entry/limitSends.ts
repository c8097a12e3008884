/**
 * What this entry may send to upstreams that named a limit: single sends that the leader hands out, and an even part of the limit
 * where no leader can be asked. The limit is the upstream's word to all entries together, so none can keep it by what it
 * sends itself.
 */
import { EvenPace } from "@crankfork/decisions";
import { type SendsParameters, type SendsResult, sendsResultSchema } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import type { NamedLimits } from "../namedLimits.js";
import { computeAskGapMs, computeHorizonMs } from "../sendIntervals.js";
import { waitMs } from "../waitMs.js";
import { LimitTelling } from "./limitTelling.js";

/** What the sends need from the process. */
export interface LimitSendsOptions {
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

/** A request that wants a send. */
export interface SendWish {
    /** Tells requests apart. */
    readonly request: object;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** For how long it may wait for a send. */
    readonly patienceMs: number;
}

/** When a send may be made. */
interface HeldSend {
    readonly fromMs: number;
    readonly untilMs: number;
}

interface WaitingRequest {
    readonly wish: SendWish;
    readonly sinceMs: number;
    readonly seenMs: number;
}

/** What is wanted of an upstream, and what there is. */
interface Demand {
    /** Requests that have no send, and look for one again and again. */
    readonly waiting: Map<object, WaitingRequest>;
    /** When the leader was asked last. */
    askedMs: number;
    /** Whether its answer is still to come. */
    isAsked: boolean;
    /** Sends made since the leader was asked. */
    made: number;
    held: HeldSend[];
    /** When the leader has the next one for somebody. */
    nextMs: number;
}

/**
 * A send that was not made so long after its time is lost. Shorter, and a request that polls for one, or has a connection to open,
 * misses it; longer, and entries that have few callers save sends up and make them together.
 */
const KEPT_MS = 250;
/** A leader that was not heard for so long may be none; by then a new one is elected. */
const LED_MS = 1_500;
/** Sends made between two questions from which on as many are wanted ahead. */
const LEAST_MADE = 3;
/** Requests that wait at a time from which on others will when these are gone. */
const LEAST_WAITING = 2;
/** A question and its answer are on their way for so long, so that a send comes that much later than was asked. */
const WAY_MS = 20;
/** A waiting request looks again within this time. */
const LOOK_MS = 60;

/** Keeps sends by the lives of upstreams. */
export class LimitSends {
    private readonly demands = new Map<string, Demand>();
    private readonly paces = new Map<string, EvenPace>();
    private readonly telling: LimitTelling;
    private heardMs = Number.NEGATIVE_INFINITY;
    private isAsking = false;

    /**
     * @param options - limits, clock and the way to the leader
     */
    constructor(private readonly options: LimitSendsOptions) {
        this.telling = new LimitTelling(options.limits, options.getNowMs);
    }

    /** Marks that a leader was heard. */
    recordLeader(): void {
        this.heardMs = this.options.getNowMs();
        this.paces.clear();
    }

    /** Tells a new leader all that was heard here: it counts for itself. */
    tellAll(): void {
        this.telling.tellAll();
        void this.ask();
    }

    /**
     * Takes a change of a limit.
     * @param id - the upstream
     * @param isHeardHere - whether an answer to this entry told it, so that the leader has to be told
     */
    handleChange(id: string, isHeardHere: boolean): void {
        // What was handed out by the limit before would go beyond a lower one.
        this.demands.delete(id);
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
    claimsSend(id: string, wish: SendWish): boolean {
        if (!this.isLimited(id)) {
            return true;
        }
        if (!this.isLed) {
            return this.isPaceDue(id);
        }
        const demand = this.getDemand(id);
        const nowMs = this.options.getNowMs();
        if (findUsable(demand, nowMs) !== undefined && !isBehind(demand, wish, nowMs)) {
            demand.waiting.delete(wish.request);
            return true;
        }
        const sinceMs = demand.waiting.get(wish.request)?.sinceMs ?? nowMs;
        demand.waiting.set(wish.request, { wish, sinceMs, seenMs: nowMs });
        void this.ask();
        return false;
    }

    /**
     * Takes a request's wishes back: it has ended, and a send for it would be lost.
     * @param request - the request
     */
    withdraw(request: object): void {
        this.demands.forEach(({ waiting }) => {
            waiting.delete(request);
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
        if (!this.hasSend(id)) {
            this.options.metrics.countSendBeyond();
        }
        if (this.isLed) {
            this.useHeld(this.getDemand(id));
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
    computeLeft(ids: readonly string[]): { readonly leftMs: number; readonly isHeld: boolean; } {
        const nowMs = this.options.getNowMs();
        const lefts = ids.map((id) => this.computeLeftOf(id, nowMs));
        return lefts.reduce((best, one) => one.leftMs < best.leftMs ? one : best, { leftMs: Infinity, isHeld: false });
    }

    private computeLeftOf(id: string, nowMs: number): { leftMs: number; isHeld: boolean; } {
        if (!this.isLed) {
            return { leftMs: this.getPace(id).computeLeftMs(nowMs), isHeld: true };
        }
        const { held, nextMs, waiting, askedMs, isAsked } = this.getDemand(id);
        const next = held.find(({ untilMs }) => untilMs > nowMs);
        if (next !== undefined) {
            return { leftMs: Math.max(0, next.fromMs - nowMs), isHeld: true };
        }
        // What the leader says to those that have just asked is not known yet.
        const isUnknown = isAsked || [...waiting.values()].some(({ sinceMs }) => sinceMs > askedMs);
        return { leftMs: isUnknown ? 0 : Math.max(0, nextMs - nowMs), isHeld: false };
    }

    private isLimited(id: string): boolean {
        return this.options.limits.getLimit(id) !== undefined;
    }

    private get isLed(): boolean {
        return this.options.getNowMs() - this.heardMs < LED_MS;
    }

    private hasSend(id: string): boolean {
        return this.isLed
            ? findUsable(this.getDemand(id), this.options.getNowMs()) !== undefined
            : this.isPaceDue(id);
    }

    private useHeld(demand: Demand): void {
        const usable = findUsable(demand, this.options.getNowMs());
        demand.held = demand.held.filter((one) => one !== usable);
        demand.made += 1;
    }

    private getDemand(id: string): Demand {
        const known = this.demands.get(id);
        if (known !== undefined) {
            return known;
        }
        const demand: Demand = {
            waiting: new Map(),
            askedMs: Number.NEGATIVE_INFINITY,
            isAsked: false,
            made: 0,
            held: [],
            nextMs: 0,
        };
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
            await waitMs(computeAskGapMs(this.options.countEntries()));
        }
        this.isAsking = false;
    }

    private takeQuestion(): SendsParameters | undefined {
        const nowMs = this.options.getNowMs();
        const wanted = [...this.demands].flatMap(([id, demand]) => {
            demand.held = demand.held.filter(({ untilMs }) => untilMs > nowMs);
            // Whoever sends all the time will need as many again; what one that sends now and then gets ahead is lost.
            const waiting = listWaiting(demand, nowMs);
            const next = demand.made >= LEAST_MADE ? demand.made : 0;
            const isSteady = next > 0 || waiting.length >= LEAST_WAITING;
            const count = waiting.length + next - demand.held.length;
            const patienceMs = Math.max(
                0,
                ...waiting.map(({ wish, sinceMs }) => sinceMs + wish.patienceMs - WAY_MS - nowMs),
            );
            const within_ms = isSteady ? computeHorizonMs(this.options.countEntries()) : patienceMs;
            if (waiting.length + demand.made + demand.held.length === 0) {
                this.demands.delete(id);
            }
            demand.made = 0;
            demand.isAsked = count > 0;
            demand.askedMs = nowMs;
            return count > 0 ? [{ upstream: id, count, within_ms }] : [];
        });
        // A leader that is new knows nothing of the limits that it is to hand out.
        const heard = this.telling.list(wanted.map(({ upstream }) => upstream));
        const { instance, countEntries } = this.options;
        return wanted.length === 0 && heard.length === 0
            ? undefined
            : { instance, entries: countEntries(), heard: [...heard], wanted };
    }

    private async askOnce(question: SendsParameters): Promise<void> {
        try {
            const result = sendsResultSchema.parse(await this.options.askLeader("sends", question));
            if (result.kind === "sends") {
                this.telling.recordTold(question.heard);
                this.applyGranted(result);
            }
        }
        catch (error) {
            // What was wanted is wanted again by whoever still waits.
            this.options.log.record("info", "sends-not-asked", { reason: String(error) });
        }
        this.demands.forEach((demand) => {
            demand.isAsked = false;
        });
    }

    private applyGranted({ granted }: Extract<SendsResult, { kind: "sends"; }>): void {
        this.recordLeader();
        const nowMs = this.options.getNowMs();
        granted.filter(({ upstream }) => this.isLimited(upstream)).forEach((one) => {
            const demand = this.getDemand(one.upstream);
            const sends = one.in_ms.map((inMs) => {
                const fromMs = nowMs + Math.max(0, inMs);
                return { fromMs, untilMs: fromMs + KEPT_MS };
            });
            demand.held = [...demand.held, ...sends].sort((left, right) => left.fromMs - right.fromMs);
            demand.nextMs = nowMs + one.next_in_ms;
        });
        const held = [...this.demands.values()].reduce((sum, demand) => sum + demand.held.length, 0);
        this.options.metrics.recordSendsHeld(held);
    }
}

function findUsable({ held }: Demand, nowMs: number): HeldSend | undefined {
    return held.find(({ fromMs, untilMs }) => fromMs <= nowMs && nowMs < untilMs);
}

/** Whether a more urgent request waits for the same. */
function isBehind(demand: Demand, { request, priority }: SendWish, nowMs: number): boolean {
    return listWaiting(demand, nowMs).some(({ wish }) => wish.request !== request && wish.priority < priority);
}

/** Those that have not looked again are served elsewhere, refused or gone. */
function listWaiting({ waiting }: Demand, nowMs: number): readonly WaitingRequest[] {
    for (const [request, { seenMs }] of waiting) {
        if (nowMs - seenMs > LOOK_MS) {
            waiting.delete(request);
        }
    }
    return [...waiting.values()];
}
