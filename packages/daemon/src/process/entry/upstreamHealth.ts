/**
 * How upstreams did by this entry's own traffic: what is open, how long answers take, which ones failed lately.
 */
import type { ChainLoad } from "@crankfork/decisions";
import type { UpstreamLoads } from "@crankfork/schemas";

/** What is known of one upstream. */
interface Health {
    open: number;
    /** Open requests that have no first token yet. */
    unstarted: number;
    /** Smoothed time of an answer; undefined before the first. */
    answerMs: number | undefined;
    /** Smoothed share of failures, from 0 to 1. */
    failures: number;
    /** When it answered or failed last. */
    lastOutcomeMs: number;
    /** Time in which half of what speaks against it is forgotten. */
    halfLifeMs: number;
    /** What its service usually took when it was rated last. */
    typicalMs: number;
    suspectUntilMs: number;
    /** Until when it is passed over because it declined. */
    declinedUntilMs: number;
    /** Until when it counts as not there. */
    downUntilMs: number;
    suspicionCount: number;
}

/** Weight of the newest observation in a smoothed figure. */
const SMOOTHING_FACTOR = 0.2;
/** How long an upstream that failed is left out the first time; doubled with each further failure. */
const MIN_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 6_000;
/** How long an upstream that had no room is passed over; with 60 streams of 3 s one ends every 50 ms. */
const DECLINE_BACKOFF_MS = 100;
/**
 * How long an upstream counts as not there after a sign of it. Longer than a report takes to come or to be missed (350 ms)
 * and the leader to look too; by then the voters have told all entries.
 */
const DOWN_MS = 1_000;
/** A failure counts as this many times the usual answer time in the choice among upstreams. */
const FAILURE_WEIGHT = 8;
/** Answer time where no upstream of a service has answered yet; any figure that is alike for all of them will do. */
const DEFAULT_ANSWER_MS = 50;
/**
 * Half of what speaks against an upstream is forgotten in this time without an answer; whoever is rated down gets no requests while
 * callers are few, and no answer that could tell that it is well again.
 */
const MIN_HALF_LIFE_MS = 1_000;
/** One that turns out to be no better is tried again this many times later, so that one in trouble for good costs few tries. */
const HALF_LIFE_GROWTH = 4;
const MAX_HALF_LIFE_MS = 16_000;
/** An answer that takes this many times the usual speaks against its upstream. */
const SLOW_FACTOR = 2;

/** Keeps the health of upstreams by id. */
export class UpstreamHealth {
    private readonly byId = new Map<string, Health>();
    private readonly unreportedSuspects = new Set<string>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Marks that a request goes to an upstream.
     * @param id - the upstream
     */
    recordRequestStart(id: string): void {
        const health = this.get(id);
        health.open += 1;
        health.unstarted += 1;
    }

    /**
     * Marks that a request has its first token, or ends without one.
     * @param id - the upstream
     */
    recordFirstToken(id: string): void {
        const health = this.get(id);
        health.unstarted = Math.max(0, health.unstarted - 1);
    }

    /**
     * Marks that a request to an upstream has ended.
     * @param id - the upstream
     */
    recordEnd(id: string): void {
        const health = this.get(id);
        health.open = Math.max(0, health.open - 1);
    }

    /**
     * Notes how an upstream answered.
     * @param id - the upstream
     * @param durationMs - how long the answer took
     * @param isFailure - whether it was a failure of the upstream
     */
    recordAnswer(id: string, durationMs: number, isFailure: boolean): void {
        const health = this.get(id);
        // How soon an upstream fails is no time in which it answers: one that turned all away within a millisecond would look the best,
        // also where it never served anything, and get what the others could have taken.
        const known = this.computeEvidenceWeight(health);
        if (!isFailure || durationMs > (health.answerMs ?? Number.POSITIVE_INFINITY)) {
            health.answerMs = updateAverage(health.answerMs ?? durationMs, durationMs, known);
        }
        health.failures = updateAverage(health.failures * known, isFailure ? 1 : 0, known);
        if (!isFailure) {
            health.suspicionCount = 0;
        }
        health.halfLifeMs = computeHalfLifeMs(health, known, isFailure || durationMs > SLOW_FACTOR * health.typicalMs);
        health.lastOutcomeMs = this.getNowMs();
    }

    /**
     * Leaves an upstream out for a while, because it did not answer or another said that it is at fault.
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
        const known = this.computeEvidenceWeight(health);
        health.failures = updateAverage(health.failures * known, 1, known);
        health.lastOutcomeMs = this.getNowMs();
        this.unreportedSuspects.add(id);
    }

    /**
     * Passes an upstream over for a moment, because it had no room. This is no failure: engines decline while their
     * memory is full, and leaving out for seconds what half of all paths share moves its load to the others, which then
     * decline in turn.
     * @param id - the upstream
     * @returns false where it is passed over already
     */
    recordDecline(id: string): boolean {
        const health = this.get(id);
        const isNew = health.declinedUntilMs <= this.getNowMs();
        health.declinedUntilMs = this.getNowMs() + DECLINE_BACKOFF_MS;
        return isNew;
    }

    /**
     * Counts an upstream as not there until it is known better, and tells the leader: an answer named it as the one that a
     * request failed for, or other entries suspect it.
     * @param id - the upstream
     * @param isReported - whether the leader is to be told
     */
    markDown(id: string, isReported: boolean): void {
        this.get(id).downUntilMs = this.getNowMs() + DOWN_MS;
        if (isReported) {
            this.unreportedSuspects.add(id);
        }
    }

