/**
 * The promises that a soak checks, from what callers and printers saw alone.
 */
import { type CompletionResult, computeExpectedText } from "../harness/caller.js";
import { LAYERS } from "../harness/world.js";

/** What a caller was told of one attempt to print a slip. */
export interface SlipAnswer {
    /** Undefined where the connection ended without an answer. */
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    readonly text: string | undefined;
}

/** A slip, sent once or several times under one key. */
export interface SlipRecord {
    readonly slip: string;
    readonly answers: readonly SlipAnswer[];
    /** How often the printers printed it. */
    readonly printCount: number;
}

/**
 * Checks a slip: printed at most once, exactly once where a caller was told so, never where all were told "not run".
 * @param record - the slip
 * @returns what was broken
 */
export function checkSlip({ slip, answers, printCount }: SlipRecord): readonly string[] {
    const successes = answers.filter((answer) => answer.status === 200);
    const isNeverExecuted = answers.every((answer) => answer.outcome === "not-run");
    return [
        ...(printCount > 1 ? [`${slip} was printed ${String(printCount)} times`] : []),
        ...(successes.length > 0 && printCount === 0 ? [`${slip} was answered with 200 and never printed`] : []),
        ...(isNeverExecuted && printCount > 0 ? [`${slip} was refused as not run and printed`] : []),
        ...successes.filter((answer) => answer.text !== slip).map((answer) => `${slip} got ${String(answer.text)}`),
    ];
}

/**
 * Checks a completion: whole where it ended well, else a beginning of the whole.
 * @param result - what the caller got
 * @returns what was broken
 */
export function checkCompletion(result: CompletionResult): readonly string[] {
    const expected = computeExpectedText(result.call, LAYERS);
    const isWhole = result.status === 200 && result.errorId === undefined;
    if (isWhole && result.text !== expected) {
        return [`completion ${result.requestId} ended well and is not whole`];
    }
    if (!expected.startsWith(result.text)) {
        return [`completion ${result.requestId} holds what belongs to another`];
    }
    return result.outcome === "not-run" && result.tokens > 0
        ? [`completion ${result.requestId} was refused as not run after ${String(result.tokens)} tokens`]
        : [];
}

/**
 * Checks the versions that one entry told, in their order: none is older than one before.
 * @param entry - its name
 * @param versions - versions in force
 * @returns what was broken
 */
export function checkVersions(entry: string, versions: readonly number[]): readonly string[] {
    return versions.flatMap((version, index) => {
        const previous = versions[index - 1];
        return previous === undefined || version >= previous
            ? []
            : [`${entry} went back from version ${String(previous)} to ${String(version)}`];
    });
}
