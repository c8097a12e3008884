/**
 * The clock of a process, which says in the log where its machine slept.
 */
import { SuspendAwareClock } from "@crankfork/coordination";
import type { EventLog } from "./eventLog.js";

/**
 * Creates the clock.
 * @param getLog - where a waking is written; asked only then
 * @returns a monotonic clock that notices time asleep
 */
export function createSteadyClock(getLog: () => EventLog): SuspendAwareClock {
    return new SuspendAwareClock(({ wallClockJumpMs: aheadMs, suspendedMs: asleepMs, isConfirmed }) => {
        getLog().record("warn", "woke", {
            ahead_ms: Math.round(aheadMs),
            asleep_ms: Math.round(asleepMs),
            is_confirmed: isConfirmed,
        });
    });
}
