/**
 * A log with bounded volume: each event name has a line budget per second, and suppressed lines are counted.
 */
import type { EventFields, EventLevel, EventLog } from "./eventLog.js";

/** Lines per event name and second; a page of them suffices to see a pattern. */
const MAX_LINES_PER_SECOND = 40;
const WINDOW_MS = 1_000;

interface Window {
    startMs: number;
    written: number;
    dropped: number;
}

/**
 * Limits the rate of a log.
 * @param log - the underlying log
 * @param getNowMs - the monotonic clock
 * @returns a log that reports the number of suppressed lines with the first line of that name after the window
 */
export function createRateLimitedLog(log: EventLog, getNowMs: () => number): EventLog {
    const windows = new Map<string, Window>();
    const record = (level: EventLevel, event: string, fields: EventFields = {}): void => {
        const nowMs = getNowMs();
        const window = windows.get(event) ?? { startMs: nowMs, written: 0, dropped: 0 };
        windows.set(event, window);
        if (nowMs - window.startMs >= WINDOW_MS) {
            if (window.dropped > 0) {
                log.record("warn", "lines-dropped", { of: event, count: window.dropped });
            }
            window.startMs = nowMs;
            window.written = 0;
            window.dropped = 0;
        }
        if (window.written >= MAX_LINES_PER_SECOND) {
            window.dropped += 1;
            return;
        }
        window.written += 1;
        log.record(level, event, fields);
    };
    return { record };
}
