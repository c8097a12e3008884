/**
 * Rate limits that upstreams announce in their answers, by incarnation. A limit applies to the requests of all instances
 * together, so it is learned both from answers to this instance and from other instances.
 */
import { chooseNewerLimit, type LimitNotice, type ObservedLimit } from "@crankfork/decisions";
import type { EventLog } from "./eventLog.js";
import type { FleetMetrics } from "./fleetMetrics.js";

/** Dependencies of {@link UpstreamRateLimits}. */
export interface UpstreamRateLimitsOptions {
    /** The monotonic clock; it advances while the machine sleeps. */
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countLimitChange" | "recordLimitCount">;
    /** Called when a limit began, changed or ended. */
    readonly handleChange: (id: string, change: LimitChange, source: "heard" | "told") => void;
}

/** The effect of a notice on the known limit. */
export type LimitChange = "begun" | "raised" | "lowered" | "ended";

/** The exchange whose answer carried a notice. */
export interface LimitSource {
    /** Id of the answered request, or "report"; for the log. */
    readonly asked: string;
    /** Whether the exchange was a report rather than a caller's request. */
    readonly isReport: boolean;
    /** When the request was sent, on the monotonic clock. */
    readonly requestSentMs: number;
}

/** How long the end of a limit is remembered, so that a delayed older notice does not start the limit again. */
const ENDED_LIMIT_RETENTION_MS = 30_000;

/** Tracks the rate limits of upstreams. */
export class UpstreamRateLimits {
    private readonly byId = new Map<string, ObservedLimit>();
    /** Incarnations whose reports carry limits; for others, only answers to requests can show that a limit has ended. */
    private readonly limitsInReports = new Set<string>();

    /**
     * @param options - clock, log and counters
     */
    constructor(private readonly options: UpstreamRateLimitsOptions) {}

    /**
     * Applies the limit notice of an answer, as soon as the answer's head arrives.
     * @param id - the incarnation that answered
     * @param notice - the notice
     * @param source - the exchange
     */
    applyNotice(id: string, notice: LimitNotice, { asked, requestSentMs, isReport }: LimitSource): void {
        if (notice.kind === "unreadable") {
            this.options.log.record("warn", "upstream-limit-unreadable", { peer: id, asked, text: notice.text });
            return;
        }
        if (isReport && notice.kind === "limit") {
            this.limitsInReports.add(id);
        }
        // Some upstreams never name limits in their reports; ending a limit because of such a report would let
        // everything through until the next answer.
        if (isReport && !this.limitsInReports.has(id)) {
            return;
        }
        const requestsPerSecond = notice.kind === "limit" ? notice.requestsPerSecond : undefined;
        this.apply(
            id,
            { requestsPerSecond, requestSentMs, responseReceivedMs: this.options.getNowMs() },
            asked,
            "heard",
        );
    }

    /**
     * Applies a limit, or its end, learned from another instance.
     * @param id - the incarnation that announced it
     * @param heard - the limit and the times of its exchange
     * @param reporter - the instance that reported it, for the log
     */
    applyReported(id: string, heard: ObservedLimit, reporter: string): void {
        this.apply(id, heard, reporter, "told");
    }

    private apply(id: string, heard: ObservedLimit, from: string, source: "heard" | "told"): void {
        const known = this.byId.get(id);
        if (known === undefined && heard.requestsPerSecond === undefined) {
            return;
        }
        const newer = chooseNewerLimit(known, heard);
        this.byId.set(id, newer);
        const change = compareLimits(known?.requestsPerSecond, newer.requestsPerSecond);
        if (change !== undefined) {
            this.recordChange(id, change, newer.requestsPerSecond, from, source);
        }
    }

    /**
     * Gets the rate limit of an upstream.
     * @param id - the upstream's incarnation
     * @returns requests per second of all instances together; undefined if it has no limit
     */
    getLimit(id: string): number | undefined {
        return this.byId.get(id)?.requestsPerSecond;
    }

    /**
     * Gets the latest limit notice of an upstream.
     * @param id - the upstream's incarnation
     * @returns its limit, or the recent end of one; undefined if there is neither
     */
    get(id: string): ObservedLimit | undefined {
        return this.byId.get(id);
    }

    /**
     * Lists the upstreams that have a limit or had one recently.
     * @returns their incarnations
     */
    listIds(): readonly string[] {
        return [...this.byId.keys()];
    }

    /**
     * Removes the limits of ended incarnations and expired records of ended limits.
     * @param isKnown - whether an incarnation is still registered
     */
    prune(isKnown: (id: string) => boolean): void {
        const sinceMs = this.options.getNowMs() - ENDED_LIMIT_RETENTION_MS;
        for (const [id, { requestsPerSecond, responseReceivedMs: heardMs }] of this.byId) {
            if (!isKnown(id) && requestsPerSecond !== undefined) {
                this.recordChange(id, "ended", undefined, "incarnation ended", "told");
            }
            if (!isKnown(id) || (requestsPerSecond === undefined && heardMs < sinceMs)) {
                this.byId.delete(id);
            }
        }
        [...this.limitsInReports].filter((id) => !isKnown(id)).forEach((id) => {
            this.limitsInReports.delete(id);
        });
    }

    private recordChange(
        id: string,
        change: LimitChange,
        limit: number | undefined,
        from: string,
        source: "heard" | "told",
    ): void {
        const { log, metrics, handleChange } = this.options;
        metrics.countLimitChange(change);
        metrics.recordLimitCount([...this.byId.values()].filter((one) => one.requestsPerSecond !== undefined).length);
        log.record("info", "upstream-limit", { peer: id, change, requests_a_second: limit, source, from });
        handleChange(id, change, source);
    }
}

function compareLimits(before: number | undefined, after: number | undefined): LimitChange | undefined {
    if (before === after) {
        return undefined;
    }
    if (before === undefined) {
        return "begun";
    }
    if (after === undefined) {
        return "ended";
    }
    return after > before ? "raised" : "lowered";
}
