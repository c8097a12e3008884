/**
 * Backoffs that upstreams requested from this instance, by incarnation. A backoff does not make an upstream suspect: if all
 * upstreams of a service are suspected they are used anyway, while nothing is sent if all are backing off. Without it an upstream
 * that rejects requests would have the fewest open ones, and load balancing would send it the most.
 */
import { RetryAfterBackoff, type RetryAfterChange, type RetryAfterNotice } from "@crankfork/decisions";
import type { EventLog } from "./eventLog.js";
import type { FleetMetrics } from "./fleetMetrics.js";
import type { NoticeHandlers } from "./observedControl.js";

/** Dependencies of {@link UpstreamBackoffs}. */
export interface UpstreamBackoffsOptions {
    /** The monotonic clock; it advances while the machine sleeps. */
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countBackoff" | "countSuppressedSend" | "countSendDuringBackoff">;
}

/**
 * Creates the backoff handlers of an observed engine control.
 * @param backoffs - the backoffs of this instance
 * @returns the handlers
 */
export function createBackoffHandlers(backoffs: UpstreamBackoffs): Pick<NoticeHandlers, "handleBackoff" | "maySend"> {
    return {
        handleBackoff: (id, backoff, asked) => {
            backoffs.applyNotice(id, backoff, asked);
        },
        maySend: (id) => backoffs.maySend([id]),
    };
}

/** How long after a backoff its upstream is treated with caution; a burst in the users' days lasts some ten seconds. */
const RECENT_BACKOFF_MS = 30_000;

/** Tracks backoffs. */
export class UpstreamBackoffs {
    private readonly byId = new Map<string, RetryAfterBackoff>();
    /** Incarnations whose backoff has not been logged as ended. */
    private readonly active = new Set<string>();

    /**
     * @param options - clock, log and counters
     */
    constructor(private readonly options: UpstreamBackoffsOptions) {}

    /**
     * Applies the backoff notice of an answer.
     * @param id - the incarnation that answered
     * @param notice - the notice
     * @param asked - the answered request, report or order, for the log
     */
    applyNotice(id: string, notice: RetryAfterNotice, asked: string): void {
        const { getNowMs, log, metrics } = this.options;
        if (notice.kind === "none") {
            return;
        }
        if (notice.kind === "unreadable") {
            log.record("warn", "upstream-rest-unreadable", { peer: id, asked, text: notice.text });
            return;
        }
        const backoff = this.byId.get(id) ?? new RetryAfterBackoff();
        this.byId.set(id, backoff);
        const change = backoff.recordRetryAfter(notice.backoffMs, getNowMs());
        metrics.countBackoff(change);
        this.recordChange(id, change, notice.backoffMs, asked);
    }

    /**
     * Tells whether an upstream is backing off.
     * @param id - the upstream's incarnation
     * @returns true until its backoff ends
     */
    isBackingOff(id: string): boolean {
        return this.byId.get(id)?.isBackingOff(this.options.getNowMs()) === true;
    }

    /**
     * Tells whether an upstream can take another request.
     * @param id - the upstream's incarnation
     * @returns false during its backoff, and during the ramp-up after it while too few of the requests sent have
     * succeeded
     */
    hasCapacity(id: string): boolean {
        return this.byId.get(id)?.canSend(this.options.getNowMs()) ?? true;
    }

    /**
     * Tells whether an upstream backed off recently, and so may do it again if it is overloaded.
     * @param id - the upstream's incarnation
     * @returns true during its backoff and for a while afterwards
     */
    hasBackedOffRecently(id: string): boolean {
        const endsAtMs = this.byId.get(id)?.endsAtMs ?? Number.NEGATIVE_INFINITY;
        return this.options.getNowMs() < endsAtMs + RECENT_BACKOFF_MS;
    }

    /**
     * Computes the time until one of several upstreams takes requests again.
     * @param ids - the upstreams' incarnations
     * @returns milliseconds; 0 if one is not backing off, even if its ramp-up limits it
     */
    computeRemainingMs(ids: readonly string[]): number {
        const nowMs = this.options.getNowMs();
        const ends = ids.map((id) => this.byId.get(id)?.endsAtMs ?? Number.NEGATIVE_INFINITY);
        return Math.max(0, Math.min(...ends) - nowMs);
    }

    /**
     * Lists the upstreams that can take no request, as a cache key.
     * @returns a string that changes only with the set of these upstreams
     */
    formatKey(): string {
        return [...this.byId.keys()].filter((id) => !this.hasCapacity(id)).sort().join(",");
    }

    /**
     * Checks right before a send, which may be long after the upstreams were chosen: a new connection takes up to 0.7 s.
     * @param ids - incarnations of all upstreams on the request's path
     * @returns false if one is backing off; the send is then counted as suppressed
     */
    maySend(ids: readonly string[]): boolean {
        const isSuppressed = ids.some((id) => this.isBackingOff(id));
        if (isSuppressed) {
            this.options.metrics.countSuppressedSend();
        }
        return !isSuppressed;
    }

    /**
     * Records a send.
     * @param ids - incarnations of all upstreams on its path
     */
    recordSend(ids: readonly string[]): void {
        ids.forEach((id) => {
            const backoff = this.byId.get(id);
            backoff?.recordSend();
            if (backoff?.isBackingOff(this.options.getNowMs()) === true) {
                this.options.metrics.countSendDuringBackoff();
            }
        });
    }

    /**
     * Records the outcome of a send.
     * @param ids - incarnations of all upstreams on its path
     * @param isServed - whether it was answered or its stream has begun
     */
    recordOutcome(ids: readonly string[], isServed: boolean): void {
        ids.forEach((id) => {
            const backoff = this.byId.get(id);
            if (isServed) {
                backoff?.recordSuccess();
            }
            else {
                backoff?.releaseSend();
            }
        });
    }

    /**
     * Logs backoffs that have ended, and removes those of ended incarnations: a later incarnation, or another upstream at the
     * same address, has not requested any.
     * @param isKnown - whether an incarnation is still registered
     */
    prune(isKnown: (id: string) => boolean): void {
        for (const [id, backoff] of this.byId) {
            const isOver = !isKnown(id);
            if ((isOver || !this.isBackingOff(id)) && this.active.delete(id)) {
                const end = isOver ? "incarnation ended" : "expired";
                this.options.log.record("info", "upstream-rest", { peer: id, change: "ended", reason: end });
            }
            if (isOver || (backoff.isRampedUp && !this.hasBackedOffRecently(id))) {
                this.byId.delete(id);
            }
        }
    }

    private recordChange(id: string, change: RetryAfterChange, backoffMs: number, asked: string): void {
        if (change !== "unchanged") {
            this.active.add(id);
            this.options.log.record("info", "upstream-rest", { peer: id, change, rest_ms: backoffMs, asked });
        }
    }
}
