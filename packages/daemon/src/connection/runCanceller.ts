/**
 * Tells an engine that a run is over, so that it frees what the run holds there.
 */
import { waitMs } from "../process/waitMs.js";

/** What is needed to tell one engine. */
export interface RunCancellerOptions {
    /** Sends the notice; rejects where it may not have come or was turned away. */
    readonly send: (run: string) => Promise<unknown>;
    /** Resolves once no step of a run is on its way to the engine; undefined where none is. */
    readonly waitForSteps: (run: string) => Promise<void> | undefined;
    /** Called where the engine could not be told; it forgets idle runs by itself after a while. */
    readonly handleFailure: (run: string, reason: string) => void;
}

const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 250;

/** Tells one engine. */
export class RunCanceller {
    /**
     * @param options - the way to the engine
     */
    constructor(private readonly options: RunCancellerOptions) {}

    /**
     * Tells that a run is over. A step that was given up may still be on its way over another connection and would begin the run
     * anew after the notice, so the engine is told again once it has come.
     * @param run - the run
     */
    async cancel(run: string): Promise<void> {
        const steps = this.options.waitForSteps(run);
        await this.sendWithRetries(run);
        if (steps !== undefined) {
            await steps;
            await this.sendWithRetries(run);
        }
    }

    private async sendWithRetries(run: string): Promise<void> {
        let reason = "";
        for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
            try {
                await this.options.send(run);
                return;
            }
            catch (error) {
                reason = error instanceof Error ? error.message : String(error);
            }
            await waitMs(RETRY_DELAY_MS);
        }
        this.options.handleFailure(run, reason);
    }
}
