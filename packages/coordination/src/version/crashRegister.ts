/**
 * Requests under which upstreams ended, as every voter holds them.
 *
 * Load pattern: one request that ends every upstream that runs it comes again at all entries, twice a second and more, and
 * some 30 others run beside it each time. Each of these is in one crash or two; only what is in three is held.
 *
 * The number of records is bounded, since somebody may send a thousand such requests: those with the fewest crashes go first,
 * the oldest among them before the others.
 */
import {
    type CrashRecord,
    crashRecordSchema,
    isNearQuarantine,
    isTrialDue,
    type ReportedCrash,
} from "@crankfork/schemas";
import * as z from "zod";

/** Some 300 bytes each: below half a megabyte in a snapshot, and three times what ends with a rack of ten engines. */
const MOST_RECORDS = 1_500;
/** Lives that one record names at most: two more than hold a request, for those that were under way at its last crash. */
const MOST_LIVES = 7;
/** A request that ended no upstream for a day is taken for mended. */
const FORGET_AFTER_MS = 24 * 3_600_000;
/** Fingerprints that were forgotten and are told to entries that are behind; others are told everything. */
const MOST_FORGOTTEN = 500;

const heldRecordSchema = z.object({ record: crashRecordSchema, index: z.int() });
const forgottenSchema = z.object({ fingerprint: z.string(), index: z.int() });

/** What a snapshot holds of crashes. */
export const crashSnapshotSchema = z.object({
    records: z.array(heldRecordSchema),
    forgotten: z.array(forgottenSchema),
    forgotten_index: z.int(),
});

type CrashSnapshot = z.infer<typeof crashSnapshotSchema>;

/** Records of crashes that changed after a position of the log. */
export interface CrashChanges {
    readonly records: readonly CrashRecord[];
    readonly forgotten: readonly string[];
}

/** Keeps the records. */
export class CrashRegister {
    private records = new Map<string, z.infer<typeof heldRecordSchema>>();
    private forgotten = new Map<string, number>();
    private forgottenIndex = 0;

    /** Whoever knows no later position has to be told everything. */
    get leastIndex(): number {
        return this.forgottenIndex;
    }

    /**
     * Adds crashes.
     * @param crashes - one for each request that was under way
     * @param atMs - the leader's Unix time
     * @param index - position of the log
     * @returns false where all of them were known
     */
    add(crashes: readonly ReportedCrash[], atMs: number, index: number): boolean {
        this.forgetOld(atMs, index);
        const added = crashes.filter((crash) => this.addOne(crash, atMs, index));
        this.removeSurplus(index);
        return added.length > 0;
    }

    /**
     * Forgets what is known of requests.
     * @param fingerprints - the requests
     * @param index - position of the log
     * @returns false where nothing was known
     */
    forget(fingerprints: readonly string[], index: number): boolean {
        const known = fingerprints.filter((one) => this.records.has(one));
        known.forEach((one) => {
            this.remove(one, index);
        });
        return known.length > 0;
    }

    /**
     * Takes a trial of a request that is held.
     * @param fingerprint - the request
     * @param atMs - the leader's Unix time
     * @param index - position of the log
     * @returns false where none is due
     */
    claimTrial(fingerprint: string, atMs: number, index: number): boolean {
        const record = this.records.get(fingerprint)?.record;
        if (record === undefined || !isTrialDue(record, atMs)) {
            return false;
        }
        const next = { ...record, trials: record.trials + 1, changed_at_ms: atMs };
        this.records.set(fingerprint, { record: next, index });
        return true;
    }

    /**
     * Lists all records.
     * @returns also those of a single crash
     */
    list(): readonly CrashRecord[] {
        return [...this.records.values()].map(({ record }) => record);
    }

    /**
     * Gets what changed after a position, as far as entries have to know it.
     * @param from - the position; below 0 for everything
     * @returns records and forgotten fingerprints
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
     * Gets the whole for a snapshot.
     * @returns plain data
     */
    getState(): CrashSnapshot {
        return {
            records: [...this.records.values()],
            forgotten: [...this.forgotten].map(([fingerprint, index]) => ({ fingerprint, index })),
            forgotten_index: this.forgottenIndex,
        };
    }

    /**
     * Puts a snapshot in the place of the present records.
     * @param state - what `getState` gave; undefined in snapshots from before crashes were recorded
     */
    restore(state: CrashSnapshot | undefined): void {
        this.records = new Map(state?.records.map((held) => [held.record.fingerprint, held]));
        this.forgotten = new Map(state?.forgotten.map(({ fingerprint, index }) => [fingerprint, index]));
        this.forgottenIndex = state?.forgotten_index ?? 0;
    }

    private addOne(
        { fingerprint, upstream, had_progress, origin }: ReportedCrash,
        atMs: number,
        index: number,
    ): boolean {
        const known = this.records.get(fingerprint)?.record;
        const lives = [...known?.silent ?? [], ...known?.midway ?? []];
        if (lives.includes(upstream) || lives.length >= MOST_LIVES) {
            return false;
        }
        const before = known ?? { fingerprint, origin, silent: [], midway: [], trials: 0, changed_at_ms: atMs };
        const record = {
            ...before,
            silent: had_progress ? before.silent : [...before.silent, upstream],
            midway: had_progress ? [...before.midway, upstream] : before.midway,
            changed_at_ms: Math.max(before.changed_at_ms, atMs),
        };
        this.forgotten.delete(fingerprint);
        this.records.delete(fingerprint);
        this.records.set(fingerprint, { record, index });
        return true;
    }

    private forgetOld(nowMs: number, index: number): void {
        for (const [fingerprint, { record }] of this.records) {
            if (nowMs - record.changed_at_ms > FORGET_AFTER_MS) {
                this.remove(fingerprint, index);
            }
        }
    }

    /** Records stand in the order of their newest crash. */
    private removeSurplus(index: number): void {
        if (this.records.size <= MOST_RECORDS) {
            return;
        }
        const byCrashes = [...this.records.values()].map(({ record }) => record).sort((left, right) =>
            countCrashes(left) - countCrashes(right)
        );
        byCrashes.slice(0, this.records.size - MOST_RECORDS).forEach(({ fingerprint }) => {
            this.remove(fingerprint, index);
        });
    }

    private remove(fingerprint: string, index: number): void {
        const known = this.records.get(fingerprint)?.record;
        this.records.delete(fingerprint);
        if (known === undefined || !isNearQuarantine(known)) {
            return;
        }
        this.forgotten.set(fingerprint, index);
        for (const [oldest, atIndex] of this.forgotten) {
            if (this.forgotten.size <= MOST_FORGOTTEN) {
                return;
            }
            this.forgotten.delete(oldest);
            this.forgottenIndex = Math.max(this.forgottenIndex, atIndex);
        }
    }
}

function countCrashes({ silent, midway }: CrashRecord): number {
    return silent.length + midway.length;
}
