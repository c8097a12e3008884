/**
 * The leader's part in keeping the limits that upstreams named: it hears of them from entries, tells them to all, and hands out the
 * sends.
 */
import { SendSchedule } from "@crankfork/decisions";
import type { RateLimitCursor, RateLimitUpdates, SendsParameters, SendsResult } from "@crankfork/schemas";
import { formatReportedLimit, parseReportedLimit } from "../formatReportedLimit.js";
import type { NamedLimits } from "../namedLimits.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** What the keeper needs from the process. */
export interface LimitKeeperOptions {
    readonly host: FleetReplicaHost;
    readonly limits: NamedLimits;
    readonly getNowMs: () => number;
    /** Entries that this leader heard of lately. */
    readonly countEntries: () => number;
    /** Those of them that are in touch: no other uses its even part of a limit meanwhile. */
    readonly countInTouch: () => number;
    /** Called when entries are to be told. */
    readonly handleNews: () => void;
}

/** Limits told in one answer, at the most: it stays below 10 KB, and the next one has the rest. */
const MOST_TOLD = 100;
/** As long as entries believe the highest number that they were told. */
const COUNT_MEMORY_MS = 15_000;

/** Hands out sends while this instance leads. */
export class LimitKeeper {
    private schedule = new SendSchedule();
    private term = 0;
    private change = 0;
    /** At which change each limit came. */
    private readonly changes = new Map<string, number>();
    /** Numbers of entries that entries believe in, and when they said so. */
    private counts: { readonly atMs: number; readonly entries: number; }[] = [];

    /**
     * @param options - replica, limits and entries
     */
    constructor(private readonly options: LimitKeeperOptions) {}

    /**
     * Takes a change of a limit.
     * @param id - the upstream
     */
    handleChange(id: string): void {
        this.followTerm();
        const { limits, getNowMs, handleNews } = this.options;
        if (limits.getLimit(id) === undefined) {
            this.schedule.removeUpstream(id);
        }
        else {
            this.schedule.startSchedule(id, getNowMs());
        }
        this.change += 1;
        this.changes.set(id, this.change);
        handleNews();
    }

    /**
     * Answers an entry that wants to send.
     * @param parameters - what it heard and could use
     * @returns the sends that it gets, from a leader that holds its lease
     */
    answer(parameters: SendsParameters): SendsResult {
        const { host, limits, getNowMs } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return { kind: "not-leader" };
        }
        this.followTerm();
        const nowMs = getNowMs();
        parameters.heard.filter(({ id }) => host.state.getUpstream(id) !== undefined).forEach((told) => {
            limits.applyReported(told.id, parseReportedLimit(told, nowMs), parameters.instance);
        });
        const known = this.countKnown(parameters.entries, nowMs);
        const share = Math.min(1, this.options.countInTouch() / known);
        const granted = parameters.wanted.map(({ upstream, count, within_ms: withinMs }) => {
            const requestsASecond = limits.getLimit(upstream);
            // Where it has no limit any more, whoever still believes in one finds out by sending.
            const { sendsMs, nextMs } = requestsASecond === undefined
                ? { sendsMs: new Array<number>(count).fill(nowMs), nextMs: nowMs }
                : this.schedule.requestSlots({
                    instance: parameters.instance,
                    upstream: { id: upstream, requestsASecond },
                    count,
                    limitShare: share,
                    nowMs,
                    withinMs,
                });
            return {
                upstream,
                in_ms: sendsMs.map((sendMs) => Math.round(sendMs - nowMs)),
                next_in_ms: Math.max(0, Math.round(nextMs - nowMs)),
            };
        });
        return { kind: "sends", granted };
    }

    /**
     * Tells whether an entry lacks a limit.
     * @param known - up to where it knows them
     * @returns true where there is something to tell
     */
    hasNews(known: RateLimitCursor): boolean {
        this.followTerm();
        return known.term !== this.term ? this.change > 0 : known.change < this.change;
    }

    /**
     * Lists the limits that an entry lacks.
     * @param known - up to where it knows them
     * @returns limits and ends of limits, the oldest change first
     */
    listNews(known: RateLimitCursor): RateLimitUpdates {
        this.followTerm();
        const since = known.term === this.term ? known.change : 0;
        const lacked = [...this.changes].filter(([, change]) => change > since)
            .sort(([, one], [, other]) => one - other);
        const told = lacked.slice(0, MOST_TOLD);
        const nowMs = this.options.getNowMs();
        return {
            term: this.term,
            change: told.length < lacked.length ? told.at(-1)?.[1] ?? since : this.change,
            limits: told.flatMap(([id]) => {
                const heard = this.options.limits.get(id);
                return heard === undefined ? [] : [formatReportedLimit(id, heard, nowMs)];
            }),
        };
    }

    /** Forgets changes of limits that nothing is known of any more. */
    sweep(): void {
        for (const id of this.changes.keys()) {
            if (this.options.limits.get(id) === undefined) {
                this.changes.delete(id);
            }
        }
    }

    /**
     * What an earlier leader handed out may still be used for a moment, so nothing is handed out anew for the time of one send:
     * a schedule begins with that.
     */
    private followTerm(): void {
        const { term } = this.options.host.replica.getStatus();
        if (term !== this.term) {
            this.term = term;
            this.schedule = new SendSchedule();
        }
    }

    private countKnown(told: number, nowMs: number): number {
        this.counts = this.counts.filter(({ atMs, entries }) => nowMs - atMs < COUNT_MEMORY_MS && entries > told);
        this.counts.push({ atMs: nowMs, entries: told });
        return Math.max(1, this.options.countEntries(), ...this.counts.map(({ entries }) => entries));
    }
}
