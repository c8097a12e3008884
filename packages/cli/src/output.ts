/**
 * Prints results as text tables or JSON.
 */
import Table from "cli-table3";

/** Content of a table. */
export interface TableContent {
    readonly head: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

/** No colours or borders, so that the output suits both a terminal and a pipe. */
const borderlessStyle = {
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
 * @returns lines without trailing whitespace
 */
export function formatTable(content: TableContent): string {
    const table = new Table({ ...borderlessStyle, head: [...content.head] });
    table.push(...content.rows.map((row) => [...row]));
    return table.toString().split("\n").map((line) => line.trimEnd()).join("\n");
}

/**
 * Prints a result.
 * @param answer - the result
 * @param isJson - whether to print it as JSON
 * @param format - formats it as text
 */
export function printAnswer<Answer>(answer: Answer, isJson: boolean, format: (answer: Answer) => string): void {
    process.stdout.write(`${isJson ? JSON.stringify(answer, undefined, 4) : format(answer)}\n`);
}
