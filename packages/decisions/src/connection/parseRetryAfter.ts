/**
 * Parses the `Retry-After` header of an upstream that rejected a request: a number of seconds, with fractions (RFC
 * 9110, section 10.2.3). Dates are not supported, since the clock that they refer to is unknown.
 */

/** What the header says. */
export type RetryAfterNotice =
    /** No header, or zero seconds. */
    | { readonly kind: "none"; }
    /** Not capped; infinite where the value exceeds the range of a number. */
    | { readonly kind: "rest"; readonly backoffMs: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

const MS_PER_SECOND = 1_000;
/** A decimal number without a sign; some programs write large ones with an exponent. */
const SECONDS_PATTERN = /^(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i;
/** Characters of an invalid value that are kept for the log. */
const MAX_LOGGED_LENGTH = 60;

/**
 * Parses the header.
 * @param values - each occurrence of the header; empty where it was absent
 * @returns the longest valid delay; the text of an invalid value where there is no delay
 */
export function parseRetryAfter(values: readonly string[]): RetryAfterNotice {
    const texts = values.map((value) => value.trim());
    const seconds = texts.filter((text) => SECONDS_PATTERN.test(text)).map(Number);
    const unreadable = texts.find((text) => !SECONDS_PATTERN.test(text));
    const backoffMs = Math.max(0, ...seconds) * MS_PER_SECOND;
    if (backoffMs > 0) {
        return { kind: "rest", backoffMs };
    }
    return unreadable === undefined
        ? { kind: "none" }
        : { kind: "unreadable", text: unreadable.slice(0, MAX_LOGGED_LENGTH) };
}
