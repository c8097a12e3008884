/**
 * What upstreams say of themselves in their answers, as an entry heeds it.
 */
import { computeReturnGapMs, ReturnOrder } from "@crankfork/decisions";
import type { FleetSettings, LimitsKnown, ReportedLimits, RoutedService } from "@crankfork/schemas";
import type { EngineControl } from "../../connection/engineControl.js";
import type { NoticeFunctions, ReceivedResponse } from "../../request/requestFunctions.js";
import type { CallTarget, ResponseVerdict, UpstreamNotice } from "../../request/routedCall.js";
import type { FleetView } from "../../version/fleetView.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { parseReportedLimit } from "../formatReportedLimit.js";
import { NamedLimits } from "../namedLimits.js";
import { createObservedControl } from "../observedControl.js";
import { createRestFunctions, UpstreamRests } from "../upstreamRests.js";
import { LeavingNotices } from "./leavingNotices.js";
import { LimitSends } from "./limitSends.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** Status of an answer of another upstream than the one that was meant (RFC 9110, section 15.5.20). */
const MISDIRECTED = 421;

/** What the notices need from the process. */
export interface EntryNoticesOptions {
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly countEntries: () => number;
    readonly settings: FleetSettings;
    /** Asks the leader; rejects where there is none, or where it does not answer. */
    readonly askLeader: (method: "leaving" | "sends", parameters: object) => Promise<unknown>;
    /** From 0 up to 1. */
    readonly random: () => number;
}

/** Heeds what upstreams say. */
export class EntryNotices {
    readonly rests: UpstreamRests;
    readonly leaving: LeavingNotices;
    readonly limits: NamedLimits;
    readonly sends: LimitSends;
    private known: LimitsKnown = { term: 0, change: 0 };
    private readonly orders = new Map<string, ReturnOrder>();

    /**
     * @param options - upstreams, log and counters
     */
    constructor(private readonly options: EntryNoticesOptions) {
        const { settings } = options;
        this.rests = new UpstreamRests(options);
        this.limits = new NamedLimits({
            ...options,
            handleChange: (id, change, source) => {
                this.sends.handleChange(id, change, source === "heard");
            },
        });
        this.sends = new LimitSends({ ...options, instance: settings.instance.id, limits: this.limits });
        this.leaving = new LeavingNotices({
            ...options,
            instance: settings.instance.id,
            drainMs: settings.contract.drain,
        });
    }

    /**
     * Forgets what lives that are over have said.
     * @param isKnown - whether a life still counts
     */
    sweep(isKnown: (id: string) => boolean): void {
        this.rests.sweep(isKnown);
        this.leaving.forget(isKnown);
        this.limits.sweep(isKnown);
    }

    /** Up to where this entry knows the limits that the leader knows. */
    get limitsKnown(): LimitsKnown {
        return this.known;
    }

    /**
     * Takes what a leader told; it was heard in any case.
     * @param told - limits that this entry lacked
     */
    applyLimits(told: ReportedLimits | undefined): void {
        this.sends.recordLeader();
        if (told === undefined) {
            return;
        }
        const { term, change, limits } = told;
        limits.filter(({ id }) => this.options.view.getUpstream(id) !== undefined).forEach((one) => {
            this.limits.applyReported(one.id, parseReportedLimit(one, this.options.getNowMs()), "leader");
        });
        if (term !== this.known.term) {
            this.sends.notifyAll();
        }
        this.known = { term, change };
    }

    /**
     * Lets what engines say in their reports count, too.
     * @param control - speaks to engines
     * @returns the same, which asks nothing of engines that rest
     */
    observe(control: EngineControl): EngineControl {
        const { rests, leaving } = this;
        return createObservedControl(control, {
            ...createRestFunctions(rests),
            receiveLeaving: (id, asked) => {
                leaving.receive(id, asked);
            },
            receiveLimit: (id, limit, source) => {
                this.limits.receive(id, limit, source);
            },
            getNowMs: this.options.getNowMs,
        });
    }

    /**
     * Creates what a request needs.
     * @returns the functions
     */
    createFunctions(): NoticeFunctions {
        const { rests, leaving, sends } = this;
        return {
            receive: (target, notice, answer) => {
                this.listAskingForRest(target, answer.verdict.faultAddress).forEach((id) => {
                    rests.receive(id, notice.rest, answer.requestId);
                });
                this.receiveLeaving(target, notice, answer);
                this.receiveLimit(target, notice, answer);
            },
            maySend: (target) => {
                const passed = listPassed(target);
                return rests.maySend(passed) && passed.every((id) => leaving.mayStillTake(id))
                    && sends.maySend(target.upstreamId);
            },
            recordSend: (target) => {
                rests.recordSend(listPassed(target));
                // The later engines of a path get it from the one before them, and not from us.
                sends.recordSend(target.upstreamId);
            },
            recordOutcome: (target, isServed) => {
                rests.recordOutcome(listPassed(target), isServed);
            },
            computeRetryAfterMs: (service, leftMs) => this.computeReturnMs(service, leftMs),
        };
    }

    private receiveLeaving(
        target: CallTarget,
        { leaving }: UpstreamNotice,
        { verdict, status, requestId }: ReceivedResponse,
    ): void {
        if (leaving === "unreadable") {
            this.options.log.record("warn", "upstream-leaving-unreadable", {
                peer: target.upstreamId,
                asked: requestId,
            });
        }
        if (leaving === "said" && isOfMeant(verdict, status)) {
            this.leaving.receive(target.upstreamId, requestId);
        }
    }

    private receiveLimit(
        { upstreamId }: CallTarget,
        { limit }: UpstreamNotice,
        { verdict, status, requestId, sentMs }: ReceivedResponse,
    ): void {
        if (isOfMeant(verdict, status)) {
            this.limits.receive(upstreamId, limit, { asked: requestId, askedMs: sentMs, isReport: false });
        }
    }

    /**
     * An answer may name another engine on the path as the one at fault. Whose rest it is then is not said, so both are left
     * alone: whichever it is, nothing is sent that is not wanted.
     */
    private listAskingForRest(target: CallTarget, faultAddress: string | undefined): readonly string[] {
        const named = faultAddress === undefined ? undefined : this.options.view.findIdAt(faultAddress);
        const isNamed = named !== undefined && listPassed(target).includes(named);
        return isNamed && named !== target.upstreamId ? [target.upstreamId, named] : [target.upstreamId];
    }

    private computeReturnMs(service: RoutedService, leftMs: number): number {
        const { view, health, countEntries, getNowMs } = this.options;
        const ready = view.listReady(service.name);
        const order = this.orders.get(service.name) ?? new ReturnOrder();
        this.orders.set(service.name, order);
        const gapMs = computeReturnGapMs({
            slots: ready.reduce((sum, one) => sum + one.slots, 0),
            answerMs: health.computeUsualAnswerMs(ready.map(({ id }) => id)),
            entries: countEntries(),
            limits: ready.map(({ id }) => this.limits.getLimit(id)),
        });
        return order.take(getNowMs() + leftMs, gapMs) - getNowMs();
    }
}

/**
 * Only the upstream that was meant can say of itself what lasts: a stray answer may be of an earlier life or of another request, and
 * one that was misdirected is another's, who uses the address now.
 */
function isOfMeant(verdict: ResponseVerdict, status: number): boolean {
    return verdict.kind !== "stray" && status !== MISDIRECTED;
}

/** Lives of all upstreams that a request passes. */
function listPassed({ upstreamId, stages }: CallTarget): readonly string[] {
    return stages === undefined || stages.length === 0 ? [upstreamId] : stages.map(({ engine }) => engine.id);
}
