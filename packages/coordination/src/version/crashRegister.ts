/**
 * Requests that were running when upstreams crashed, as part of the replicated state.
 *
 * Expected load: one request that crashes every upstream that runs it is retried at all entries, twice a second or
 * more, with some 30 other requests running on the upstream each time. Each of the others is involved in one or two
 * crashes; a request is quarantined only from its third crash on.
 *
 * The number of records is bounded, since a client may send a thousand such requests. Records with the fewest crashes
 * are evicted first, and among these the oldest.
 */
import {
    type CrashRecord,
    crashRecordSchema,
    isNearQuarantine,
    isTrialDue,
    type ReportedCrash,
} from "@crankfork/schemas";
import * as z from "zod";
import { createTolerantArray } from "./tolerantArray.js";

/**
 * At about 300 bytes each, under 0.5 MB in a snapshot, and three times the requests lost with a rack of ten engines.
 */
const MAX_RECORDS = 1_500;
/** Two more than the crashes that quarantine a request, for runs in progress at the last of these crashes. */
const MAX_INCARNATIONS_PER_RECORD = 7;
/** A request that caused no crash for a day is assumed to be fixed. */
const CRASH_RETENTION_MS = 24 * 3_600_000;
/**
 * Removed fingerprints kept for incremental updates of entries; an entry that is further behind gets the full state.
 */
const MAX_FORGOTTEN_FINGERPRINTS = 500;

const indexedRecordSchema = z.object({ record: crashRecordSchema, index: z.int() });
const forgottenSchema = z.object({ fingerprint: z.string(), index: z.int() });

/** Schema of the crash records in a snapshot. */
export const crashSnapshotSchema = z.object({
    records: createTolerantArray(indexedRecordSchema),
    forgotten: createTolerantArray(forgottenSchema),
    forgotten_index: z.int(),
});

type CrashSnapshot = z.infer<typeof crashSnapshotSchema>;

/** Crash records that changed after a log index. */
export interface CrashChanges {
    readonly records: readonly CrashRecord[];
    readonly forgotten: readonly string[];
}

/** Crash records by request fingerprint. */
export class CrashRegister {
    private records = new Map<string, z.infer<typeof indexedRecordSchema>>();
    private forgotten = new Map<string, number>();
    private latestCompactedIndex = 0;
    private reportedIndex = 0;

    /** Log index of the last change that is worth reporting to entries, or a later one after the state was restored. */
    get lastReportedIndex(): number {
        return this.reportedIndex;
    }

    /** Removals up to this index are no longer recorded; an entry that is further behind needs the full state. */
    get compactedIndex(): number {
        return this.latestCompactedIndex;
    }

    /**
     * Adds crashes.
     * @param crashes - one for each request that was running
     * @param atMs - the leader's Unix time
     * @param index - log index of the command
     * @returns false if none of them changed a record
     */
    add(crashes: readonly ReportedCrash[], atMs: number, index: number): boolean {
        this.removeExpired(atMs, index);
        const added = crashes.filter((crash) => this.addCrash(crash, atMs, index));
        this.evictSurplus(index);
        return added.length > 0;
    }

    /**
     * Removes the records of requests.
     * @param fingerprints - the requests
     * @param index - log index of the command
     * @returns false if there were none
     */
    forget(fingerprints: readonly string[], index: number): boolean {
        const known = fingerprints.filter((fingerprint) => this.records.has(fingerprint));
        known.forEach((fingerprint) => {
            this.remove(fingerprint, index);
        });
        return known.length > 0;
    }

    /**
     * Claims a trial run of a quarantined request.
     * @param fingerprint - the request
     * @param atMs - the leader's Unix time
     * @param index - log index of the command
     * @returns false if no trial is due
     */
    claimTrial(fingerprint: string, atMs: number, index: number): boolean {
        const record = this.records.get(fingerprint)?.record;
        if (record === undefined || !isTrialDue(record, atMs)) {
            return false;
        }
        const next = { ...record, trials: record.trials + 1, changed_at_ms: atMs };
        this.reportedIndex = index;
        this.records.set(fingerprint, { record: next, index });
        return true;
    }

    /**
     * Gets the record of a request.
     * @param fingerprint - the request
     * @returns the record, or undefined if no upstream crashed under it
     */
    get(fingerprint: string): CrashRecord | undefined {
        return this.records.get(fingerprint)?.record;
    }

