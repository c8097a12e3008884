/**
 * Sizes of the log's entries.
 */
import type { LogEntry } from "@crankfork/schemas";

/** An entry goes to several replicas, and never changes. */
const cachedBytes = new WeakMap<LogEntry, number>();

/**
 * Computes about how large an entry is in a message.
 * @param entry - the entry
 * @returns bytes of its payload as JSON, where all of it is ASCII
 */
export function computeEntryBytes(entry: LogEntry): number {
    const bytes = cachedBytes.get(entry) ?? JSON.stringify(entry.payload).length;
    cachedBytes.set(entry, bytes);
    return bytes;
}
