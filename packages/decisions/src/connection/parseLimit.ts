/**
 * Reads the rate that an upstream says it takes: requests a second as a plain decimal number.
 */

/** What an answer says of a limit. */
export type LimitNotice =
    /** No limit, so one that was named before is over. */
    | { readonly kind: "none"; }
    /** From all instances together. */
    | { readonly kind: "limit"; readonly requestsASecond: number; }
    /** Changes nothing. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** Digits with at most one point; a sign or an exponent is none of a rate's. */
const RATE_PATTERN = /^(\d+\.?\d*|\.\d+)$/;
/** What is kept of a text that makes no sense, for the log. */
const MOST_TEXT = 60;

/**
 * Reads the header.
 * @param values - each time that the header was there; none where it was left out
 * @returns the lowest limit that can be read; a text where none can be
 */
export function parseLimit(values: readonly string[]): LimitNotice {
    const texts = values.flatMap((value) => value.split(",")).map((text) => text.trim());
    const rates = texts.filter((text) => RATE_PATTERN.test(text)).map(Number).filter(Number.isFinite);
    if (rates.length > 0) {
        return { kind: "limit", requestsASecond: Math.min(...rates) };
    }
    return texts.length === 0 ? { kind: "none" } : { kind: "unreadable", text: texts.join(",").slice(0, MOST_TEXT) };
}