    /**
     * Gets the log index of the latest change to the record of a request.
     * @param fingerprint - the request
     * @returns the index; 0 if there is no record
     */
    getIndex(fingerprint: string): number {
        return this.records.get(fingerprint)?.index ?? 0;
    }

    /**
     * Lists all records.
     * @returns records, including those of a single crash
     */
    list(): readonly CrashRecord[] {
        return [...this.records.values()].map(({ record }) => record);
    }

    /**
     * Gets the changes after a log index that are worth reporting to entries.
     * @param from - the index; below 0 for the full state
     * @returns changed records and removed fingerprints
     */
    getChanges(from: number): CrashChanges {
        const changed = [...this.records.values()].filter(({ record, index }) =>
            index > from && isNearQuarantine(record)
        );
        const forgotten = from < 0 ? [] : [...this.forgotten].filter(([, index]) => index > from);
        return {
            records: changed.map(({ record }) => record),
            forgotten: forgotten.map(([fingerprint]) => fingerprint),
        };
    }

    /**
     * Gets the state for a snapshot.
     * @returns plain data
     */
    getState(): CrashSnapshot {
        return {
            records: [...this.records.values()],
            forgotten: [...this.forgotten].map(([fingerprint, index]) => ({ fingerprint, index })),
            forgotten_index: this.latestCompactedIndex,
        };
    }

    /**
     * Replaces the records with those of a snapshot.
     * @param state - the result of `getState`; undefined in snapshots written before crashes were recorded
     * @param index - log index of the snapshot's last change
     */
    restore(state: CrashSnapshot | undefined, index: number = 0): void {
        this.reportedIndex = index;
        this.records = new Map(state?.records.map((indexed) => [indexed.record.fingerprint, indexed]));
        this.forgotten = new Map(state?.forgotten.map(({ fingerprint, index }) => [fingerprint, index]));
        this.latestCompactedIndex = state?.forgotten_index ?? 0;
    }

    private addCrash(
        { fingerprint, upstream, had_progress, origin }: ReportedCrash,
        atMs: number,
        index: number,
    ): boolean {
        const existing = this.records.get(fingerprint)?.record;
        const incarnations = [...existing?.silent ?? [], ...existing?.midway ?? []];
        if (incarnations.includes(upstream) || incarnations.length >= MAX_INCARNATIONS_PER_RECORD) {
            return false;
        }
        const before = existing ?? { fingerprint, origin, silent: [], midway: [], trials: 0, changed_at_ms: atMs };
        const record = {
            ...before,
            silent: had_progress ? before.silent : [...before.silent, upstream],
            midway: had_progress ? [...before.midway, upstream] : before.midway,
            changed_at_ms: Math.max(before.changed_at_ms, atMs),
        };
        this.forgotten.delete(fingerprint);
        this.records.delete(fingerprint);
        this.records.set(fingerprint, { record, index });
        this.reportedIndex = isNearQuarantine(record) ? index : this.reportedIndex;
        return true;
    }

    private removeExpired(nowMs: number, index: number): void {
        for (const [fingerprint, { record }] of this.records) {
            if (nowMs - record.changed_at_ms > CRASH_RETENTION_MS) {
                this.remove(fingerprint, index);
            }
        }
    }

    /** The map is in the order of the latest crash and the sort is stable, so the oldest are evicted first. */
    private evictSurplus(index: number): void {
        if (this.records.size <= MAX_RECORDS) {
            return;
        }
        const byCrashes = [...this.records.values()].map(({ record }) => record).sort((left, right) =>
            countCrashes(left) - countCrashes(right)
        );
        byCrashes.slice(0, this.records.size - MAX_RECORDS).forEach(({ fingerprint }) => {
            this.remove(fingerprint, index);
        });
    }

    private remove(fingerprint: string, index: number): void {
        const removed = this.records.get(fingerprint)?.record;
        this.records.delete(fingerprint);
        if (removed === undefined || !isNearQuarantine(removed)) {
            return;
        }
        this.forgotten.set(fingerprint, index);
        this.reportedIndex = index;
        for (const [oldest, removedIndex] of this.forgotten) {
            if (this.forgotten.size <= MAX_FORGOTTEN_FINGERPRINTS) {
                return;
            }
            this.forgotten.delete(oldest);
            this.latestCompactedIndex = Math.max(this.latestCompactedIndex, removedIndex);
        }
    }
}

function countCrashes({ silent, midway }: CrashRecord): number {
    return silent.length + midway.length;
}
