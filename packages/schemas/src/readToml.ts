/**
 * Parses TOML and validates it against a schema; each fault is reported on one line.
 */
import { parse, TomlError } from "smol-toml";
import type * as z from "zod";

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
 * @returns the value, or one message per fault
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
    return { kind: "invalid", faults: result.error.issues.flatMap((issue) => formatIssue(issue, raw, source)) };
}

function formatIssue(issue: z.core.$ZodIssue, raw: unknown, source: string): readonly string[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map((key) => {
            const path = [...issue.path, key].join(".");
            return `${source}: ${path}: found an unknown key; expected one that the documentation lists`;
        });
    }
    const value = getValueAt(raw, issue.path);
    const found = value === undefined ? "nothing" : JSON.stringify(value);
    return [`${source}: ${issue.path.join(".")}: found ${found}; ${formatExpectation(issue)}`];
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
