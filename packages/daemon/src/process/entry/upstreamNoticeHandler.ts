/**
 * Applies what upstreams say about themselves in their responses: backoff requests, shutdown notices and rate limits.
 */
import { computeRetryIntervalMs, RetryAfterSpreader } from "@crankfork/decisions";
import type { FleetSettings, RateLimitCursor, RateLimitUpdates, RoutedService } from "@crankfork/schemas";
import type { EngineControl } from "../../connection/engineControl.js";
import type { NoticeFunctions, ReceivedResponse } from "../../request/requestFunctions.js";
import type { CallTarget, ResponseVerdict, UpstreamNotice } from "../../request/routedCall.js";
import type { FleetView } from "../../version/fleetView.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { parseReportedLimit } from "../formatReportedLimit.js";
import { createObservedControl } from "../observedControl.js";
import { createBackoffHandlers, UpstreamBackoffs } from "../upstreamBackoffs.js";
import { UpstreamRateLimits } from "../upstreamRateLimits.js";
import { LeavingNotices } from "./leavingNotices.js";
import type { UpstreamHealth } from "./upstreamHealth.js";
import { UpstreamRateLimiter } from "./upstreamRateLimiter.js";

/** Misdirected Request (RFC 9110, section 15.5.20): another upstream than the intended one answered. */
const MISDIRECTED_REQUEST = 421;

/** Dependencies of the notice handler. */
export interface UpstreamNoticeHandlerOptions {
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly countEntries: () => number;
    readonly settings: FleetSettings;
    /** Sends a request to the leader; rejects where no leader is known, or where it does not answer. */
    readonly askLeader: (method: "leaving" | "sends", parameters: object) => Promise<unknown>;
    /** Returns a number from 0 up to, but excluding, 1. */
    readonly random: () => number;
}

/** Handles notices from upstreams. */
export class UpstreamNoticeHandler {
    readonly backoffs: UpstreamBackoffs;
    readonly leaving: LeavingNotices;
    readonly limits: UpstreamRateLimits;
    readonly rateLimiter: UpstreamRateLimiter;
    private knownLimits: RateLimitCursor = { term: 0, change: 0 };
    private readonly retrySchedules = new Map<string, RetryAfterSpreader>();

    /**
     * @param options - upstreams, log and counters
     */
    constructor(private readonly options: UpstreamNoticeHandlerOptions) {
        const { settings } = options;
        this.backoffs = new UpstreamBackoffs(options);
        this.limits = new UpstreamRateLimits({
            ...options,
            handleChange: (id, change, source) => {
                this.rateLimiter.handleChange(id, change, source === "heard");
            },
        });
        this.rateLimiter = new UpstreamRateLimiter({ ...options, instance: settings.instance.id, limits: this.limits });
        this.leaving = new LeavingNotices({
            ...options,
            instance: settings.instance.id,
            drainMs: settings.contract.drain,
        });
    }

    /**
     * Drops the notices of incarnations that have ended.
     * @param isKnown - whether an incarnation is still registered
     */
    prune(isKnown: (id: string) => boolean): void {
        this.backoffs.prune(isKnown);
        this.leaving.prune(isKnown);
        this.limits.prune(isKnown);
    }

    /** The newest limit change of the leader that is applied here. */
    get limitsKnown(): RateLimitCursor {
        return this.knownLimits;
    }

    /**
     * Applies limits reported by the leader. A call without limits still counts as a sign of life of the leader.
     * @param reported - limits that this entry lacked; undefined where there are none
     */
    applyLimits(reported: RateLimitUpdates | undefined): void {
        this.rateLimiter.recordLeader();
        if (reported === undefined) {
            return;
        }
        const { term, change, limits } = reported;
        limits.filter(({ id }) => this.options.view.getUpstream(id) !== undefined).forEach((one) => {
            this.limits.applyReported(one.id, parseReportedLimit(one, this.options.getNowMs()), "leader");
        });
        if (term !== this.knownLimits.term) {
            this.rateLimiter.resendLimits();
        }
        this.knownLimits = { term, change };
    }

