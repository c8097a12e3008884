/**
 * The leader's side of upstream rate limits: it collects the limits that entries learn from upstreams, distributes them to all
 * entries, and grants send permits.
 */
import { SendSchedule } from "@crankfork/decisions";
import type { RateLimitCursor, RateLimitUpdates, SendsParameters, SendsResult } from "@crankfork/schemas";
import { formatReportedLimit, parseReportedLimit } from "../formatReportedLimit.js";
import type { UpstreamRateLimits } from "../upstreamRateLimits.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** Dependencies of {@link RateLimitCoordinator}. */
export interface RateLimitCoordinatorOptions {
    readonly host: FleetReplicaHost;
    readonly limits: UpstreamRateLimits;
    readonly getNowMs: () => number;
    /** Number of entries this leader has seen within the expiry time. */
    readonly countEntries: () => number;
    /** Number of entries in recent contact; entries that are not may use their even share of a limit meanwhile. */
    readonly countActiveEntries: () => number;
    /** Called when entries have to be notified of a change. */
    readonly handleUpdate: () => void;
}

/** Maximum number of limits per answer, which keeps it below 10 KB; the next answer carries the rest. */
const MAX_LIMITS_PER_ANSWER = 100;
/** How long entries keep using the highest entry count that they were sent. */
const COUNT_EXPIRY_MS = 15_000;
/** Maximum number of permits in one answer for an upstream; an entry with more waiting requests asks again. */
const MAX_PERMITS = 10_000;
/** Maximum number of permits in one answer for all upstreams together. */
const MAX_PERMITS_PER_ANSWER = 100_000;

/** Grants send permits while this instance leads. */
export class RateLimitCoordinator {
    private schedule = new SendSchedule();
    private term = 0;
    private change = 0;
    /** Sequence number of each upstream's last limit change. */
    private readonly changes = new Map<string, number>();
    /** Entry counts that entries reported, with the time of each report. */
    private reportedCounts: { readonly atMs: number; readonly entries: number; }[] = [];

    /**
     * @param options - replica, limits and entries
     */
    constructor(private readonly options: RateLimitCoordinatorOptions) {}

    /**
     * Records that the limit of an upstream changed.
     * @param id - the upstream
     */
    handleLimitChange(id: string): void {
        this.resetOnNewTerm();
        const { limits, getNowMs, handleUpdate } = this.options;
        if (limits.getLimit(id) === undefined) {
            this.schedule.removeUpstream(id);
        }
        else {
            this.schedule.startSchedule(id, getNowMs());
        }
        this.change += 1;
        this.changes.set(id, this.change);
        handleUpdate();
    }

    /**
     * Answers an entry's request for send permits.
     * @param parameters - the limits that the entry learned, and the permits that it wants
     * @returns the granted permits, if this voter leads and holds its lease
     */
    grantPermits(parameters: SendsParameters): SendsResult {
        const { host, limits, getNowMs } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return { kind: "not-leader" };
        }
        this.resetOnNewTerm();
        const nowMs = getNowMs();
        parameters.heard.filter(({ id }) => host.state.getUpstream(id) !== undefined).forEach((reported) => {
            limits.applyReported(reported.id, parseReportedLimit(reported, nowMs), parameters.instance);
        });
        const sharingEntries = this.computeSharingEntries(parameters.entries, nowMs);
        const share = Math.min(1, this.options.countActiveEntries() / sharingEntries);
        let remaining = MAX_PERMITS_PER_ANSWER;
        const granted = parameters.wanted.map(({ upstream, count: wanted, within_ms: withinMs }) => {
            const count = Math.min(wanted, MAX_PERMITS, remaining);
            const requestsPerSecond = limits.getLimit(upstream);
            // The limit has ended: granting every permit lets an entry that still knows it discover this from the upstream's
            // answer.
            const { sendsMs, nextMs } = requestsPerSecond === undefined
                ? { sendsMs: new Array<number>(count).fill(nowMs), nextMs: nowMs }
                : this.schedule.requestSlots({
                    instance: parameters.instance,
                    upstream: { id: upstream, requestsPerSecond },
                    count,
                    limitShare: share,
                    nowMs,
                    withinMs,
                });
            remaining -= sendsMs.length;
            return {
                upstream,
                in_ms: sendsMs.map((sendMs) => Math.round(sendMs - nowMs)),
                next_in_ms: Math.max(0, Math.round(nextMs - nowMs)),
            };
        });
        return { kind: "sends", granted };
    }

    /**
     * Tells whether an entry lacks a limit change.
     * @param known - the last change that the entry knows
     * @returns true if there is something to send
     */
    hasUpdates(known: RateLimitCursor): boolean {
        this.resetOnNewTerm();
        return known.term !== this.term ? this.change > 0 : known.change < this.change;
    }

    /**
     * Lists the limit changes that an entry lacks.
     * @param known - the last change that the entry knows
     * @returns limits and ends of limits, the oldest change first
     */
    listUpdates(known: RateLimitCursor): RateLimitUpdates {
        this.resetOnNewTerm();
        const since = known.term === this.term ? known.change : 0;
        const missing = [...this.changes].filter(([, change]) => change > since)
            .sort(([, one], [, other]) => one - other);
        const sent = missing.slice(0, MAX_LIMITS_PER_ANSWER);
        const nowMs = this.options.getNowMs();
        return {
            term: this.term,
            change: sent.length < missing.length ? sent.at(-1)?.[1] ?? since : this.change,
            limits: sent.flatMap(([id]) => {
                const notice = this.options.limits.get(id);
                return notice === undefined ? [] : [formatReportedLimit(id, notice, nowMs)];
            }),
        };
    }

    /** Drops change records of upstreams whose limit is no longer known. */
    prune(): void {
        for (const id of this.changes.keys()) {
            if (this.options.limits.get(id) === undefined) {
                this.changes.delete(id);
            }
        }
    }

    /**
     * Starts a new schedule in each term. Permits granted by the previous leader may still be in use, and a new schedule grants
     * nothing until one send interval has passed.
     */
    private resetOnNewTerm(): void {
        const { term } = this.options.host.replica.getStatus();
        if (term !== this.term) {
            this.term = term;
            this.schedule = new SendSchedule();
        }
    }

    private computeSharingEntries(reported: number, nowMs: number): number {
        this.reportedCounts = this.reportedCounts.filter(({ atMs, entries }) =>
            nowMs - atMs < COUNT_EXPIRY_MS && entries > reported
        );
        this.reportedCounts.push({ atMs: nowMs, entries: reported });
        return Math.max(1, this.options.countEntries(), ...this.reportedCounts.map(({ entries }) => entries));
    }
}
