/**
 * Memory of engines as learned from declines. Answers work that no entry knows of, such as requests of other
 * deployments or figures that don't fit the engine: an engine that declines is at its limit with what it has.
 */

/** A limit that was learned. */
interface LearnedLimit {
    readonly tokens: number;
    readonly learnedMs: number;
}

/** How long a limit holds: until the loads that entries reported at that moment have been replaced. */
const HOLD_MS = 1_000;
/** Time over which it grows back to the computed one, so that an engine that is still short gets few requests. */
const GROWTH_MS = 2_000;

/** Limits by engine. */
export class LearnedRoom {
    private readonly limits = new Map<string, LearnedLimit>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Records that an engine declined a request for lack of memory.
     * @param engine - the engine
     * @param tokens - tokens that were in use there
     */
    recordDecline(engine: string, tokens: number): void {
        const nowMs = this.getNowMs();
        for (const [id, { learnedMs }] of this.limits) {
            if (nowMs - learnedMs >= HOLD_MS + GROWTH_MS) {
                this.limits.delete(id);
            }
        }
        this.limits.set(engine, { tokens, learnedMs: nowMs });
    }

    /**
     * Gets the memory of an engine.
     * @param engine - the engine
     * @param contextTokens - its memory by its profile
     * @returns tokens; less than the profile's for a while after a decline
     */
    getLimitTokens(engine: string, contextTokens: number): number {
        const limit = this.limits.get(engine);
        if (limit === undefined || limit.tokens >= contextTokens) {
            return contextTokens;
        }
        const grown = (this.getNowMs() - limit.learnedMs - HOLD_MS) / GROWTH_MS;
        return limit.tokens + (contextTokens - limit.tokens) * Math.min(1, Math.max(0, grown));
    }
}
