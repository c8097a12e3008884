/**
 * The rates that upstreams named in their answers, by their lives. A limit is between an upstream and all instances together, so it
 * comes from answers to this instance and from what others tell.
 */
import { chooseNewerLimit, type LimitNotice, type ObservedLimit } from "@crankfork/decisions";
import type { EventLog } from "./eventLog.js";
import type { FleetMetrics } from "./fleetMetrics.js";

/** What the limits need from the process. */
export interface NamedLimitsOptions {
    /** The monotonic clock; it counts time asleep. */
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countLimit" | "recordLimits">;
    /** Called when a limit began, changed or ended. */
    readonly handleChange: (id: string, change: LimitChange, source: "heard" | "told") => void;
}

/** What a notice changed. */
export type LimitChange = "begun" | "raised" | "lowered" | "ended";

/** The answer that a notice came with. */
export interface LimitSource {
    /** The request that was answered, or "report"; for the log. */
    readonly asked: string;
    /** Whether it was no request of a caller. */
    readonly isReport: boolean;
    /** When the request left, on the monotonic clock. */
    readonly askedMs: number;
}

/** An end is remembered for so long, so that an older notice that comes late does not begin the limit again. */
const REMEMBERED_MS = 30_000;

/** Keeps limits. */
export class NamedLimits {
    private readonly byId = new Map<string, ObservedLimit>();
    /** Lives whose reports name their limits; of others only answers to requests tell that one is over. */
    private readonly namedInReports = new Set<string>();

    /**
     * @param options - clock, log and counters
     */
    constructor(private readonly options: NamedLimitsOptions) {}

    /**
     * Takes what an answer said; the head of it has just come.
     * @param id - the life that answered
     * @param notice - what it said of a limit
     * @param source - what it answered
     */
    receive(id: string, notice: LimitNotice, { asked, askedMs, isReport }: LimitSource): void {
        if (notice.kind === "unreadable") {
            this.options.log.record("warn", "upstream-limit-unreadable", { peer: id, asked, text: notice.text });
            return;
        }
        if (isReport && notice.kind === "limit") {
            this.namedInReports.add(id);
        }
        // A report may say nothing of limits at all; ending one by that would let everything through until the next answer.
        if (isReport && !this.namedInReports.has(id)) {
            return;
        }
        const requestsASecond = notice.kind === "limit" ? notice.requestsASecond : undefined;
        this.apply(
            id,
            { requestsASecond, requestSentMs: askedMs, responseReceivedMs: this.options.getNowMs() },
            asked,
            "heard",
        );
    }

    /**
     * Takes a limit, or its end, that another instance heard.
     * @param id - the life that said so
     * @param heard - what it said, and when
     * @param teller - the instance that tells it, for the log
     */
    applyReported(id: string, heard: ObservedLimit, teller: string): void {
        this.apply(id, heard, teller, "told");
    }

    private apply(id: string, heard: ObservedLimit, from: string, source: "heard" | "told"): void {
        const known = this.byId.get(id);
        if (known === undefined && heard.requestsASecond === undefined) {
            return;
        }
        const newer = chooseNewerLimit(known, heard);
        this.byId.set(id, newer);
        const change = compareLimits(known?.requestsASecond, newer.requestsASecond);
        if (change !== undefined) {
            this.recordChange(id, change, newer.requestsASecond, from, source);
        }
    }

    /**
     * Gets the limit of an upstream.
     * @param id - one life of it
     * @returns requests a second from all instances together; undefined where it has none
     */
    getLimit(id: string): number | undefined {
        return this.byId.get(id)?.requestsASecond;
    }

    /**
     * Gets what was heard last of an upstream's limit.
     * @param id - one life of it
     * @returns its limit, or the end of one not long ago; undefined where it named none lately
     */
    get(id: string): ObservedLimit | undefined {
        return this.byId.get(id);
    }

    /**
     * Lists the upstreams that have a limit, or had one lately.
     * @returns their lives
     */
    listIds(): readonly string[] {
        return [...this.byId.keys()];
    }

    /**
     * Forgets limits of lives that are over, and ends of limits some time ago.
     * @param isKnown - whether a life still counts
     */
    sweep(isKnown: (id: string) => boolean): void {
        const sinceMs = this.options.getNowMs() - REMEMBERED_MS;
        for (const [id, { requestsASecond, responseReceivedMs: heardMs }] of this.byId) {
            if (!isKnown(id) && requestsASecond !== undefined) {
                this.recordChange(id, "ended", undefined, "its life is over", "told");
            }
            if (!isKnown(id) || (requestsASecond === undefined && heardMs < sinceMs)) {
                this.byId.delete(id);
            }
        }
        [...this.namedInReports].filter((id) => !isKnown(id)).forEach((id) => {
            this.namedInReports.delete(id);
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
        metrics.countLimit(change);
        metrics.recordLimits([...this.byId.values()].filter((one) => one.requestsASecond !== undefined).length);
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
