import { LimitSends } from "../src/process/entry/limitSends.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { NamedLimits } from "../src/process/namedLimits.js";
import type { LimitKeeper } from "../src/process/voter/limitKeeper.js";

/** A leader that knows of no limits. */
export const noLimits: Pick<LimitKeeper, "hasNews" | "listNews"> = {
    hasNews: () => false,
    listNews: () => ({ term: 0, change: 0, limits: [] }),
};

/** Creates the sends of an entry that heard of no limits. */
export function createSends(getNowMs: () => number): LimitSends {
    const log = { record: () => undefined };
    const metrics = {} as FleetMetrics;
    const limits = new NamedLimits({ getNowMs, log, metrics, handleChange: () => undefined });
    return new LimitSends({
        instance: "entry-1",
        limits,
        getNowMs,
        countEntries: () => 1,
        random: () => 0,
        askLeader: () => Promise.reject(new Error("no leader is known")),
        log,
        metrics,
    });
}
