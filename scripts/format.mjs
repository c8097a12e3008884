/**
 * Formats the code with dprint, or with --check says which files are not formatted.
 * The formatter runs as WebAssembly, so that no binary for one platform has to be had.
 */
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const isCheck = process.argv.includes("--check");
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth: 120, indentWidth: 4 }, {
    quoteStyle: "preferDouble",
    nextControlFlowPosition: "nextLine",
    useBraces: "always",
    semiColons: "always",
    trailingCommas: "onlyMultiLine",
});

const listed = spawnSync("git", ["ls-files", "-co", "--exclude-standard", "*.ts", "*.mjs", "*.js"], {
    encoding: "utf8",
});
const unformatted = [];
for (const filePath of listed.stdout.split("\n").filter((name) => name !== "")) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        unformatted.push(filePath);
        if (!isCheck) {
            writeFileSync(filePath, formatted);
        }
    }
}
unformatted.forEach((filePath) => console.log(`${isCheck ? "not formatted" : "formatted"}: ${filePath}`));
process.exit(isCheck && unformatted.length > 0 ? 1 : 0);
