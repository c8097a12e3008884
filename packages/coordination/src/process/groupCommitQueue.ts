/**
 * Gathers what waits for the disk, so that one sync serves many writes.
 */
import type { LogStorage, StorageRecord } from "./logStorage.js";

/** What the queue tells its owner. */
export interface DurableQueueFunctions {
    readonly storage: LogStorage;
    /** Called once when the disk fails; nothing is written after it. */
    readonly handleFault: (error: unknown) => void;
}

type QueuedWrite =
    | { readonly kind: "records"; readonly records: StorageRecord[]; readonly callbacks: (() => void)[]; }
    | { readonly kind: "other"; readonly write: () => Promise<void>; readonly callbacks: (() => void)[]; };

/** Writes in order; a callback runs once all that was queued before it is synced. */
export class DurableQueue {
    private readonly queued: QueuedWrite[] = [];
    private isWriting = false;
    private isClosed = false;
    private running: Promise<void> = Promise.resolve();

    /**
     * @param functions - the storage, and what to do when it fails
     */
    constructor(private readonly functions: DurableQueueFunctions) {}

    /**
     * Queues records; those that wait together share one sync.
     * @param records - what to keep
     */
    write(records: readonly StorageRecord[]): void {
        const last = this.queued.at(-1);
        if (last?.kind === "records") {
            last.records.push(...records);
        }
        else {
            this.queued.push({ kind: "records", records: [...records], callbacks: [] });
        }
        this.start();
    }

    /**
     * Queues a write of another kind, such as a snapshot.
     * @param write - does the write
     */
    writeOther(write: () => Promise<void>): void {
        this.queued.push({ kind: "other", write, callbacks: [] });
        this.start();
    }

    /**
     * Runs a callback after everything queued so far is synced; at once where nothing is.
     * @param callback - what to run
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
     * Waits for the write that is under way; nothing else may read the files before it has ended.
     * @returns resolves once nothing is written any more
     */
    awaitWritten(): Promise<void> {
        return this.running;
    }

    /** Drops what is queued; no callback runs any more. */
    close(): void {
        this.isClosed = true;
        this.queued.length = 0;
    }

    private start(): void {
        if (!this.isWriting && !this.isClosed) {
            this.isWriting = true;
            // Waiting for the end of this turn lets everything that one message causes share a sync.
            this.running = Promise.resolve().then(() => this.run());
        }
    }

    private async run(): Promise<void> {
        try {
            for (let write = this.queued[0]; write !== undefined && !this.isClosed; write = this.queued[0]) {
                await this.runOne(write);
            }
        }
        catch (error) {
            this.close();
            this.functions.handleFault(error);
        }
        this.isWriting = false;
    }

    private async runOne(write: QueuedWrite): Promise<void> {
        // While it is being written it stays at the head, closed to more records but open to callbacks.
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
