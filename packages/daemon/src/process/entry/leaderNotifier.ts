/**
 * Reports findings of an entry to the leader, and retries until a quorum has stored them, since the leader may change.
 */
import { runLoop } from "../startTask.js";
import { waitMs } from "../waitMs.js";

/** What to send, and how. */
export interface LeaderNotifierOptions {
    readonly hasPending: () => boolean;
    /** Sends all pending findings; resolves to false where they were not accepted. */
    readonly send: () => Promise<boolean>;
    /** Findings within this time after the first are sent together, in milliseconds. */
    readonly batchMs: number;
}

const RETRY_MS = 100;

/** Reports one kind of finding. */
export class LeaderNotifier {
    private isRunning = false;

    /**
     * @param options - what to send
     */
    constructor(private readonly options: LeaderNotifierOptions) {}

    /** Sends all pending findings, unless a run is already in progress. */
    async run(): Promise<void> {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        await waitMs(this.options.batchMs);
        await runLoop("leader-notice", () => this.isRunning = this.options.hasPending(), async () => {
            if (!await this.options.send()) {
                await waitMs(RETRY_MS);
            }
        });
    }
}
