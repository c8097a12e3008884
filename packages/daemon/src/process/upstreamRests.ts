/**
 * Upstreams that asked this instance for rest, by their lives. A rest says nothing against an upstream, so it is kept apart from
 * suspicions: where all upstreams of a service are suspected they are used all the same, where all rest nothing is sent.
 * Without it whoever turns requests away looks idle, and gets the most.
 */
import { RetryAfterBackoff, type RetryAfterChange, type RetryAfterNotice } from "@crankfork/decisions";
import type { EventLog } from "./eventLog.js";
import type { FleetMetrics } from "./fleetMetrics.js";
import type { HeedingFunctions } from "./observedControl.js";

/** What the rests need from the process. */
export interface UpstreamRestsOptions {
    /** The monotonic clock; it counts time asleep. */
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countRest" | "countKeptBack" | "countSendDuringRest">;
}

/**
 * Creates what whoever speaks to engines needs.
 * @param rests - the rests of this instance
 * @returns the functions
 */
export function createRestFunctions(rests: UpstreamRests): Pick<HeedingFunctions, "receiveRest" | "maySend"> {
    return {
        receiveRest: (id, rest, asked) => {
            rests.receive(id, rest, asked);
        },
        maySend: (id) => rests.maySend([id]),
    };
}

/** After a rest its upstream is treated with care for so long: a burst of the users' days lasts some ten seconds. */
const REMEMBERED_MS = 30_000;

/** Keeps rests. */
export class UpstreamRests {
    private readonly byId = new Map<string, RetryAfterBackoff>();
    /** Lives whose end of rest was not written yet. */
    private readonly unended = new Set<string>();

    /**
     * @param options - clock, log and counters
     */
    constructor(private readonly options: UpstreamRestsOptions) {}

    /**
     * Takes what an answer said.
     * @param id - the life that answered
     * @param notice - what it said of rest
     * @param asked - the request, report or order that it answered, for the log
     */
    receive(id: string, notice: RetryAfterNotice, asked: string): void {
        const { getNowMs, log, metrics } = this.options;
        if (notice.kind === "none") {
            return;
        }
        if (notice.kind === "unreadable") {
            log.record("warn", "upstream-rest-unreadable", { peer: id, asked, text: notice.text });
            return;
        }
        const rest = this.byId.get(id) ?? new RetryAfterBackoff();
        this.byId.set(id, rest);
        const change = rest.recordRetryAfter(notice.restMs, getNowMs());
        metrics.countRest(change);
        this.recordChange(id, change, notice.restMs, asked);
    }

    /**
     * Tells whether an upstream rests.
     * @param id - one life of it
     * @returns true until the end of its rest
     */
    isResting(id: string): boolean {
        return this.byId.get(id)?.isBackingOff(this.options.getNowMs()) === true;
    }

    /**
     * Tells whether a request may go to an upstream.
     * @param id - one life of it
     * @returns false while it rests, or while as many are on their way since its rest as it takes
     */
    hasRoom(id: string): boolean {
        return this.byId.get(id)?.canSend(this.options.getNowMs()) ?? true;
    }

    /**
     * Tells whether an upstream asked for rest lately, so that it will again where it gets too much.
     * @param id - one life of it
     * @returns true during its rest and for a while after it
     */
    hasAskedLately(id: string): boolean {
        const endsAtMs = this.byId.get(id)?.endsAtMs ?? Number.NEGATIVE_INFINITY;
        return this.options.getNowMs() < endsAtMs + REMEMBERED_MS;
    }

    /**
     * Gets how long it takes until one of some upstreams takes a request again.
     * @param ids - lives of upstreams
     * @returns milliseconds; 0 where one does not rest, and is only full
     */
    computeLeftMs(ids: readonly string[]): number {
        const nowMs = this.options.getNowMs();
        const ends = ids.map((id) => this.byId.get(id)?.endsAtMs ?? Number.NEGATIVE_INFINITY);
        return Math.max(0, Math.min(...ends) - nowMs);
    }

    /**
     * Names the upstreams to which nothing may go.
     * @returns a text that is equal as long as they are the same
     */
    format(): string {
        return [...this.byId.keys()].filter((id) => !this.hasRoom(id)).sort().join(",");
    }

    /**
     * Looked at right before a send, which may be long after its choice: a new connection takes up to 0.7 s.
     * @param ids - lives of all upstreams that the request passes
     * @returns false where one of them rests; the send is counted as kept back
     */
    maySend(ids: readonly string[]): boolean {
        const isKeptBack = ids.some((id) => this.isResting(id));
        if (isKeptBack) {
            this.options.metrics.countKeptBack();
        }
        return !isKeptBack;
    }

    /**
     * Marks that something was sent.
     * @param ids - lives of all upstreams that it passes
     */
    recordSend(ids: readonly string[]): void {
        ids.forEach((id) => {
            const rest = this.byId.get(id);
            rest?.recordSend();
            if (rest?.isBackingOff(this.options.getNowMs()) === true) {
                this.options.metrics.countSendDuringRest();
            }
        });
    }

    /**
     * Marks how something that was sent came out.
     * @param ids - lives of all upstreams that it passed
     * @param isServed - whether it is answered, or its stream has begun
     */
    recordOutcome(ids: readonly string[], isServed: boolean): void {
        ids.forEach((id) => {
            const rest = this.byId.get(id);
            if (isServed) {
                rest?.recordSuccess();
            }
            else {
                rest?.releaseSend();
            }
        });
    }

    /**
     * Writes which rests have ended, and forgets those of lives that are over: a later life, or another upstream at the same
     * address, has not asked for any.
     * @param isKnown - whether a life still counts
     */
    sweep(isKnown: (id: string) => boolean): void {
        for (const [id, rest] of this.byId) {
            const isOver = !isKnown(id);
            if ((isOver || !this.isResting(id)) && this.unended.delete(id)) {
                const end = isOver ? "its life is over" : "its time is over";
                this.options.log.record("info", "upstream-rest", { peer: id, change: "ended", reason: end });
            }
            if (isOver || (rest.isRampedUp && !this.hasAskedLately(id))) {
                this.byId.delete(id);
            }
        }
    }

    private recordChange(id: string, change: RetryAfterChange, restMs: number, asked: string): void {
        if (change !== "unchanged") {
            this.unended.add(id);
            this.options.log.record("info", "upstream-rest", { peer: id, change, rest_ms: restMs, asked });
        }
    }
}
