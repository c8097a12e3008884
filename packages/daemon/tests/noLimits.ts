import { UpstreamRateLimiter } from "../src/process/entry/upstreamRateLimiter.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { NamedLimits } from "../src/process/namedLimits.js";
import type { LimitKeeper } from "../src/process/voter/limitKeeper.js";

/** A leader that knows of no limits. */
export const noLimits: Pick<LimitKeeper, "hasNews" | "listNews"> = {
    hasNews: () => false,
    listNews: () => ({ term: 0, change: 0, limits: [] }),
};

/** Creates what an entry knows of limits, before the first; its leader does not answer. */
export function createSends(
    getNowMs: () => number,
): { readonly limits: NamedLimits; readonly sends: UpstreamRateLimiter; } {
    const log = { record: () => undefined };
    const count = (): undefined => undefined;
    const metrics = { countLimit: count, recordLimits: count } as unknown as FleetMetrics;
    const limits = new NamedLimits({ getNowMs, log, metrics, handleChange: () => undefined });
    const sends = new UpstreamRateLimiter({
        instance: "entry-1",
        limits,
        getNowMs,
        countEntries: () => 1,
        random: () => 0,
        askLeader: () => new Promise(() => undefined),
        log,
        metrics,
    });
    return { limits, sends };
}
