/**
 * Passive health checks: what this entry's own traffic shows of upstreams, such as load, latency and recent failures.
 */
import { MAX_REPORTED_RANKS, type UpstreamLoads } from "@crankfork/schemas";
import type { UpstreamLoad } from "../sumLoads.js";

/** Health of one upstream. */
interface Health {
    open: number;
    /** Open requests without a first token. */
    unstarted: number;
    /** Open requests by rank; empty before the first request of a ranked service. */
    readonly openByRank: number[];
    readonly unstartedByRank: number[];
    /** Tokens that open requests to an engine hold on average. */
    tokens: number;
    /** Moving average of the response time; undefined before the first response. */
    answerMs: number | undefined;
    /** Moving average of the failure rate, from 0 to 1. */
    failures: number;
    /** Time of the last response or failure. */
    lastOutcomeMs: number;
    /** Half-life of the evidence against the upstream. */
    halfLifeMs: number;
    /** Typical response time of its service when the upstream was last scored. */
    typicalMs: number;
    suspectUntilMs: number;
    /** End of the backoff after a declined request. */
    declinedUntilMs: number;
    /** Time until which the upstream is considered down by what this entry saw. */
    downUntilMs: number;
    /** Time until which the upstream is considered down because the leader named it. */
    namedUntilMs: number;
    suspicionCount: number;
}

/** Weight of the newest sample in a moving average. */
const SMOOTHING_FACTOR = 0.2;
/** Exclusion time after a first failure; it doubles with each further failure. */
const MIN_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 6_000;
/** Backoff after an upstream declined for lack of capacity: with 60 streams of 3 s each, one ends every 50 ms. */
const DECLINE_BACKOFF_MS = 100;
/**
 * How long an upstream is considered down after evidence of it. Covers the time for an engine report to arrive or time
 * out (350 ms) and the leader's own check; by then the voters have informed all entries.
 */
const DOWN_MS = 1_000;
/** Weight of the failure rate in the score: a failure counts as this many typical response times. */
const FAILURE_WEIGHT = 8;
/**
 * Response time assumed where no upstream of a service has responded yet; only its being equal for all of them matters.
 */
const DEFAULT_ANSWER_MS = 50;
/**
 * Half-life of the evidence against an upstream while it gives no response. Without decay, an upstream with a bad score
 * would get no requests under low load, and so no response that could show its recovery.
 */
const MIN_HALF_LIFE_MS = 1_000;
/**
 * Growth of the half-life after an upstream failed its next trial, so that one with a permanent fault costs few
 * requests.
 */
const HALF_LIFE_GROWTH = 4;
const MAX_HALF_LIFE_MS = 16_000;
/** A response that takes this multiple of the typical time counts as bad. */
const SLOW_FACTOR = 2;

/** Tracks the health of upstreams by id. */
export class UpstreamHealth {
    private readonly byId = new Map<string, Health>();
    private readonly unreportedSuspects = new Set<string>();
    private readonly unreportedDeclines = new Set<string>();
    /** Upstreams that the leader's last answer named. */
    private named: readonly string[] = [];

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Records that a request is sent to an upstream.
     * @param id - the upstream
     * @param rank - rank of the request; undefined for a service that is not ranked
     * @param tokens - for an engine, tokens that the request holds on average
     */
    recordRequestStart(id: string, rank?: number, tokens = 0): void {
        const health = this.get(id);
        health.tokens += tokens;
        health.open += 1;
        health.unstarted += 1;
        addToRank(health.openByRank, rank, 1);
        addToRank(health.unstartedByRank, rank, 1);
    }

    /**
     * Records that a request received its first token, or ended without one.
     * @param id - the upstream
     * @param rank - its rank, as at its start
     */
    recordFirstToken(id: string, rank?: number): void {
        const health = this.get(id);
        health.unstarted = Math.max(0, health.unstarted - 1);
        addToRank(health.unstartedByRank, rank, -1);
    }

    /**
     * Records that a request to an upstream ended.
     * @param id - the upstream
     * @param rank - its rank, as at its start
     * @param tokens - as at its start
     */
    recordEnd(id: string, rank?: number, tokens = 0): void {
        const health = this.get(id);
        health.tokens = Math.max(0, health.tokens - tokens);
        health.open = Math.max(0, health.open - 1);
        addToRank(health.openByRank, rank, -1);
    }

