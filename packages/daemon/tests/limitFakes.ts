import { UpstreamRateLimiter } from "../src/process/entry/upstreamRateLimiter.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";
import type { RateLimitCoordinator } from "../src/process/voter/rateLimitCoordinator.js";

/** A coordinator without rate limits. */
export const noLimits: Pick<RateLimitCoordinator, "hasUpdates" | "listUpdates"> = {
    hasUpdates: () => false,
    listUpdates: () => ({ term: 0, change: 0, limits: [] }),
};

/** Creates an entry's rate limit components without any limit; its leader does not answer. */
export function createSends(
    getNowMs: () => number,
): { readonly limits: UpstreamRateLimits; readonly rateLimiter: UpstreamRateLimiter; } {
    const log = { record: () => undefined };
    const count = (): undefined => undefined;
    const metrics = { countLimitChange: count, recordLimitCount: count } as unknown as FleetMetrics;
    const limits = new UpstreamRateLimits({ getNowMs, log, metrics, handleChange: () => undefined });
    const rateLimiter = new UpstreamRateLimiter({
        instance: "entry-1",
        limits,
        getNowMs,
        countEntries: () => 1,
        random: () => 0,
        askLeader: () => new Promise(() => undefined),
        log,
        metrics,
    });
    return { limits, rateLimiter };
}
