import type { Folder } from "../src/index.js";

/**
 * A folder in memory that loses unsynced writes when it crashes, and may leave a torn write.
 */
export class MemoryFolder {
    private files = new Map<string, Buffer>();
    /** Unsynced appends, oldest first. */
    private readonly pendingWrites: { readonly name: string; readonly content: Buffer; }[] = [];
    private generation = 0;

    /**
     * @param drawSyncMs - returns how long the next sync takes
     */
    constructor(private readonly drawSyncMs: () => number = () => 0) {}

    /** Opens the folder. Operations on a folder opened before a crash have no effect. */
    open(): Folder {
        const { generation } = this;
        return {
            list: () => Promise.resolve([...this.files.keys()]),
            read: (name) => Promise.resolve(this.files.get(name)),
            append: (name, content) =>
                this.write(
                    generation,
                    name,
                    content,
                    () => Buffer.concat([this.files.get(name) ?? Buffer.alloc(0), content]),
                ),
            replace: (name, content) => this.write(generation, undefined, content, () => content, name),
            remove: (name) => {
                if (generation === this.generation) {
                    this.files.delete(name);
                }
                return Promise.resolve();
            },
        };
    }

    /**
     * Crashes: unsynced writes are lost, except for a part of the oldest append.
     * @param tornFraction - size of that part, from 0 to 1
     */
    crash(tornFraction: number): void {
        this.generation += 1;
        const [first] = this.pendingWrites;
        if (first !== undefined) {
            const torn = first.content.subarray(0, Math.floor(first.content.length * tornFraction));
            this.files.set(first.name, Buffer.concat([this.files.get(first.name) ?? Buffer.alloc(0), torn]));
        }
        this.pendingWrites.length = 0;
    }

    /** Removes all files, as if the disk were replaced. */
    clear(): void {
        this.crash(0);
        this.files = new Map();
    }

    /** Changes a file without its owner's knowledge. */
    corrupt(name: string, change: (content: Buffer) => Buffer): void {
        this.files.set(name, change(this.files.get(name) ?? Buffer.alloc(0)));
    }

    private async write(
        generation: number,
        appendedTo: string | undefined,
        content: Buffer,
        compute: () => Buffer,
        name: string = appendedTo ?? "",
    ): Promise<void> {
        if (generation !== this.generation) {
            return new Promise(() => undefined);
        }
        const pendingWrite = { name, content };
        if (appendedTo !== undefined) {
            this.pendingWrites.push(pendingWrite);
        }
        const delayMs = this.drawSyncMs();
        if (delayMs > 0) {
            await new Promise((resolve) => setTimeout(resolve, delayMs));
        }
        if (generation !== this.generation) {
            return new Promise(() => undefined);
        }
        this.files.set(name, compute());
        this.pendingWrites.splice(this.pendingWrites.indexOf(pendingWrite), appendedTo === undefined ? 0 : 1);
    }
}
