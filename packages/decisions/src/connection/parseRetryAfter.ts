/**
 * Reads for how long an upstream that turned a request away wants nothing more: `Retry-After` as a number of seconds, with
 * fractions (RFC 9110, section 10.2.3, without its dates: whose clock they would be read by is not said).
 */

/** What the header says. */
export type RetryAfterNotice =
    /** No header, or zero seconds. */
    | { readonly kind: "none"; }
    /** Whole, however long: infinite where the number is beyond what a number holds. */
    | { readonly kind: "rest"; readonly restMs: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

const MS_A_SECOND = 1_000;
/** A decimal number without a sign; programs write large ones with an exponent. */
const SECONDS_PATTERN = /^(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i;
/** What is kept of a text that makes no sense, for the log. */
const MOST_TEXT = 60;

/**
 * Reads the header.
 * @param values - each time that the header was there; none where it was left out
 * @returns the longest rest that can be read; a text where none can be
 */
export function parseRetryAfter(values: readonly string[]): RetryAfterNotice {
    const texts = values.map((value) => value.trim());
    const seconds = texts.filter((text) => SECONDS_PATTERN.test(text)).map(Number);
    const unreadable = texts.find((text) => !SECONDS_PATTERN.test(text));
    const restMs = Math.max(0, ...seconds) * MS_A_SECOND;
    if (restMs > 0) {
        return { kind: "rest", restMs };
    }
    return unreadable === undefined ? { kind: "none" } : { kind: "unreadable", text: unreadable.slice(0, MOST_TEXT) };
}
