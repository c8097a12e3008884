/**
 * Limits how many asynchronous operations run at a time.
 */

/** Runs operations in the order in which they arrive. */
export class ConcurrencyLimit {
    private running = 0;
    private readonly waiting: (() => void)[] = [];

    /**
     * @param maxRunning - maximum number of operations that run at a time
     */
    constructor(private readonly maxRunning: number) {}

    /**
     * Runs an operation once fewer than the maximum number are running.
     * @param operation - the operation
     * @returns its result
     */
    async run<Result>(operation: () => Promise<Result>): Promise<Result> {
        if (this.running >= this.maxRunning) {
            await new Promise<void>((resolve) => this.waiting.push(resolve));
        }
        else {
            this.running += 1;
        }
        try {
            return await operation();
        }
        finally {
            const next = this.waiting.shift();
            // The place passes to the next operation, so that no other one takes it in between.
            if (next === undefined) {
                this.running -= 1;
            }
            else {
                next();
            }
        }
    }
}
