/**
 * Prints answers: as tables for a terminal or as JSON.
 */
import Table from "cli-table3";

/** A table before it is printed. */
export interface TableContent {
    readonly head: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

/** Style without colours or frames, so that a table fits a terminal and a pipe alike. */
const plainStyle = {
    chars: {
        "top": "",
        "top-mid": "",
        "top-left": "",
        "top-right": "",
        "bottom": "",
        "bottom-mid": "",
        "bottom-left": "",
        "bottom-right": "",
        "left": "",
        "left-mid": "",
        "mid": "",
        "mid-mid": "",
        "right": "",
        "right-mid": "",
        "middle": "  ",
    },
    style: { "padding-left": 0, "padding-right": 0, "head": [], "border": [] },
};

/**
 * Formats a table.
 * @param content - head and rows
 * @returns lines without trailing blanks
 */
export function formatTable(content: TableContent): string {
    const table = new Table({ ...plainStyle, head: [...content.head] });
    table.push(...content.rows.map((row) => [...row]));
    return table.toString().split("\n").map((line) => line.trimEnd()).join("\n");
}

/**
 * Prints an answer.
 * @param answer - the answer
 * @param isJson - whether to print it as it is
 * @param format - makes text of it
 */
export function printAnswer<Answer>(answer: Answer, isJson: boolean, format: (answer: Answer) => string): void {
    process.stdout.write(`${isJson ? JSON.stringify(answer, undefined, 4) : format(answer)}\n`);
}
