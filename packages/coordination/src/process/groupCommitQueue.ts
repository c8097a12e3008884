/**
 * Group commit: batches records that wait for the disk, so that one sync covers many writes.
 */
import type { LogStorage, StorageRecord } from "./logStorage.js";

/** Dependencies of the queue. */
export interface GroupCommitQueueFunctions {
    readonly storage: LogStorage;
    /** Called once when a write or a callback fails; nothing is written afterwards. */
    readonly handleFault: (error: unknown) => void;
}

type QueuedWrite =
    | { readonly kind: "records"; readonly records: StorageRecord[]; readonly callbacks: (() => void)[]; }
    | { readonly kind: "other"; readonly write: () => Promise<void>; readonly callbacks: (() => void)[]; };

/** Writes in order. A callback runs once everything queued before it is synced. */
export class GroupCommitQueue {
    private readonly queued: QueuedWrite[] = [];
    private isWriting = false;
    private isClosed = false;
    private currentRun: Promise<void> = Promise.resolve();

    /**
     * @param functions - the storage and the failure handler
     */
    constructor(private readonly functions: GroupCommitQueueFunctions) {}

    /**
     * Queues records. Records that wait together share one sync.
     * @param records - the records to write
     */
    write(records: readonly StorageRecord[]): void {
        const last = this.queued.at(-1);
        if (last?.kind === "records") {
            records.forEach((record) => last.records.push(record));
        }
        else {
            this.queued.push({ kind: "records", records: [...records], callbacks: [] });
        }
        this.start();
    }

    /**
     * Queues a write of another kind, such as a snapshot.
     * @param write - performs the write
     */
    enqueueWrite(write: () => Promise<void>): void {
        this.queued.push({ kind: "other", write, callbacks: [] });
        this.start();
    }

    /**
     * Runs a callback after everything queued so far is synced, or at once if nothing is queued.
     * @param callback - the callback
     */
    runAfterSync(callback: () => void): void {
        const last = this.queued.at(-1);
        if (last !== undefined) {
            last.callbacks.push(callback);
        }
        else if (!this.isClosed) {
            callback();
        }
    }

    /**
     * Waits for the write in progress. The files must not be read by anything else before it has ended.
     * @returns resolves when no write is in progress
     */
    waitForPendingWrites(): Promise<void> {
        return this.currentRun;
    }

    /** Drops all queued writes; their callbacks never run. */
    close(): void {
        this.isClosed = true;
        this.queued.length = 0;
    }

    private start(): void {
        if (!this.isWriting && !this.isClosed) {
            this.isWriting = true;
            // Starts in a microtask, so that all writes caused by one message share a sync.
            this.currentRun = Promise.resolve().then(() => this.run());
        }
    }

    private async run(): Promise<void> {
        try {
            for (let write = this.queued[0]; write !== undefined && !this.isClosed; write = this.queued[0]) {
                await this.writeFirst(write);
            }
        }
        catch (error) {
            this.close();
            this.functions.handleFault(error);
        }
        this.isWriting = false;
    }

    private async writeFirst(write: QueuedWrite): Promise<void> {
        // While it is being written it stays at the head: it accepts callbacks, but no more records.
        this.queued[0] = { kind: "other", write: () => Promise.resolve(), callbacks: write.callbacks };
        await (write.kind === "records" ? this.functions.storage.write(write.records) : write.write());
        if (this.isClosed) {
            return;
        }
        this.queued.shift();
        write.callbacks.forEach((callback) => {
            callback();
        });
    }
}
