/**
 * The monotonic clock of a process, which logs when the machine resumed from sleep.
 */
import { SuspendAwareClock } from "@crankfork/coordination";
import type { EventLog } from "./eventLog.js";

/**
 * Creates the clock.
 * @param getLog - gets the log for resume events; called only when one occurs
 * @returns a monotonic clock that detects sleep
 */
export function createSuspendAwareClock(getLog: () => EventLog): SuspendAwareClock {
    return new SuspendAwareClock(({ wallClockJumpMs: aheadMs, suspendedMs: asleepMs, isConfirmed }) => {
        getLog().record("warn", "woke", {
            ahead_ms: Math.round(aheadMs),
            asleep_ms: Math.round(asleepMs),
            is_confirmed: isConfirmed,
        });
    });
}
