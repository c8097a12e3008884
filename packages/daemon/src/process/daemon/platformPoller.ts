/**
 * The platform's list of live and leaving instances; the one place that knows its shape. It lags, so only what it
 * says of leaving is used: an instance that it still calls live may be gone.
 */
import type { Dispatcher } from "undici";
import * as z from "zod";
import { fetchJson } from "../../connection/httpClient.js";

const listSchema = z.object({
    instances: z.array(z.object({ address: z.string(), state: z.string() })),
});

const TIMEOUT_MS = 2_000;

/** Asks for the list from time to time. */
export class PlatformList {
    private timer: NodeJS.Timeout | undefined;

    /**
     * @param agent - the connections to use
     * @param url - where the list is
     * @param pollMs - between two questions
     * @param handleLeaving - called with the addresses of instances that leave
     */
    constructor(
        private readonly agent: Dispatcher,
        private readonly url: string,
        private readonly pollMs: number,
        private readonly handleLeaving: (addresses: readonly string[]) => void,
    ) {}

    /** Starts to ask. */
    start(): void {
        this.timer = setInterval(() => {
            void this.poll();
        }, this.pollMs);
    }

    /** Stops. */
    stop(): void {
        clearInterval(this.timer);
    }

    private async poll(): Promise<void> {
        try {
            const raw = await fetchJson(
                { agent: this.agent, peer: "platform", url: this.url, method: "GET" },
                TIMEOUT_MS,
            );
            const leaving = listSchema.parse(raw).instances.filter((one) => one.state === "leaving");
            this.handleLeaving(leaving.map((one) => one.address));
        }
        catch {
            // The list is one input among several; without it probes and the engines' own notice remain.
        }
    }
}
