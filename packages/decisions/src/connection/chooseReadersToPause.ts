/**
 * Which responses are no longer filled while an entry holds more unread bytes than its memory allows.
 *
 * Load pattern: some callers stop reading or read slowly, while upstreams send on. Each response is bounded by itself, but a
 * few hundred of them together exceed the memory of a small entry.
 *
 * Callers that read need no pause: their responses hold next to nothing. So the responses with the most unread bytes pause
 * first, and no others than those that hold the excess.
 */

/** A response, as far as its caller has read it. */
export interface ReaderView {
    readonly unreadBytes: number;
    /** Whether its upstream can be paused: it still sends, is not paused, and the caller does not keep up. */
    readonly isPausable: boolean;
}

/**
 * Chooses the responses whose upstreams pause.
 * @param readers - all responses of this entry
 * @param budgetBytes - most unread bytes in sum
 * @returns none within the budget; otherwise those with the most unread bytes, until they hold what exceeds the budget
 */
export function chooseReadersToPause<Reader extends ReaderView>(
    readers: readonly Reader[],
    budgetBytes: number,
): readonly Reader[] {
    let excessBytes = readers.reduce((sum, one) => sum + one.unreadBytes, -budgetBytes);
    const chosen: Reader[] = [];
    const pausable = excessBytes > 0 ? readers.filter((one) => one.isPausable) : [];
    for (const reader of pausable.sort((one, other) => other.unreadBytes - one.unreadBytes)) {
        if (excessBytes <= 0) {
            break;
        }
        chosen.push(reader);
        excessBytes -= reader.unreadBytes;
    }
    return chosen;
}
