/**
 * Formats values of unknown size and depth for messages.
 */

const MAX_DEPTH = 3;
const MAX_ENTRIES = 8;
const MAX_TEXT_LENGTH = 80;
const MAX_LENGTH = 120;
const ELLIPSIS = "...";

/**
 * Formats a value for a message, with bounded depth, length and work.
 * @param value - any value
 * @returns JSON for a small value; parts of a larger one are replaced by an ellipsis
 */
export function formatValue(value: unknown): string {
    return shortenText(formatPart(value, 0), MAX_LENGTH);
}

/**
 * Shortens a text.
 * @param text - any text
 * @param maxLength - length of the longest text that is kept, in UTF-16 code units
 * @returns the text, or its start and an ellipsis
 */
export function shortenText(text: string, maxLength: number): string {
    return text.length <= maxLength ? text : `${text.slice(0, maxLength)}${ELLIPSIS}`;
}

function formatPart(value: unknown, depth: number): string {
    if (typeof value === "string") {
        return JSON.stringify(shortenText(value, MAX_TEXT_LENGTH));
    }
    if (typeof value !== "object" || value === null) {
        return String(value);
    }
    if (value instanceof Date) {
        return JSON.stringify(value);
    }
    const isArray = Array.isArray(value);
    const [start, end] = isArray ? ["[", "]"] : ["{", "}"];
    const parts: string[] = [];
    // Listing the entries first would take time and memory by their number.
    for (const key in value) {
        if (depth >= MAX_DEPTH || parts.length >= MAX_ENTRIES) {
            parts.push(ELLIPSIS);
            break;
        }
        if (Object.hasOwn(value, key)) {
            const text = formatPart(Reflect.get(value, key), depth + 1);
            parts.push(isArray ? text : `${formatPart(key, depth)}:${text}`);
        }
    }
    return `${start}${parts.join(",")}${end}`;
}
