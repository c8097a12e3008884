/**
 * Prompt segments that were under way when upstreams crashed, as part of the replicated state.
 *
 * Expected load: an engine that crashes runs some 30 prompts with up to a hundred segments, and one crashes each 0.1 s. Entries
 * leave out the segments that complete all the time; the others are cleared by the next completion.
 */
import {
    addSegmentCrash,
    computeSegmentScore,
    MAX_SEGMENT_TRIALS,
    parseSegmentKey,
    type ReportedCrash,
    SEGMENT_SCORE_LIMIT,
    type SegmentRecord,
    segmentRecordSchema,
    type SegmentStatus,
    SIMULTANEOUS_CRASHES_MS,
    SUSPECTED_SEGMENT_SCORE,
} from "@crankfork/schemas";
import { isDeepStrictEqual } from "node:util";
import * as z from "zod";
import { findCrashingSegments } from "./findCrashingSegments.js";
import { createTolerantArray } from "./tolerantArray.js";

/** At about 100 bytes each, 0.2 MB in a snapshot. */
const MAX_RECORDS = 2_000;
/** Incarnations in progress at the crash that quarantines a segment, and more of those that crashed before it was suspected. */
const MAX_UPSTREAMS_PER_RECORD = 40;
/** A segment that caused no crash for a day is assumed to be fixed. */
const RETENTION_MS = 24 * 3_600_000;
/** Statuses sent to entries; those with the highest score first. */
const MAX_STATUSES = 200;

/** Schema of the segment records in a snapshot. */
export const segmentSnapshotSchema = z.object({ records: createTolerantArray(segmentRecordSchema), index: z.int() });

type SegmentSnapshot = z.infer<typeof segmentSnapshotSchema>;

/** Crash records by segment. */
export class SegmentRegister {
    private records = new Map<string, SegmentRecord>();
    private changeIndex = 0;
    private statuses: readonly SegmentStatus[] = [];

    /** Log index of the last change of a status. */
    get lastChangeIndex(): number {
        return this.changeIndex;
    }

    /**
     * Adds crashes.
     * @param crashes - one for each request that was running
     * @param atMs - the leader's Unix time
     * @param index - log index of the command
     * @returns false if none of them changed a record
     */
    add(crashes: readonly ReportedCrash[], atMs: number, index: number): boolean {
        const isChanged = crashes.flatMap(({ segments = [], upstream, is_late = false }) =>
            segments.map((segment) => this.addCrash(segment, upstream, is_late, atMs))
        ).some((isAdded) => isAdded);
        if (isChanged) {
            this.removeExpired(atMs);
            this.evictSurplus();
            this.updateStatuses(index);
        }
        return isChanged;
    }

    /**
     * Removes the records of segments.
     * @param keys - keys of segments; fingerprints of requests are ignored
     * @param index - log index of the command
     * @returns false if there were none
     */
    forget(keys: readonly string[], index: number): boolean {
        const removed = keys.flatMap((key) => parseSegmentKey(key) ?? []).filter((segment) =>
            this.records.delete(segment)
        );
        if (removed.length > 0) {
            this.updateStatuses(index);
        }
        return removed.length > 0;
    }

    /**
     * Claims a trial of a quarantined segment.
     * @param segment - the segment
     * @param index - log index of the command
     * @returns false if none is left
     */
    claimTrial(segment: string, index: number): boolean {
        const record = this.records.get(segment);
        const isQuarantined = this.getStatus(segment)?.quarantine !== undefined;
        if (!isQuarantined || record === undefined || record.trials >= MAX_SEGMENT_TRIALS) {
            return false;
        }
        this.records.set(segment, { ...record, trials: record.trials + 1 });
        this.updateStatuses(index);
        return true;
    }

    /**
     * Gets the status of a segment.
     * @param segment - the segment
     * @returns its status; undefined if it is not suspected
     */
    getStatus(segment: string): SegmentStatus | undefined {
        return this.statuses.find((status) => status.segment === segment);
    }

