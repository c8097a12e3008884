/**
 * Parses the rate limit that an upstream states in a header: requests a second as a plain decimal number.
 */

/** What a response states about a rate limit. */
export type LimitNotice =
    /** No limit; ends one that was stated before. */
    | { readonly kind: "none"; }
    /** For all instances together. */
    | { readonly kind: "limit"; readonly requestsPerSecond: number; }
    /** Ignored, apart from a log line. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** Digits with at most one decimal point; no sign and no exponent. */
const RATE_PATTERN = /^(\d+\.?\d*|\.\d+)$/;
/** Characters of an invalid value that are kept for the log. */
const MAX_LOGGED_LENGTH = 60;

/**
 * Parses the header.
 * @param values - each occurrence of the header; empty where it was absent
 * @returns the lowest valid limit; the text where no value is valid
 */
export function parseLimit(values: readonly string[]): LimitNotice {
    const texts = values.flatMap((value) => value.split(",")).map((text) => text.trim());
    const rates = texts.filter((text) => RATE_PATTERN.test(text)).map(Number).filter(Number.isFinite);
    if (rates.length > 0) {
        return { kind: "limit", requestsPerSecond: Math.min(...rates) };
    }
    return texts.length === 0
        ? { kind: "none" }
        : { kind: "unreadable", text: texts.join(",").slice(0, MAX_LOGGED_LENGTH) };
}
