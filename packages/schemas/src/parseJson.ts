/**
 * Parses JSON of other parties within limits on its depth and memory, and formats JSON of any depth.
 */
import type { ValidationResult } from "./readToml.js";

/** Maximum depth of nested objects and arrays: recursion to this depth fits into any stack. */
export const MAX_JSON_DEPTH = 100;
/** Maximum number of values in a text. */
export const MAX_JSON_VALUES = 2_000_000;
/** Maximum number of objects and arrays in a text. */
export const MAX_JSON_CONTAINERS = 1_000_000;
/** Maximum number of different member names in a text: each takes many times the memory of its text. */
export const MAX_JSON_NAMES = 100_000;

const MAX_NAME_LENGTH = 80;
const BYTE = {
    quote: 0x22,
    comma: 0x2c,
    colon: 0x3a,
    openBracket: 0x5b,
    backslash: 0x5c,
    closeBracket: 0x5d,
    openBrace: 0x7b,
    closeBrace: 0x7d,
} as const;

/**
 * Parses a JSON text.
 * @param body - the text in UTF-8
 * @param source - origin of the text, for messages
 * @returns the value, or why it was not parsed
 */
export function parseJson(body: Buffer, source: string): ValidationResult<unknown> {
    const excess = findExcess(body);
    if (excess !== undefined) {
        return { kind: "invalid", faults: [`${source}: ${excess}`] };
    }
    try {
        return { kind: "valid", value: JSON.parse(body.toString("utf8")) as unknown };
    }
    catch {
        // The message of the error quotes the text, which may hold keys.
        return { kind: "invalid", faults: [`${source}: found no JSON`] };
    }
}

/** Scans the text, since parsing it may already take more memory than there is. */
function findExcess(body: Buffer): string | undefined {
    const names = new Set<number>();
    let depth = 0;
    let values = 0;
    let containers = 0;
    let topLevelName = "";
    let text: ScannedString = { start: 0, end: 0, hash: 0 };
    for (let at = 0; at < body.length; at += 1) {
        switch (body[at] ?? 0) {
            case BYTE.quote:
                text = scanString(body, at + 1);
                at = text.end;
                continue;
            case BYTE.colon:
                names.add(text.hash);
                if (depth === 1) {
                    topLevelName = body.toString("utf8", text.start, Math.min(text.end, text.start + MAX_NAME_LENGTH));
                }
                break;
            case BYTE.comma:
                values += 1;
                break;
            case BYTE.openBrace:
            case BYTE.openBracket:
                depth += 1;
                values += 1;
                containers += 1;
                break;
            case BYTE.closeBrace:
            case BYTE.closeBracket:
                depth -= 1;
                break;
            default:
                continue;
        }
        const expected = describeExcess({ depth, values, containers, names: names.size });
        if (expected !== undefined) {
            const place = topLevelName === "" ? "" : `${topLevelName}: `;
            return `${place}found more at byte ${String(at)}; expected at most ${expected}`;
        }
    }
    return undefined;
}

interface ScannedString {
    readonly start: number;
    /** Position of the closing quote. */
    readonly end: number;
    readonly hash: number;
}

function scanString(body: Buffer, start: number): ScannedString {
    let hash = 0;
    let at = start;
    while (at < body.length && body[at] !== BYTE.quote) {
        hash = Math.imul(hash, 31) + (body[at] ?? 0) | 0;
        if (body[at] === BYTE.backslash) {
            at += 1;
            hash = Math.imul(hash, 31) + (body[at] ?? 0) | 0;
        }
        at += 1;
    }
    return { start, end: at, hash };
}

function describeExcess(
    { depth, values, containers, names }: Readonly<Record<"depth" | "values" | "containers" | "names", number>>,
): string | undefined {
    if (depth > MAX_JSON_DEPTH) {
        return `${String(MAX_JSON_DEPTH)} nested objects and arrays`;
    }
    if (values > MAX_JSON_VALUES) {
        return `${String(MAX_JSON_VALUES)} values`;
    }
    if (containers > MAX_JSON_CONTAINERS) {
        return `${String(MAX_JSON_CONTAINERS)} objects and arrays`;
    }
    return names > MAX_JSON_NAMES ? `${String(MAX_JSON_NAMES)} different names` : undefined;
}

/**
 * Formats a value as JSON without recursion, for documents that were stored before their depth was limited.
 * @param root - a parsed JSON value
 * @returns the JSON text
 */
export function formatJson(root: unknown): string {
    try {
        return JSON.stringify(root);
    }
    catch (error) {
        if (!(error instanceof RangeError)) {
            throw error;
        }
        return formatDeepJson(root);
    }
}

function formatDeepJson(root: unknown): string {
    const parts: string[] = [];
    // Texts are written as they are, values are formatted; the next one is the last.
    const pending: ({ readonly text: string; } | { readonly value: unknown; })[] = [{ value: root }];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
        if ("text" in next) {
            parts.push(next.text);
        }
        else if (typeof next.value !== "object" || next.value === null) {
            parts.push(JSON.stringify(next.value));
        }
        else {
            const isArray = Array.isArray(next.value);
            parts.push(isArray ? "[" : "{");
            pending.push({ text: isArray ? "]" : "}" });
            const entries: readonly [string, unknown][] = Object.entries(next.value);
            entries.toReversed().forEach(([key, value], at) => {
                const separator = at === entries.length - 1 ? "" : ",";
                pending.push({ value }, { text: isArray ? separator : `${separator}${JSON.stringify(key)}:` });
            });
        }
    }
    return parts.join("");
}
