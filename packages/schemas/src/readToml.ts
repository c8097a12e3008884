/**
 * Parses TOML and validates it against a schema; each fault is reported on one line.
 */
import { parse, TomlError } from "smol-toml";
import type * as z from "zod";
import { formatValue, shortenText } from "./formatValue.js";
import { MAX_FAULTS } from "./listSchema.js";

/** Length up to which a key is named in full, in UTF-16 code units. */
const MAX_KEY_LENGTH = 80;

/** A valid value, or one message for each fault. */
export type ValidationResult<Value> =
    | { readonly kind: "valid"; readonly value: Value; }
    | { readonly kind: "invalid"; readonly faults: readonly string[]; };

/**
 * Parses TOML and validates it.
 * @param schema - schema of the content
 * @param text - TOML source
 * @param file - file name for messages
 * @returns the value, or one message per fault with the file, the key, the value found and the value expected
 */
export function parseToml<Schema extends z.ZodType>(
    schema: Schema,
    text: string,
    file: string,
): ValidationResult<z.infer<Schema>> {
    let raw: unknown;
    try {
        raw = parse(text);
    }
    catch (error) {
        const line = error instanceof TomlError ? `:${String(error.line)}` : "";
        const reason = error instanceof Error ? error.message.split("\n")[0] ?? "" : String(error);
        return { kind: "invalid", faults: [`${file}${line}: found text that is no TOML; ${reason}`] };
    }
    return validateValue(schema, raw, file);
}

/**
 * Validates a parsed value.
 * @param schema - schema of the value
 * @param raw - parsed value
 * @param source - origin of the value, for messages
 * @returns the value, or one message per fault, of which at most `MAX_FAULTS` are listed; the messages are of bounded length
 */
export function validateValue<Schema extends z.ZodType>(
    schema: Schema,
    raw: unknown,
    source: string,
): ValidationResult<z.infer<Schema>> {
    const result = schema.safeParse(raw);
    if (result.success) {
        return { kind: "valid", value: result.data };
    }
    const issues = result.error.issues.slice(0, MAX_FAULTS);
    return { kind: "invalid", faults: issues.flatMap((issue) => formatIssue(issue, raw, source)).slice(0, MAX_FAULTS) };
}

function formatIssue(issue: z.core.$ZodIssue, raw: unknown, source: string): readonly string[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.slice(0, MAX_FAULTS).map((key) => {
            const path = formatPath([...issue.path, key]);
            return `${source}: ${path}: found an unknown key; expected one that the documentation lists`;
        });
    }
    const value = getValueAt(raw, issue.path);
    const found = value === undefined ? "nothing" : formatValue(value);
    return [`${source}: ${formatPath(issue.path)}: found ${found}; ${formatExpectation(issue)}`];
}

function formatPath(path: readonly PropertyKey[]): string {
    return path.map((key) => shortenText(String(key), MAX_KEY_LENGTH)).join(".");
}

function formatExpectation(issue: z.core.$ZodIssue): string {
    return issue.message.startsWith("expected") ? issue.message : `expected otherwise: ${issue.message}`;
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>(
        (inner, key) => typeof inner === "object" && inner !== null ? Reflect.get(inner, key) : undefined,
        value,
    );
}
