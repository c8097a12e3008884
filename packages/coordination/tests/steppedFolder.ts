import type { Folder } from "../src/index.js";

/** What ends the process, or the operation, at a step. */
export type FolderFailure = "kill" | "full disk" | "power loss";

/**
 * A folder in memory whose operations consist of steps, so that a failure can come between any two of them. The first
 * half of an appended line is a step of its own.
 */
export class SteppedFolder {
    /** Steps taken by all operations so far. */
    steps = 0;
    private failAt = Number.POSITIVE_INFINITY;
    private isFailed = false;
    private readonly files = new Map<string, Buffer>();
    /** Files removed since the folder was last synced; a power loss may bring each of them back. */
    private readonly removedFiles = new Map<string, Buffer>();

    /**
     * Lets the operations fail from a step on.
     * @param steps - number of steps that still succeed
     * @param failure - how the operation ends then; one that was killed never settles
     */
    failAfter(steps: number, failure: FolderFailure): void {
        this.failAt = this.steps + steps;
        this.failure = failure;
    }

    private failure: FolderFailure = "kill";

    /** Whether the failure has come. */
    get hasFailed(): boolean {
        return this.isFailed;
    }

    /**
     * Ends the failure, as a restart or free space does.
     * @param isFileRestored - whether a file comes back whose removal was not synced, by its place among these
     */
    recover(isFileRestored: (place: number) => boolean): void {
        if (this.isFailed && this.failure === "power loss") {
            [...this.removedFiles].filter((_, place) => isFileRestored(place)).forEach(([name, content]) => {
                this.files.set(name, content);
            });
        }
        this.isFailed = false;
        this.failAt = Number.POSITIVE_INFINITY;
    }

    /** Opens the folder. */
    open(): Folder {
        return {
            list: () => Promise.resolve([...this.files.keys()]),
            read: (name) => Promise.resolve(this.files.get(name)),
            append: async (name, content) => {
                const isNew = !this.files.has(name);
                const before = this.files.get(name) ?? Buffer.alloc(0);
                const half = content.subarray(0, content.length / 2);
                await this.take(() => this.files.set(name, Buffer.concat([before, half])));
                await this.take(() => this.files.set(name, Buffer.concat([before, content])));
                if (isNew) {
                    await this.take(() => {
                        this.removedFiles.clear();
                    });
                }
            },
            replace: async (name, content) => {
                await this.take(() => this.files.set(name, content));
                await this.take(() => {
                    this.removedFiles.clear();
                });
            },
            remove: (name) =>
                this.take(() => {
                    const content = this.files.get(name);
                    if (content !== undefined) {
                        this.removedFiles.set(name, content);
                    }
                    this.files.delete(name);
                }),
        };
    }

    private take(apply: () => void): Promise<void> {
        if (this.isFailed || this.steps >= this.failAt) {
            this.isFailed = true;
            return this.failure === "full disk"
                ? Promise.reject(new Error("ENOSPC: no space left on device"))
                : new Promise(() => undefined);
        }
        this.steps += 1;
        apply();
        return Promise.resolve();
    }
}
