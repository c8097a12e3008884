/**
 * Notifies an engine of the end of a run, so that it frees the resources of the run.
 */
import { waitMs } from "../process/waitMs.js";

/** Options for one engine. */
export interface RunCancellerOptions {
    /** Sends the cancellation; rejects if it may not have arrived or was rejected. */
    readonly send: (run: string) => Promise<unknown>;
    /** Resolves once no step of a run is in flight; undefined if none is. */
    readonly waitForSteps: (run: string) => Promise<void> | undefined;
    /** Called if the engine could not be notified; it drops idle runs by itself after a while. */
    readonly handleFailure: (run: string, reason: string) => void;
}

const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 250;

/** Cancels runs at one engine. */
export class RunCanceller {
    /**
     * @param options - how to reach the engine
     */
    constructor(private readonly options: RunCancellerOptions) {}

    /**
     * Cancels a run. A step that was given up may still be in flight on another connection and would restart the run if
     * it arrived after the cancellation, so the cancellation is sent again once the step's call has ended.
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
