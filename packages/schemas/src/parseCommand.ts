/**
 * Parsing of commands of a replicated state machine. Every replica refuses the same ones, since the outcome depends on the command
 * alone.
 */
import type * as z from "zod";

/** A command that its schema refuses. */
export interface InvalidCommand {
    readonly kind: "invalid";
    /** Path of the first field that is refused, such as `facts.slots`; empty if the command is no table. */
    readonly field: string;
    /** What is expected there; does not contain the value. */
    readonly reason: string;
}

/** Outcome of parsing a command. */
export type ParsedCommand<Command> = { readonly kind: "valid"; readonly command: Command; } | InvalidCommand;

/**
 * Parses a command.
 * @param schema - the commands of the state machine
 * @param raw - the command as proposed, or as stored in the log
 * @returns the command without unknown fields, or what is wrong with it
 */
export function parseCommand<Command>(schema: z.ZodType<Command>, raw: unknown): ParsedCommand<Command> {
    const parsed = schema.safeParse(raw);
    if (parsed.success) {
        return { kind: "valid", command: parsed.data };
    }
    const [issue] = parsed.error.issues;
    return { kind: "invalid", field: issue?.path.join(".") ?? "", reason: issue?.message ?? "invalid" };
}