    /**
     * Takes an absence back: the upstream has answered.
     * @param id - the upstream
     */
    clearDown(id: string): void {
        this.get(id).downUntilMs = 0;
    }

    /**
     * Tells whether an upstream counts as not there.
     * @param id - the upstream
     * @returns true for a while after a sign of it
     */
    isDown(id: string): boolean {
        return (this.byId.get(id)?.downUntilMs ?? 0) > this.getNowMs();
    }

    /**
     * Names the upstreams that count as not there.
     * @returns a text that is equal as long as they are the same
     */
    formatDown(): string {
        return [...this.byId.keys()].filter((id) => this.isDown(id)).sort().join(",");
    }

    /**
     * Tells whether work may be sent to an upstream.
     * @param id - the upstream
     * @returns false while it is left out
     */
    isUsable(id: string): boolean {
        const health = this.byId.get(id);
        return health === undefined || !isExcluded(health, this.getNowMs());
    }

    /**
     * Names the upstreams that are left out now.
     * @returns a text that is equal as long as they are the same
     */
    formatExcluded(): string {
        const nowMs = this.getNowMs();
        return [...this.byId].filter(([, health]) => isExcluded(health, nowMs)).map(([id]) => id).sort().join(",");
    }

    /**
     * Takes the upstreams that failed since the last call, to tell the leader.
     * @returns their ids
     */
    takeSuspects(): readonly string[] {
        const ids = [...this.unreportedSuspects];
        this.unreportedSuspects.clear();
        return ids;
    }

    /**
     * Gets what is open at an upstream from here.
     * @param id - the upstream
     * @returns requests
     */
    getLoad(id: string): ChainLoad {
        const { open = 0, unstarted = 0 } = this.byId.get(id) ?? {};
        return { open, unstarted };
    }

    /**
     * Lists what is open.
     * @returns requests by upstream; those without any are left out
     */
    listLoads(): UpstreamLoads {
        const busy = [...this.byId].filter(([, { open }]) => open > 0);
        return Object.fromEntries(busy.map(([id, { open, unstarted }]) => [id, { open, unstarted }]));
    }

    /**
     * Computes how well an upstream is suited for one more request; less is better.
     * @param id - the upstream
     * @param openElsewhere - requests that other entries have open there
     * @param typicalMs - time of an answer of its service, for an upstream that has not answered yet: rated by a figure of its own
     * it would get no request where others are faster, and nearly all where they are slower
     * @returns expected time, with failures counted as time
     */
    computeScore(id: string, openElsewhere: number, typicalMs: number): number {
        const health = this.byId.get(id);
        if (health === undefined) {
            return (1 + openElsewhere) * typicalMs;
        }
        health.typicalMs = typicalMs;
        const known = this.computeEvidenceWeight(health);
        const { open, answerMs = typicalMs, failures } = health;
        const ratedMs = answerMs > typicalMs ? typicalMs + (answerMs - typicalMs) * known : answerMs;
        return (1 + open + openElsewhere) * ratedMs * (1 + FAILURE_WEIGHT * failures * known);
    }

    /** How much of what speaks against an upstream still counts: 1 right after an answer, towards 0 without one. */
    private computeEvidenceWeight({ lastOutcomeMs, halfLifeMs }: Health): number {
        return 0.5 ** ((this.getNowMs() - lastOutcomeMs) / halfLifeMs);
    }

    /**
     * Computes the usual time of an answer.
     * @param ids - upstreams of one service
     * @returns the middle one of their times; any figure where none has answered
     */
    computeTypicalAnswerMs(ids: readonly string[]): number {
        const known = ids.flatMap((id) => this.byId.get(id)?.answerMs ?? []).sort((one, other) => one - other);
        return known[Math.floor(known.length / 2)] ?? DEFAULT_ANSWER_MS;
    }

    /**
     * Forgets upstreams that are gone.
     * @param isKnown - whether an upstream is still there
     */
    prune(isKnown: (id: string) => boolean): void {
        for (const [id, { open }] of this.byId) {
            if (open === 0 && !isKnown(id)) {
                this.byId.delete(id);
            }
        }
    }

    private get(id: string): Health {
        const known = this.byId.get(id);
        if (known !== undefined) {
            return known;
        }
        const health: Health = {
            open: 0,
            unstarted: 0,
            answerMs: undefined,
            failures: 0,
            lastOutcomeMs: this.getNowMs(),
            halfLifeMs: MIN_HALF_LIFE_MS,
            typicalMs: Number.POSITIVE_INFINITY,
            suspectUntilMs: 0,
            declinedUntilMs: 0,
            downUntilMs: 0,
            suspicionCount: 0,
        };
        this.byId.set(id, health);
        return health;
    }
}

function isExcluded(health: Health, nowMs: number): boolean {
    return Math.max(health.suspectUntilMs, health.declinedUntilMs, health.downUntilMs) > nowMs;
}

/** The newest observation counts the more the less is still known. */
function updateAverage(present: number, newest: number, known: number): number {
    return newest + (1 - SMOOTHING_FACTOR) * known * (present - newest);
}

/** A try after half of it was forgotten tells whether that was right. */
function computeHalfLifeMs({ halfLifeMs }: Health, known: number, isBad: boolean): number {
    if (!isBad) {
        return Math.max(MIN_HALF_LIFE_MS, halfLifeMs / 2);
    }
    return known < 0.5 ? Math.min(MAX_HALF_LIFE_MS, halfLifeMs * HALF_LIFE_GROWTH) : halfLifeMs;
}
