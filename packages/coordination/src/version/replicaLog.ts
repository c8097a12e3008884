/**
 * The log in memory: a snapshot's position and the entries after it.
 * Lives for as long as the versions that it leads to.
 */
import type { LogEntry, ReplicaSet, Snapshot } from "@crankfork/schemas";

/** Where an entry stands in the log. */
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
    /** Replica sets by the index that they hold from; the first is the snapshot's. */
    private replicaChanges: ReplicaChange[] = [{ index: 0, replicas: { voters: [], learners: [] } }];

    /** Position of the last entry, or of the snapshot where none follows it. */
    get last(): LogPosition {
        return this.entries.at(-1) ?? this.snapshotPosition;
    }

    /** Position of the snapshot; the entries up to it are gone. */
    get start(): LogPosition {
        return this.snapshotPosition;
    }

    /** How many entries stand after the snapshot. */
    get length(): number {
        return this.entries.length;
    }

    /**
     * Gets the term of an entry.
     * @param index - position in the log
     * @returns the term, or undefined where the entry is gone or not there yet
     */
    getTerm(index: number): number | undefined {
        return index === this.snapshotPosition.index ? this.snapshotPosition.term : this.get(index)?.term;
    }

    /**
     * Gets an entry.
     * @param index - position in the log
     * @returns the entry, or undefined where it is gone or not there yet
     */
    get(index: number): LogEntry | undefined {
        return index > this.snapshotPosition.index ? this.entries[index - this.snapshotPosition.index - 1] : undefined;
    }

    /**
     * Gets the entries from an index on.
     * @param from - first index
     * @param limit - how many at the most
     * @returns the entries, oldest first
     */
    getFrom(from: number, limit: number = Number.MAX_SAFE_INTEGER): readonly LogEntry[] {
        const offset = Math.max(0, from - this.snapshotPosition.index - 1);
        return this.entries.slice(offset, offset + limit);
    }

    /**
     * Appends entries; what stood at their indexes or after is cut first.
     * @param entries - the entries, oldest first, joining what is there
     */
    append(entries: readonly LogEntry[]): void {
        const first = entries[0];
        if (first === undefined) {
            return;
        }
        this.entries.length = Math.min(this.entries.length, first.index - this.snapshotPosition.index - 1);
        this.entries.push(...entries);
        this.replicaChanges = [
            ...this.replicaChanges.filter((change) =>
                change.index < first.index || change.index <= this.snapshotPosition.index
            ),
            ...listReplicaChanges(entries),
        ];
    }

    /**
     * Replaces the entries up to a snapshot by it. Entries after it stay only where the log agrees with it.
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
     * Gets the replica set that holds as of an index. A change holds from the moment it stands in the log.
     * @param index - position in the log; the last one where left out
     * @returns the replica set
     */
    getReplicas(index: number = this.last.index): ReplicaSet {
        const change = this.replicaChanges.findLast((one) => one.index <= index) ?? this.replicaChanges[0];
        return change?.replicas ?? { voters: [], learners: [] };
    }
}

function listReplicaChanges(entries: readonly LogEntry[]): readonly ReplicaChange[] {
    return entries.flatMap(({ index, payload }) =>
        payload.kind === "replicas" ? [{ index, replicas: payload.replicas }] : []
    );
}
