/**
 * Tells the leader what an entry found out, and tells it again until a quorum holds it; the next leader may be another.
 */
import { waitMs } from "../waitMs.js";

/** What is told, and how. */
export interface LeaderNotifierOptions {
    readonly hasUntold: () => boolean;
    /** Tells all there is; false where it was not taken. */
    readonly tell: () => Promise<boolean>;
    /** What comes so soon after the first is told with it, in milliseconds. */
    readonly gatherMs: number;
}

const TELL_AGAIN_MS = 100;

/** Tells one kind of finding. */
export class LeaderNotifier {
    private isReporting = false;

    /**
     * @param options - what is told
     */
    constructor(private readonly options: LeaderNotifierOptions) {}

    /** Tells all there is, unless that is under way. */
    async run(): Promise<void> {
        if (this.isReporting) {
            return;
        }
        this.isReporting = true;
        await waitMs(this.options.gatherMs);
        while (this.options.hasUntold()) {
            if (!await this.options.tell()) {
                await waitMs(TELL_AGAIN_MS);
            }
        }
        this.isReporting = false;
    }
}
