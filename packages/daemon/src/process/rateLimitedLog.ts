/**
 * A log whose volume is bounded: each kind of event has a number of lines a second, and what is left out is counted.
 */
import type { EventFields, EventLevel, EventLog } from "./eventLog.js";

/** Lines of one kind that are written in one second; a page of them is enough to see a pattern. */
const MOST_LINES_A_SECOND = 40;
const WINDOW_MS = 1_000;

interface Window {
    startMs: number;
    written: number;
    dropped: number;
}

/**
 * Bounds a log.
 * @param log - where lines go
 * @param getNowMs - the monotonic clock
 * @returns a log that says how many lines of a kind it left out, once that second is over
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
        if (window.written >= MOST_LINES_A_SECOND) {
            window.dropped += 1;
            return;
        }
        window.written += 1;
        log.record(level, event, fields);
    };
    return { record };
}
