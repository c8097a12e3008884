import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

const requireHere = createRequire(import.meta.url);
const scriptOf = (name: string): string => join(dirname(requireHere.resolve(`@crankfork/${name}`)), "main.js");
const [cli, daemon] = [scriptOf("cli"), scriptOf("daemon")];

const validSettings = `
[instance]
id = "entry-1"
[ports]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
`;

interface TestCase {
    readonly title: string;
    readonly script: string;
    readonly parameters: readonly string[];
    readonly code: number;
    readonly output: RegExp;
}

const rows: readonly TestCase[] = [
    {
        title: "check of valid settings",
        script: cli,
        parameters: ["check", "good.toml"],
        code: 0,
        output: /^good.toml: valid$/m,
    },
    {
        title: "check of invalid settings",
        script: cli,
        parameters: ["check", "bad.toml"],
        code: 2,
        output: /^bad.toml: instance.nane: found an unknown key; expected one that the documentation lists$/m,
    },
    {
        title: "check of a missing file",
        script: cli,
        parameters: ["check", "none.toml"],
        code: 2,
        output: /^none.toml: found nothing to read/m,
    },
    {
        title: "an unknown command",
        script: cli,
        parameters: ["bogus"],
        code: 2,
        output: /found bogus; expected a command/,
    },
    { title: "no command", script: cli, parameters: [], code: 2, output: /found nothing; expected a command/ },
    {
        title: "an unreachable instance",
        script: cli,
        parameters: ["status", "--at", "127.0.0.1:1"],
        code: 1,
        output: /^next: name another instance with --at/m,
    },
    {
        title: "an invalid version number",
        script: cli,
        parameters: ["config", "diff", "a", "b"],
        code: 2,
        output: /found a; expected two version numbers/,
    },
    {
        title: "voters without a name",
        script: cli,
        parameters: ["voters", "add"],
        code: 2,
        output: /expected list, add NAME/,
    },
    {
        title: "the daemon with invalid settings",
        script: daemon,
        parameters: ["--settings", "bad.toml"],
        code: 2,
        output: /instance.nane: found an unknown key/,
    },
    {
        title: "the daemon without settings",
        script: daemon,
        parameters: [],
        code: 2,
        output: /expected --settings FILE/,
    },
];

describe("both binaries report errors and exit with the documented code", () => {
    let folder: string;

    before(() => {
        folder = mkdtempSync(join(tmpdir(), "command-line-"));
        writeFileSync(join(folder, "good.toml"), validSettings);
        writeFileSync(join(folder, "bad.toml"), validSettings.replace("id =", 'nane = "x"\nid ='));
    });

    after(() => {
        rmSync(folder, { recursive: true });
    });

    for (const { title, script, parameters, code, output } of rows) {
        it(title, () => {
            const result = spawnSync(process.execPath, [script, ...parameters], { cwd: folder, encoding: "utf8" });
            expect(result.status).to.equal(code);
            expect(result.stdout + result.stderr).to.match(output);
        });
    }
});
