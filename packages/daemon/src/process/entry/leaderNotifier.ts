/**
 * Tells the leader what an entry found out, and tells it again until a quorum holds it; the next leader may be another.
 */
import { waitMs } from "../waitMs.js";

/** What is told, and how. */
export interface LeaderNotifierOptions {
    readonly hasPending: () => boolean;
    /** Tells all there is; false where it was not taken. */
    readonly send: () => Promise<boolean>;
    /** What comes so soon after the first is told with it, in milliseconds. */
    readonly batchMs: number;
}

const RETRY_MS = 100;

/** Tells one kind of finding. */
export class LeaderNotifier {
    private isRunning = false;

    /**
     * @param options - what is told
     */
    constructor(private readonly options: LeaderNotifierOptions) {}

    /** Tells all there is, unless that is under way. */
    async run(): Promise<void> {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        await waitMs(this.options.batchMs);
        while (this.options.hasPending()) {
            if (!await this.options.send()) {
                await waitMs(RETRY_MS);
            }
        }
        this.isRunning = false;
    }
}
