/**
 * Reads TOML against a schema, with one line for each fault.
 */
import { parse, TomlError } from "smol-toml";
import type * as z from "zod";

/** A value, or the lines that say what is wrong with it. */
export type ValidationResult<Value> =
    | { readonly kind: "valid"; readonly value: Value; }
    | { readonly kind: "invalid"; readonly faults: readonly string[]; };

/**
 * Parses TOML and checks it.
 * @param schema - what is expected
 * @param text - the TOML
 * @param file - the file's name, for the fault lines
 * @returns the value, or a line a fault with file, key, what was found and what is expected
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
 * Checks a value that was parsed already.
 * @param schema - what is expected
 * @param raw - the value
 * @param source - where it came from, for the fault lines
 * @returns the value, or a line a fault
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
    const value = getAt(raw, issue.path);
    const found = value === undefined ? "nothing" : JSON.stringify(value);
    return [`${source}: ${issue.path.join(".")}: found ${found}; ${formatExpectation(issue)}`];
}

function formatExpectation(issue: z.core.$ZodIssue): string {
    return issue.message.startsWith("expected") ? issue.message : `expected otherwise: ${issue.message}`;
}

function getAt(value: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>(
        (inner, key) => typeof inner === "object" && inner !== null ? Reflect.get(inner, key) : undefined,
        value,
    );
}