    /**
     * Records the outcome of a request.
     * @param id - the upstream
     * @param durationMs - time until the response or failure
     * @param isFailure - whether the upstream failed
     */
    recordAnswer(id: string, durationMs: number, isFailure: boolean): void {
        const health = this.get(id);
        // A fast failure must not lower the average response time: an upstream that rejected everything within a
        // millisecond would score best, even if it never served a request, and take traffic from the others.
        const weight = this.computeEvidenceWeight(health);
        if (!isFailure || durationMs > (health.answerMs ?? Number.POSITIVE_INFINITY)) {
            health.answerMs = updateAverage(health.answerMs ?? durationMs, durationMs, weight);
        }
        health.failures = updateAverage(health.failures * weight, isFailure ? 1 : 0, weight);
        if (!isFailure) {
            health.suspicionCount = 0;
        }
        health.halfLifeMs = computeHalfLifeMs(health, weight, isFailure || durationMs > SLOW_FACTOR * health.typicalMs);
        health.lastOutcomeMs = this.getNowMs();
    }

    /**
     * Excludes an upstream for a while, because it did not respond or another upstream named it as faulty.
     * @param id - the upstream
     */
    suspect(id: string): void {
        const health = this.get(id);
        const suspicionMs = Math.min(MAX_SUSPICION_MS, MIN_SUSPICION_MS * 2 ** health.suspicionCount);
        if (health.suspectUntilMs < this.getNowMs()) {
            health.suspicionCount += 1;
        }
        health.suspectUntilMs = this.getNowMs() + suspicionMs;
        health.downUntilMs = this.getNowMs() + Math.min(suspicionMs, DOWN_MS);
        const weight = this.computeEvidenceWeight(health);
        health.failures = updateAverage(health.failures * weight, 1, weight);
        health.lastOutcomeMs = this.getNowMs();
        this.unreportedSuspects.add(id);
        this.unreportedDeclines.delete(id);
    }

    /**
     * Excludes an upstream for some time, without counting another failure.
     * @param id - the upstream
     * @param durationMs - from now, in milliseconds
     */
    exclude(id: string, durationMs: number): void {
        const health = this.get(id);
        const untilMs = this.getNowMs() + durationMs;
        health.suspectUntilMs = Math.max(health.suspectUntilMs, untilMs);
        health.downUntilMs = Math.max(health.downUntilMs, untilMs);
    }

    /**
     * Ends the exclusion of an upstream that has been seen to work.
     * @param id - the upstream
     */
    clearSuspicion(id: string): void {
        const health = this.get(id);
        health.suspectUntilMs = 0;
        health.downUntilMs = 0;
        health.suspicionCount = 0;
        this.unreportedSuspects.delete(id);
    }

    /** Drops all evidence of failures, because this entry's own links caused them. */
    clearFailures(): void {
        this.byId.forEach((health) => {
            health.suspectUntilMs = 0;
            health.downUntilMs = 0;
            health.suspicionCount = 0;
            health.failures = 0;
        });
        this.unreportedSuspects.clear();
    }

    /**
     * Skips an upstream for a moment after it declined for lack of capacity. This is not a failure: engines decline
     * while their memory is full. To exclude an engine that half of all paths share for seconds would move its load to
     * the others, which would decline in turn.
     * @param id - the upstream
     * @returns false where it was skipped already
     */
    recordDecline(id: string): boolean {
        const health = this.get(id);
        const isNew = health.declinedUntilMs <= this.getNowMs();
        health.declinedUntilMs = this.getNowMs() + DECLINE_BACKOFF_MS;
        return isNew;
    }

    /**
     * Considers an upstream down until there is newer information: a response named it as the cause of a failure, or
     * other entries suspect it.
     * @param id - the upstream
     * @param isOwn - whether it declined a request of this entry, which is reported to the leader
     * @param isSuspected - whether that is reported as a suspicion
     */
    markDown(id: string, isOwn: boolean, isSuspected: boolean = false): void {
        const untilMs = this.getNowMs() + DOWN_MS;
        if (isOwn) {
            this.get(id).downUntilMs = untilMs;
            (isSuspected ? this.unreportedSuspects : this.unreportedDeclines).add(id);
        }
        else {
            this.get(id).namedUntilMs = untilMs;
        }
    }

