/**
 * Tracks prompt segments under which upstreams crashed: what this entry saw, and the status that the voters aggregate over all
 * entries. A prompt that completes clears its segments at once; one with a quarantined segment is not sent.
 */
import {
    addSegmentCrash,
    computeSegmentScore,
    findQuarantiningSegment,
    formatSegmentKey,
    type SegmentCrashCounts,
    type SegmentStatus,
    SIMULTANEOUS_CRASHES_MS,
    SUSPECTED_SEGMENT_SCORE,
} from "@crankfork/schemas";

/** Dependencies of the tracker. */
export interface SegmentTrackerOptions {
    readonly getNowMs: () => number;
    /** Reports that prompts with a suspected segment complete, by its key. */
    readonly reportCompletion: (key: string) => void;
    readonly recordCounts?: (counts: { readonly suspected: number; readonly quarantined: number; }) => void;
}

/**
 * How long a completion speaks for a segment: longer than crashes take to be known everywhere, and short, since a segment may
 * have begun to crash upstreams after it.
 */
const COMPLETION_MEMORY_MS = 1_000;
const MAX_COMPLETIONS = 2_000;
/** Segments with a crash seen by this entry; the oldest are dropped beyond this. */
const MAX_LOCAL_RECORDS = 500;
const TRIAL_QUESTION_INTERVAL_MS = 1_000;
/** Segments reported for one request. */
const MAX_REPORTED = 200;

interface LocalRecord extends SegmentCrashCounts {
    /** The latest incarnation. */
    readonly upstream: string;
    /** Time of the latest counted crash. */
    readonly atMs: number;
}

/** Tracks segments by their ids. */
export class SegmentTracker {
    /** Status of suspected segments according to the voters. */
    private statuses: ReadonlyMap<string, SegmentStatus> = new Map();
    /** Crashes seen here, so that entries without a leader suspect segments, too. */
    private readonly localRecords = new Map<string, LocalRecord>();
    private readonly completions = new Map<string, number>();
    /** When the leader was last asked for a trial, by segment. */
    private readonly trialAskedMs = new Map<string, number>();

    /**
     * @param options - clock and reports
     */
    constructor(private readonly options: SegmentTrackerOptions) {}

    /**
     * Finds the segment for which a prompt must not be sent.
     * @param segments - shared segments of the prompt
     * @returns the segment; undefined if the prompt is not quarantined
     */
    findQuarantining(segments: readonly string[]): string | undefined {
        return this.statuses.size === 0
            ? undefined
            : findQuarantiningSegment(
                segments,
                (segment) => this.statuses.get(segment),
                (segment) => this.hasCompletedRecently(segment),
            );
    }

    /**
     * Checks whether the leader must agree before a prompt is sent.
     * @param segments - shared segments of the prompt
     * @returns true if several upstreams crashed under one of them and it has not completed since
     */
    needsGrant(segments: readonly string[]): boolean {
        return segments.some((segment) => this.isSuspected(segment) && !this.hasCompletedRecently(segment));
    }

    /**
     * Records that an upstream crashed.
     * @param segments - shared segments of a prompt that ran on it
     * @param upstream - the incarnation
     * @param isLate - whether it had answered the prompt for some time
     * @returns the segments that the crash speaks against
     */
    recordCrash(segments: readonly string[], upstream: string, isLate: boolean): readonly string[] {
        const blamed = segments.filter((segment) => !this.hasCompletedRecently(segment)).slice(0, MAX_REPORTED);
        blamed.forEach((segment) => {
            this.addLocalCrash(segment, upstream, isLate);
        });
        dropOldest(this.localRecords, MAX_LOCAL_RECORDS);
        return blamed;
    }

    /**
     * Records that a prompt completed and its upstream survived.
     * @param segments - its shared segments
     */
    recordCompletion(segments: readonly string[]): void {
        segments.forEach((segment) => {
            this.completions.delete(segment);
            this.completions.set(segment, this.options.getNowMs());
            this.localRecords.delete(segment);
            if (this.statuses.has(segment)) {
                this.options.reportCompletion(formatSegmentKey(segment));
            }
        });
        dropOldest(this.completions, MAX_COMPLETIONS);
    }

    /**
     * Applies a state update from the leader.
     * @param statuses - all suspected segments; undefined if none of them changed
     */
    applyStatuses(statuses: readonly SegmentStatus[] | undefined): void {
        if (statuses === undefined) {
            return;
        }
        this.statuses = new Map(statuses.map((status) => [status.segment, status]));
        const quarantined = statuses.filter((status) => status.quarantine !== undefined).length;
        this.options.recordCounts?.({ suspected: statuses.length, quarantined });
        statuses.filter(({ segment }) => this.hasCompletedRecently(segment)).forEach(({ segment }) => {
            this.options.reportCompletion(formatSegmentKey(segment));
        });
    }

    /**
     * Checks whether the leader may be asked for a trial of a quarantined segment, at most once a second.
     * @param segment - the segment
     * @returns true if it has not been asked for some time
     */
    isTrialQuestionDue(segment: string): boolean {
        const nowMs = this.options.getNowMs();
        const isDue =
            nowMs - (this.trialAskedMs.get(segment) ?? Number.NEGATIVE_INFINITY) >= TRIAL_QUESTION_INTERVAL_MS;
        if (isDue) {
            this.trialAskedMs.delete(segment);
            this.trialAskedMs.set(segment, nowMs);
            dropOldest(this.trialAskedMs, MAX_LOCAL_RECORDS);
        }
        return isDue;
    }

    /**
     * Gets the score of a segment.
     * @param segment - the segment
     * @returns its crashes by weight, according to the voters
     */
    getScore(segment: string): number {
        return this.statuses.get(segment)?.score ?? 0;
    }

    /**
     * Lists the suspected segments of a prompt.
     * @param segments - shared segments of the prompt
     * @returns those under which several upstreams crashed
     */
    listSuspected(segments: readonly string[]): readonly string[] {
        return segments.filter((segment) => this.isSuspected(segment));
    }

    private addLocalCrash(segment: string, upstream: string, isLate: boolean): void {
        const nowMs = this.options.getNowMs();
        const existing = this.localRecords.get(segment);
        if (existing?.upstream === upstream) {
            return;
        }
        const isCounted = existing === undefined || nowMs - existing.atMs >= SIMULTANEOUS_CRASHES_MS;
        const counts = existing ?? { early: 0, late: 0 };
        this.localRecords.delete(segment);
        this.localRecords.set(segment, {
            ...(isCounted ? addSegmentCrash(counts, isLate) : counts),
            upstream,
            atMs: isCounted ? nowMs : existing.atMs,
        });
    }

    private isSuspected(segment: string): boolean {
        const local = this.localRecords.get(segment);
        return this.statuses.has(segment)
            || (local !== undefined && computeSegmentScore(local) >= SUSPECTED_SEGMENT_SCORE);
    }

    private hasCompletedRecently(segment: string): boolean {
        const atMs = this.completions.get(segment);
        return atMs !== undefined && this.options.getNowMs() - atMs <= COMPLETION_MEMORY_MS;
    }
}

/** Removes the entries that were set first. */
function dropOldest(map: Map<string, unknown>, maxSize: number): void {
    for (const key of map.keys()) {
        if (map.size <= maxSize) {
            return;
        }
        map.delete(key);
    }
}
