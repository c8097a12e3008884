/**
 * Sizes of log entries.
 */
import type { LogEntry } from "@crankfork/schemas";

/** Sizes are cached, since an entry is sent to several replicas and never changes. */
const cachedBytes = new WeakMap<LogEntry, number>();

/**
 * Computes the approximate size of an entry in a message.
 * @param entry - the entry
 * @returns size of its payload as JSON in bytes; an underestimate if it contains non-ASCII text
 */
export function computeEntryBytes(entry: LogEntry): number {
    const bytes = cachedBytes.get(entry) ?? JSON.stringify(entry.payload).length;
    cachedBytes.set(entry, bytes);
    return bytes;
}