    /**
     * Applies the list of upstreams that the leader considers down. One that is no longer listed has answered the
     * leader, or its loss is part of the leader's state.
     * @param ids - the upstreams
     * @param mayClear - whether the mark of one that is no longer listed is dropped before it expires; by default it is
     */
    applyNamed(ids: readonly string[], mayClear: (id: string) => boolean = () => true): void {
        this.named.filter((id) => !ids.includes(id) && mayClear(id)).forEach((id) => {
            this.get(id).namedUntilMs = 0;
        });
        ids.forEach((id) => {
            this.markDown(id, false);
        });
        this.named = ids;
    }

    /**
     * Considers an upstream up again, after it responded.
     * @param id - the upstream
     */
    clearDown(id: string): void {
        const health = this.get(id);
        health.downUntilMs = 0;
        health.namedUntilMs = 0;
    }

    /**
     * Checks whether an upstream is considered down.
     * @param id - the upstream
     * @returns true for a limited time after evidence of it
     */
    isDown(id: string): boolean {
        const health = this.byId.get(id);
        return health !== undefined && getDownUntilMs(health) > this.getNowMs();
    }

    /**
     * Formats the upstreams that are considered down.
     * @returns a cache key that changes with the set of them
     */
    formatDown(): string {
        return [...this.byId.keys()].filter((id) => this.isDown(id)).sort().join(",");
    }

    /**
     * Checks whether requests may be sent to an upstream.
     * @param id - the upstream
     * @returns false while it is excluded
     */
    isUsable(id: string): boolean {
        const health = this.byId.get(id);
        return health === undefined || !isExcluded(health, this.getNowMs());
    }

    /**
     * Formats the upstreams that are excluded now.
     * @returns a cache key that changes with the set of them
     */
    formatExcluded(): string {
        const nowMs = this.getNowMs();
        return [...this.byId].filter(([, health]) => isExcluded(health, nowMs)).map(([id]) => id).sort().join(",");
    }

    /**
     * Removes and returns the upstreams that failed since the last call, for the report to the leader.
     * @returns their ids
     */
    takeSuspects(): readonly string[] {
        const ids = [...this.unreportedSuspects];
        this.unreportedSuspects.clear();
        return ids;
    }

    /**
     * Removes and returns the upstreams that declined requests since the last call, for the report to the leader.
     * @returns their ids, without those that are reported as failed
     */
    takeDeclined(): readonly string[] {
        const ids = [...this.unreportedDeclines];
        this.unreportedDeclines.clear();
        return ids;
    }

    /**
     * Gets the load of this entry at an upstream.
     * @param id - the upstream
     * @returns open requests
     */
    getLoad(id: string): UpstreamLoad {
        const health = this.byId.get(id);
        return health === undefined ? { open: 0, unstarted: 0 } : createLoad(health);
    }

    /**
     * Lists the load of this entry.
     * @returns open requests by upstream, without idle upstreams
     */
    listLoads(): UpstreamLoads {
        const busy = [...this.byId].filter(([, { open }]) => open > 0);
        return Object.fromEntries(busy.map(([id, health]) => [id, createLoad(health)]));
    }

    /**
     * Computes the cost of one more request at an upstream; lower is better.
     * @param id - the upstream
     * @param remoteOpen - requests that other entries have open there
     * @param typicalMs - typical response time of its service, assumed for an upstream that has not responded yet: with
     * a fixed default it would get no request where others are faster, and nearly all where they are slower
     * @returns expected time, with failures counted as time
     */
    computeScore(id: string, remoteOpen: number, typicalMs: number): number {
        const health = this.byId.get(id);
        if (health === undefined) {
            return (1 + remoteOpen) * typicalMs;
        }
        health.typicalMs = typicalMs;
        const weight = this.computeEvidenceWeight(health);
        const { open, answerMs = typicalMs, failures } = health;
        const ratedMs = answerMs > typicalMs ? typicalMs + (answerMs - typicalMs) * weight : answerMs;
        return (1 + open + remoteOpen) * ratedMs * (1 + FAILURE_WEIGHT * failures * weight);
    }

