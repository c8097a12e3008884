/**
 * Polls the platform's list of live and leaving instances. Only this file depends on the list's format. The list lags
 * behind, so only its leaving entries are used: an instance that it lists as live may already be gone.
 */
import type { Dispatcher } from "undici";
import * as z from "zod";
import { fetchJson } from "../../connection/httpClient.js";
import { INSTANCE_LIST_LIMIT_BYTES } from "../../connection/messageLimits.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";

const listSchema = z.object({
    instances: z.array(z.object({ address: z.string(), state: z.string() })),
});

const REQUEST_TIMEOUT_MS = 2_000;

/** Polls the platform's instance list. */
export class PlatformPoller {
    private stopTask: StopPeriodicTask | undefined;

    /**
     * @param agent - connection pool
     * @param url - URL of the list
     * @param pollMs - polling interval
     * @param handleLeaving - called with the addresses of leaving instances
     */
    constructor(
        private readonly agent: Dispatcher,
        private readonly url: string,
        private readonly pollMs: number,
        private readonly handleLeaving: (addresses: readonly string[]) => void,
    ) {}

    /** Starts polling. */
    start(): void {
        this.stopTask = startPeriodicTask("platform-poll", this.pollMs, () => this.poll());
    }

    /** Stops polling. */
    stop(): void {
        this.stopTask?.();
    }

    private async poll(): Promise<void> {
        try {
            const raw = await fetchJson(
                {
                    agent: this.agent,
                    peer: "platform",
                    url: this.url,
                    method: "GET",
                    limitBytes: INSTANCE_LIST_LIMIT_BYTES,
                },
                REQUEST_TIMEOUT_MS,
            );
            const leaving = listSchema.parse(raw).instances.filter((one) => one.state === "leaving");
            this.handleLeaving(leaving.map((one) => one.address));
        }
        catch {
            // A failed poll is tolerable: status polls and the engines' own notices also show that an instance is leaving.
        }
    }
}
