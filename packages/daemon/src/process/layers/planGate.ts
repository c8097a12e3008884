/**
 * When the layers of a service are planned again.
 *
 * Load pattern: thousands of engines, and plans whose time grows with them. Made at every tick, whether anything has changed or
 * not, they take all that a leader has, and it confirms nothing any more.
 */

/** Between two plans, for each engine: planning has an eighth of a core at the most. */
const GAP_MS_AN_ENGINE = 0.25;

/** What is known of a service's plan. */
interface LastPlan {
    readonly atMs: number;
    /** What it rested on, where it ordered nothing: the same would come of it again. */
    readonly settledKey: string | undefined;
}

/** Lets plans through. */
export class PlanGate {
    private readonly last = new Map<string, LastPlan>();

    /**
     * Tells whether a service's layers are to be planned.
     * @param service - its name
     * @param key - all that a plan rests on
     * @param engines - how many there are
     * @param nowMs - the monotonic clock
     * @returns false where nothing has changed, or the last plan is too recent
     */
    isDue(service: string, key: string, engines: number, nowMs: number): boolean {
        const last = this.last.get(service);
        return last === undefined || (last.settledKey !== key && nowMs - last.atMs >= engines * GAP_MS_AN_ENGINE);
    }

    /**
     * Notes a plan.
     * @param service - its name
     * @param key - all that it rested on
     * @param isSettled - whether it ordered nothing
     * @param nowMs - the monotonic clock
     */
    recordPlan(service: string, key: string, isSettled: boolean, nowMs: number): void {
        this.last.set(service, { atMs: nowMs, settledKey: isSettled ? key : undefined });
    }

    /** Forgets all plans: another leader may have given orders since. */
    reset(): void {
        this.last.clear();
    }
}
