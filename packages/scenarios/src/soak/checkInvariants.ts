/**
 * The invariants that a soak run checks, using only what callers and printers observed.
 */
import { type CompletionResult, computeExpectedText } from "../harness/caller.js";
import { LAYERS } from "../harness/world.js";

/** Response to one attempt to print a slip. */
export interface SlipAnswer {
    /** Undefined if the connection ended without a response. */
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    readonly text: string | undefined;
}

/** A slip that was sent once or several times with the same idempotency key. */
export interface SlipRecord {
    readonly slip: string;
    readonly answers: readonly SlipAnswer[];
    /** How often the printers printed it. */
    readonly printCount: number;
}

/**
 * Checks that a slip was printed at most once, exactly once if a caller got a success, and never if all attempts were
 * refused as not run.
 * @param record - the slip
 * @returns descriptions of the violations
 */
export function checkSlip({ slip, answers, printCount }: SlipRecord): readonly string[] {
    const successes = answers.filter((answer) => answer.status === 200);
    const isNeverExecuted = answers.every((answer) => answer.outcome === "not-run");
    return [
        ...(printCount > 1 ? [`${slip} was printed ${String(printCount)} times`] : []),
        ...(successes.length > 0 && printCount === 0 ? [`${slip} was answered with status 200 but never printed`] : []),
        ...(isNeverExecuted && printCount > 0 ? [`${slip} was refused as not run but printed`] : []),
        ...successes.filter((answer) => answer.text !== slip).map((answer) =>
            `${slip} was answered with the text of another: ${String(answer.text)}`
        ),
    ];
}

/**
 * Checks that a completion has the expected text if it ended without an error, and else a prefix of it.
 * @param result - what the caller received
 * @returns descriptions of the violations
 */
export function checkCompletion(result: CompletionResult): readonly string[] {
    const expected = computeExpectedText(result.call, LAYERS);
    const isWhole = result.status === 200 && result.errorId === undefined;
    if (isWhole && result.text !== expected) {
        return [`completion ${result.requestId} ended without an error but differs from the expected text`];
    }
    if (!expected.startsWith(result.text)) {
        return [`completion ${result.requestId} contains text that is no prefix of the expected text`];
    }
    return result.outcome === "not-run" && result.tokens > 0
        ? [`completion ${result.requestId} was refused as not run after ${String(result.tokens)} tokens`]
        : [];
}

/**
 * Checks that the configuration versions that an entry reported never decrease.
 * @param entry - name of the entry
 * @param versions - versions in force, in the order of the reports
 * @returns descriptions of the violations
 */
export function checkVersions(entry: string, versions: readonly number[]): readonly string[] {
    return versions.flatMap((version, index) => {
        const previous = versions[index - 1];
        return previous === undefined || version >= previous
            ? []
            : [`${entry} went back from version ${String(previous)} to ${String(version)}`];
    });
}
