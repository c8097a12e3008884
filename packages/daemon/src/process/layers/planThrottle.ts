/**
 * Decides when the layers of a service are planned again.
 *
 * Planning time grows with the number of engines. With thousands of engines, planning at every tick regardless of changes takes
 * all of the leader's processor time, and it stops committing.
 */

/** Minimum interval between plans, per engine; limits planning to about an eighth of a core. */
const MIN_INTERVAL_MS_PER_ENGINE = 0.25;

/** The last plan of a service. */
interface LastPlan {
    readonly atMs: number;
    /** Inputs of a plan that gave no orders; the same inputs would give none again. */
    readonly settledKey: string | undefined;
}

/** Throttles planning. */
export class PlanThrottle {
    private readonly last = new Map<string, LastPlan>();

    /**
     * Tells whether a service's layers have to be planned.
     * @param service - its name
     * @param key - everything that the plan depends on
     * @param engines - number of engines
     * @param nowMs - the monotonic clock
     * @returns false if nothing has changed or the last plan is too recent
     */
    isDue(service: string, key: string, engines: number, nowMs: number): boolean {
        const last = this.last.get(service);
        return last === undefined
            || (last.settledKey !== key && nowMs - last.atMs >= engines * MIN_INTERVAL_MS_PER_ENGINE);
    }

    /**
     * Records a plan.
     * @param service - its name
     * @param key - everything that the plan depended on
     * @param isSettled - whether it gave no orders
     * @param nowMs - the monotonic clock
     */
    recordPlan(service: string, key: string, isSettled: boolean, nowMs: number): void {
        this.last.set(service, { atMs: nowMs, settledKey: isSettled ? key : undefined });
    }

    /** Drops all records; another leader may have given orders since. */
    reset(): void {
        this.last.clear();
    }
}