    /** Weight of the evidence against an upstream: 1 right after a response, decaying towards 0 without one. */
    private computeEvidenceWeight({ lastOutcomeMs, halfLifeMs }: Health): number {
        return 0.5 ** ((this.getNowMs() - lastOutcomeMs) / halfLifeMs);
    }

    /**
     * Computes the typical response time of a service.
     * @param ids - its upstreams
     * @returns the median of their averages; a default where none has responded
     */
    computeTypicalAnswerMs(ids: readonly string[]): number {
        const averages = ids.flatMap((id) => this.byId.get(id)?.answerMs ?? []).sort((one, other) => one - other);
        return averages[Math.floor(averages.length / 2)] ?? DEFAULT_ANSWER_MS;
    }

    /**
     * Computes the mean time of requests at upstreams.
     * @param ids - the upstreams
     * @returns milliseconds, or undefined where none has answered
     */
    computeMeanAnswerMs(ids: readonly string[]): number | undefined {
        const averages = ids.flatMap((id) => this.byId.get(id)?.answerMs ?? []);
        return averages.length === 0 ? undefined : averages.reduce((sum, one) => sum + one, 0) / averages.length;
    }

    /**
     * Removes upstreams that are no longer registered.
     * @param isKnown - whether an upstream is registered
     */
    prune(isKnown: (id: string) => boolean): void {
        for (const [id, { open }] of this.byId) {
            if (open === 0 && !isKnown(id)) {
                this.byId.delete(id);
            }
        }
    }

    private get(id: string): Health {
        const existing = this.byId.get(id);
        if (existing !== undefined) {
            return existing;
        }
        const health: Health = {
            open: 0,
            unstarted: 0,
            openByRank: [],
            unstartedByRank: [],
            tokens: 0,
            answerMs: undefined,
            failures: 0,
            lastOutcomeMs: this.getNowMs(),
            halfLifeMs: MIN_HALF_LIFE_MS,
            typicalMs: Number.POSITIVE_INFINITY,
            suspectUntilMs: 0,
            declinedUntilMs: 0,
            downUntilMs: 0,
            namedUntilMs: 0,
            suspicionCount: 0,
        };
        this.byId.set(id, health);
        return health;
    }
}

/** Ranks without requests at the end are left out of the report, and with them all where there are none. */
function createLoad({ open, unstarted, openByRank, unstartedByRank, tokens }: Health): UpstreamLoad {
    const unstarted_by_rank = trimZeros(unstartedByRank);
    const open_by_rank = trimZeros(openByRank);
    return {
        open,
        unstarted,
        ...(tokens === 0 ? {} : { tokens }),
        ...(unstarted_by_rank.length === 0 ? {} : { unstarted_by_rank }),
        ...(open_by_rank.length === 0 ? {} : { open_by_rank }),
    };
}

function trimZeros(counts: readonly number[]): number[] {
    return counts.slice(0, counts.findLastIndex((count) => count > 0) + 1);
}

function addToRank(counts: number[], rank: number | undefined, change: number): void {
    if (rank === undefined) {
        return;
    }
    const index = Math.min(rank, MAX_REPORTED_RANKS - 1);
    while (counts.length <= index) {
        counts.push(0);
    }
    counts[index] = Math.max(0, (counts[index] ?? 0) + change);
}

function getDownUntilMs({ downUntilMs, namedUntilMs }: Health): number {
    return Math.max(downUntilMs, namedUntilMs);
}

function isExcluded(health: Health, nowMs: number): boolean {
    return Math.max(health.suspectUntilMs, health.declinedUntilMs, getDownUntilMs(health)) > nowMs;
}

/** Exponential moving average in which the newest sample weighs more the further the evidence has decayed. */
function updateAverage(present: number, newest: number, weight: number): number {
    return newest + (1 - SMOOTHING_FACTOR) * weight * (present - newest);
}

/** Adapts the half-life. A bad outcome after the evidence had decayed by half shows that it decayed too early. */
function computeHalfLifeMs({ halfLifeMs }: Health, weight: number, isBad: boolean): number {
    if (!isBad) {
        return Math.max(MIN_HALF_LIFE_MS, halfLifeMs / 2);
    }
    return weight < 0.5 ? Math.min(MAX_HALF_LIFE_MS, halfLifeMs * HALF_LIFE_GROWTH) : halfLifeMs;
}
