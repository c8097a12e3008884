/**
 * Requests of entries that wait until this voter knows of a leader, or of something else that is new to them.
 */
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";

/** Shorter than the time after which an entry gives up a request. */
const MAX_WAIT_MS = 800;
const CHECK_INTERVAL_MS = 25;

interface WaitingRequest {
    readonly hasNews: () => boolean;
    readonly untilMs: number;
    readonly resolve: () => void;
}

/** Holds requests until there is news for them. One timer serves all of them. */
export class LeaderWait {
    private waiting: WaitingRequest[] = [];
    private stopTask: StopPeriodicTask | undefined;

    /**
     * @param getNowMs - reads the monotonic clock, in milliseconds
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Waits for news.
     * @param hasNews - whether there is news for a request
     * @returns resolves once there is, and after {@link MAX_WAIT_MS} at the latest
     */
    waitForNews(hasNews: () => boolean): Promise<void> {
        if (hasNews()) {
            return Promise.resolve();
        }
        return new Promise((resolve) => {
            this.waiting.push({ hasNews, untilMs: this.getNowMs() + MAX_WAIT_MS, resolve });
            this.stopTask ??= startPeriodicTask("leader-wait", CHECK_INTERVAL_MS, () => {
                this.check();
            });
        });
    }

    private check(): void {
        const nowMs = this.getNowMs();
        const over = new Set(this.waiting.filter(({ hasNews, untilMs }) => nowMs >= untilMs || hasNews()));
        this.waiting = this.waiting.filter((one) => !over.has(one));
        if (this.waiting.length === 0) {
            this.stopTask?.();
            this.stopTask = undefined;
        }
        over.forEach(({ resolve }) => {
            resolve();
        });
    }
}
