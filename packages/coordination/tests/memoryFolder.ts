import type { Folder } from "../src/index.js";

/**
 * A folder in memory that loses what was not synced when it crashes, and may tear the write that was under way.
 */
export class MemoryFolder {
    private files = new Map<string, Buffer>();
    /** Writes under way, oldest first. */
    private readonly unfinished: { readonly name: string; readonly content: Buffer; }[] = [];
    private generation = 0;

    /**
     * @param delayMs - how long a sync takes
     */
    constructor(private readonly delayMs: () => number = () => 0) {}

    /** Opens the folder; operations of an opening before a crash have no effect. */
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
     * Crashes: writes under way are lost, but a part of the first append may be there.
     * @param tornShare - how much of it, from 0 to 1
     */
    crash(tornShare: number): void {
        this.generation += 1;
        const [first] = this.unfinished;
        if (first !== undefined) {
            const torn = first.content.subarray(0, Math.floor(first.content.length * tornShare));
            this.files.set(first.name, Buffer.concat([this.files.get(first.name) ?? Buffer.alloc(0), torn]));
        }
        this.unfinished.length = 0;
    }

    /** Loses all files, as a replaced disk would. */
    clear(): void {
        this.crash(0);
        this.files = new Map();
    }

    /** Changes a file behind the back of its owner. */
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
        const unfinished = { name, content };
        if (appendedTo !== undefined) {
            this.unfinished.push(unfinished);
        }
        const delayMs = this.delayMs();
        if (delayMs > 0) {
            await new Promise((resolve) => setTimeout(resolve, delayMs));
        }
        if (generation !== this.generation) {
            return new Promise(() => undefined);
        }
        this.files.set(name, compute());
        this.unfinished.splice(this.unfinished.indexOf(unfinished), appendedTo === undefined ? 0 : 1);
    }
}