    /**
     * Wraps an engine control so that notices in engines' reports are applied, too.
     * @param control - the engine control
     * @returns a control that sends no requests to engines in backoff
     */
    observeControl(control: EngineControl): EngineControl {
        const { backoffs, leaving } = this;
        return createObservedControl(control, {
            ...createBackoffHandlers(backoffs),
            handleLeaving: (id, asked) => {
                leaving.receive(id, asked);
            },
            handleLimit: (id, limit, source) => {
                this.limits.applyNotice(id, limit, source);
            },
            getNowMs: this.options.getNowMs,
        });
    }

    /**
     * Creates the functions that a routed request uses.
     * @returns the functions
     */
    createFunctions(): NoticeFunctions {
        const { backoffs, leaving, rateLimiter } = this;
        return {
            receive: (target, notice, answer) => {
                this.listResting(target, answer.verdict.faultAddress).forEach((id) => {
                    backoffs.applyNotice(id, notice.backoff, answer.requestId);
                });
                this.receiveLeaving(target, notice, answer);
                this.receiveLimit(target, notice, answer);
            },
            maySend: (target) => {
                const upstreams = listPathUpstreams(target);
                return backoffs.maySend(upstreams) && upstreams.every((id) => leaving.canStillAccept(id))
                    && rateLimiter.maySend(target.upstreamId);
            },
            recordSend: (target) => {
                backoffs.recordSend(listPathUpstreams(target));
                // Later engines of a path are called by the engine before them, so they don't count against their
                // limits here.
                rateLimiter.recordSend(target.upstreamId);
            },
            recordOutcome: (target, isServed) => {
                backoffs.recordOutcome(listPathUpstreams(target), isServed);
            },
            computeRetryAfterMs: (service, remainingMs) => this.computeReturnMs(service, remainingMs),
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
        if (leaving === "said" && isFromIntendedUpstream(verdict, status)) {
            this.leaving.receive(target.upstreamId, requestId);
        }
    }

    private receiveLimit(
        { upstreamId }: CallTarget,
        { limit }: UpstreamNotice,
        { verdict, status, requestId, sentMs }: ReceivedResponse,
    ): void {
        if (isFromIntendedUpstream(verdict, status)) {
            this.limits.applyNotice(upstreamId, limit, { asked: requestId, requestSentMs: sentMs, isReport: false });
        }
    }

    /**
     * Lists the upstreams to which a backoff request applies. A response may name another engine on the path as the one
     * at fault, without saying which of the two asked for the backoff; both are then left alone, so that nothing
     * unwanted is sent.
     */
    private listResting(target: CallTarget, faultAddress: string | undefined): readonly string[] {
        const named = faultAddress === undefined ? undefined : this.options.view.findIdByAddress(faultAddress);
        const isNamed = named !== undefined && listPathUpstreams(target).includes(named);
        return isNamed && named !== target.upstreamId ? [target.upstreamId, named] : [target.upstreamId];
    }

    private computeReturnMs(service: RoutedService, remainingMs: number): number {
        const { view, health, countEntries, getNowMs } = this.options;
        const ready = view.listReady(service.name);
        const schedule = this.retrySchedules.get(service.name) ?? new RetryAfterSpreader();
        this.retrySchedules.set(service.name, schedule);
        const gapMs = computeRetryIntervalMs({
            slots: ready.reduce((sum, one) => sum + one.slots, 0),
            answerMs: health.computeTypicalAnswerMs(ready.map(({ id }) => id)),
            entries: countEntries(),
            limits: ready.map(({ id }) => this.limits.getLimit(id)),
        });
        return schedule.assignRetryTime(getNowMs() + remainingMs, gapMs) - getNowMs();
    }
}

/**
 * Only the intended upstream can report a lasting state of its own: a stray response may belong to an earlier
 * incarnation or to another request, and a misdirected one to another upstream that now uses the address.
 */
function isFromIntendedUpstream(verdict: ResponseVerdict, status: number): boolean {
    return verdict.kind !== "stray" && status !== MISDIRECTED_REQUEST;
}

/** Lists the incarnations of all upstreams that a request passes through. */
function listPathUpstreams({ upstreamId, stages }: CallTarget): readonly string[] {
    return stages === undefined || stages.length === 0 ? [upstreamId] : stages.map(({ engine }) => engine.id);
}