    /**
     * Gets the record of a segment.
     * @param segment - the segment
     * @returns the record, or undefined if no upstream crashed under it
     */
    get(segment: string): SegmentRecord | undefined {
        return this.records.get(segment);
    }

    /** Number of segments with a crash. */
    get size(): number {
        return this.records.size;
    }

    /**
     * Lists the segments that entries must know.
     * @returns suspected and quarantined segments, those with the highest score first
     */
    listStatuses(): readonly SegmentStatus[] {
        return this.statuses;
    }

    /**
     * Gets the state for a snapshot.
     * @returns plain data
     */
    getState(): SegmentSnapshot {
        return { records: [...this.records.values()], index: this.changeIndex };
    }

    /**
     * Replaces the records with those of a snapshot.
     * @param state - the result of `getState`; undefined in snapshots written before segments were recorded
     */
    restore(state: SegmentSnapshot | undefined): void {
        this.records = new Map(state?.records.map((record) => [record.segment, record]));
        this.changeIndex = state?.index ?? 0;
        this.updateStatuses(this.changeIndex);
    }

    private addCrash(segment: string, upstream: string, isLate: boolean, atMs: number): boolean {
        const existing = this.records.get(segment);
        const upstreams = existing?.upstreams ?? [];
        if (upstreams.includes(upstream) || upstreams.length >= MAX_UPSTREAMS_PER_RECORD) {
            return false;
        }
        // The clock of another leader may be behind; such a crash counts as a later one.
        const sinceMs = existing === undefined ? Number.POSITIVE_INFINITY : Math.abs(atMs - existing.changed_at_ms);
        const isCounted = sinceMs >= SIMULTANEOUS_CRASHES_MS;
        const counts = { early: existing?.early ?? 0, late: existing?.late ?? 0 };
        this.records.delete(segment);
        this.records.set(segment, {
            segment,
            upstreams: [...upstreams, upstream],
            ...(isCounted ? addSegmentCrash(counts, isLate) : counts),
            trials: existing?.trials ?? 0,
            changed_at_ms: isCounted ? atMs : existing?.changed_at_ms ?? atMs,
        });
        return true;
    }

    private removeExpired(nowMs: number): void {
        this.records.forEach(({ segment, changed_at_ms }) => {
            if (nowMs - changed_at_ms > RETENTION_MS) {
                this.records.delete(segment);
            }
        });
    }

    /** The map is in the order of the latest crash and the sort is stable, so the oldest are evicted first. */
    private evictSurplus(): void {
        if (this.records.size > MAX_RECORDS) {
            const byCrashes = [...this.records.values()].sort((left, right) =>
                computeSegmentScore(left) - computeSegmentScore(right)
            );
            byCrashes.slice(0, this.records.size - MAX_RECORDS).forEach(({ segment }) => this.records.delete(segment));
        }
    }

    private updateStatuses(index: number): void {
        const records = [...this.records.values()];
        const suspected = records.map((record) => ({ ...record, score: computeSegmentScore(record) }))
            .filter(({ score }) => score >= SUSPECTED_SEGMENT_SCORE)
            .sort((left, right) => right.score - left.score)
            .slice(0, MAX_STATUSES);
        const groups = findCrashingSegments(suspected, SEGMENT_SCORE_LIMIT);
        const quarantines = new Map(
            groups.flatMap((segments, group) =>
                segments.map((segment) => [segment, { group, size: segments.length }] as const)
            ),
        );
        const statuses = suspected.map(({ segment, score, trials }) => {
            const quarantine = quarantines.get(segment);
            return { segment, score, trials, ...(quarantine === undefined ? {} : { quarantine }) };
        });
        if (!isDeepStrictEqual(statuses, this.statuses)) {
            this.statuses = statuses;
            this.changeIndex = index;
        }
    }
}
