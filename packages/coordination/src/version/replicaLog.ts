/**
 * The log in memory: the position of a snapshot and the entries after it.
 */
import type { LogEntry, ReplicaSet, Snapshot } from "@crankfork/schemas";

/** Position of an entry in the log. */
export interface LogPosition {
    readonly index: number;
    readonly term: number;
}

interface ReplicaChange {
    readonly index: number;
    readonly replicas: ReplicaSet;
}

/** Entries after a snapshot, in order and without gaps. */
export class ReplicaLog {
    private snapshotPosition: LogPosition = { index: 0, term: 0 };
    private entries: LogEntry[] = [];
    /** Replica sets by the index at which they take effect; the first is that of the snapshot. */
    private replicaChanges: ReplicaChange[] = [{ index: 0, replicas: { voters: [], learners: [] } }];

    /** Position of the last entry, or of the snapshot if there are no entries. */
    get last(): LogPosition {
        return this.entries.at(-1) ?? this.snapshotPosition;
    }

    /** Position of the snapshot; the entries up to it are compacted. */
    get start(): LogPosition {
        return this.snapshotPosition;
    }

    /** Number of entries after the snapshot. */
    get length(): number {
        return this.entries.length;
    }

    /**
     * Gets the term of an entry.
     * @param index - position in the log
     * @returns the term, or undefined if the entry is compacted or does not exist yet
     */
    getTerm(index: number): number | undefined {
        return index === this.snapshotPosition.index ? this.snapshotPosition.term : this.get(index)?.term;
    }

    /**
     * Gets an entry.
     * @param index - position in the log
     * @returns the entry, or undefined if it is compacted or does not exist yet
     */
    get(index: number): LogEntry | undefined {
        return index > this.snapshotPosition.index ? this.entries[index - this.snapshotPosition.index - 1] : undefined;
    }

    /**
     * Gets the entries from an index on.
     * @param from - first index
     * @param limit - maximum number of entries
     * @returns the entries, oldest first
     */
    getFrom(from: number, limit: number = Number.MAX_SAFE_INTEGER): readonly LogEntry[] {
        const offset = Math.max(0, from - this.snapshotPosition.index - 1);
        return this.entries.slice(offset, offset + limit);
    }

    /**
     * Appends entries. Existing entries from the first new index on are truncated.
     * @param entries - the entries, oldest first, without a gap to the existing ones
     */
    append(entries: readonly LogEntry[]): void {
        const first = entries[0];
        if (first === undefined) {
            return;
        }
        this.entries.length = Math.min(this.entries.length, first.index - this.snapshotPosition.index - 1);
        entries.forEach((entry) => this.entries.push(entry));
        this.replicaChanges = [
            ...this.replicaChanges.filter((change) =>
                change.index < first.index || change.index <= this.snapshotPosition.index
            ),
            ...listReplicaChanges(entries),
        ];
    }

    /**
     * Replaces the entries up to a snapshot with it. Later entries are kept only if the log contains the snapshot's
     * entry.
     * @param snapshot - the snapshot
     */
    compact(snapshot: Snapshot): void {
        const hasSnapshotEntry = this.getTerm(snapshot.index) === snapshot.term;
        this.entries = hasSnapshotEntry ? [...this.getFrom(snapshot.index + 1)] : [];
        this.snapshotPosition = { index: snapshot.index, term: snapshot.term };
        this.replicaChanges = [
            { index: snapshot.index, replicas: snapshot.replicas },
            ...listReplicaChanges(this.entries),
        ];
    }

    /**
     * Gets the replica set in effect at an index. A change takes effect as soon as it is appended to the log.
     * @param index - position in the log; defaults to the last one
     * @returns the replica set
     */
    getReplicas(index: number = this.last.index): ReplicaSet {
        const change = this.replicaChanges.findLast((candidate) => candidate.index <= index) ?? this.replicaChanges[0];
        return change?.replicas ?? { voters: [], learners: [] };
    }
}

function listReplicaChanges(entries: readonly LogEntry[]): readonly ReplicaChange[] {
    return entries.flatMap(({ index, payload }) =>
        payload.kind === "replicas" ? [{ index, replicas: payload.replicas }] : []
    );
}
