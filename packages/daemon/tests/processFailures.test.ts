import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { createTaskFailureHandler } from "../src/process/taskFailures.js";

const SOURCES = new URL("../src/process/", import.meta.url).href;

/** Opens the log of a process and handles its failures; `fail` is what the case does then. */
function createScript(file: string | undefined, fail: string): string {
    return `
        import { openEventLog } from "${SOURCES}eventLog.js";
        import { HybridClock } from "${SOURCES}hybridClock.js";
        import { endProcess, watchProcessFailures } from "${SOURCES}processFailures.js";
        import { createRateLimitedLog } from "${SOURCES}rateLimitedLog.js";
        import { createTaskFailureHandler, watchTaskFailures } from "${SOURCES}taskFailures.js";
        const getNowMs = () => performance.now();
        const log = openEventLog({ instance: "i", level: "info", file: ${
        JSON.stringify(file)
    }, clock: new HybridClock() });
        const limited = createRateLimitedLog(log, getNowMs);
        watchProcessFailures(log);
        watchTaskFailures(createTaskFailureHandler({ log: limited, getNowMs, count: () => undefined }));
        function failDeep() { throw new TypeError("broken"); }
        ${fail}`;
}

interface Case {
    readonly title: string;
    readonly fail: string;
    readonly code: number;
    readonly lastLine: RegExp;
    /** Whether standard output is read only once something was written to standard error. */
    readonly readsAfterError?: boolean;
    readonly hasFile?: boolean;
}

const EXCEPTION = /event=process-failed reason="TypeError: broken" stack="TypeError: broken\\\\n.*failDeep/;

const cases: readonly Case[] = [
    { title: "an exception in a timer", fail: "setTimeout(failDeep, 5);", code: 1, lastLine: EXCEPTION },
    { title: "an exception in a microtask", fail: "queueMicrotask(failDeep);", code: 1, lastLine: EXCEPTION },
    {
        title: "an exception after the budget of lines of that second is spent",
        fail: `for (let line = 0; line < 100; line += 1) { limited.record("error", "process-failed"); } failDeep();`,
        code: 1,
        lastLine: EXCEPTION,
    },
    {
        title: "an exception while the pipe of the log is full",
        fail: `for (let line = 0; line < 5_000; line += 1) { log.record("info", "l", { text: "x".repeat(100) }); }
            process.stderr.write("full");
            failDeep();`,
        code: 1,
        lastLine: EXCEPTION,
        readsAfterError: true,
    },
    { title: "an exception, with a log file", fail: "failDeep();", code: 1, lastLine: EXCEPTION, hasFile: true },
    {
        title: "an exception that is no error",
        fail: "setTimeout(() => { throw Object.create(null); });",
        code: 1,
        lastLine: /event=process-failed reason=object/,
    },
    {
        title: "a failed start",
        fail:
            `try { failDeep(); } catch (error) { endProcess("start-failed", new Error("no start", { cause: error })); }`,
        code: 1,
        lastLine: /event=start-failed reason="Error: no start" stack=".*caused by TypeError: broken.*failDeep/,
    },
    {
        title: "a rejection that nothing handles",
        fail: `Promise.reject(new TypeError("broken")); setTimeout(() => { process.exitCode = 7; }, 20);`,
        code: 7,
        lastLine: /event=task-failed task=unhandled-rejection reason="TypeError: broken" stack=/,
    },
];

describe("the last line of a process says why it failed", () => {
    for (const { title, fail, code, lastLine, readsAfterError = false, hasFile = false } of cases) {
        it(title, async () => {
            const folder = mkdtempSync(join(tmpdir(), "crankfork-log-"));
            const file = hasFile ? join(folder, "log") : undefined;
            const script = createScript(file, fail);
            const child = spawn(process.execPath, ["--input-type=module", "-e", script], {
                stdio: ["ignore", "pipe", "pipe"],
            });
            const exit = once(child, "exit");
            child.stderr.resume();
            if (readsAfterError) {
                // Output that nobody reads when the process ends is dropped.
                await once(child.stderr, "data");
            }
            const output = await text(child.stdout);
            const [found] = await exit as [number];
            const lines = (file === undefined ? output : readFileSync(file, "utf8")).trimEnd().split("\n");
            rmSync(folder, { recursive: true });
            expect(lines.at(-1)).to.match(lastLine);
            expect(found).to.equal(code);
        });
    }
});

describe("failures of one task take one line a second", () => {
    it("counts all, and names how many had no line", () => {
        let nowMs = 0;
        const lines: string[] = [];
        const counted: string[] = [];
        const handle = createTaskFailureHandler({
            log: {
                record: (_level, event, fields) => {
                    lines.push(`${event} ${String(fields?.task)} ${String(fields?.suppressed ?? 0)}`);
                },
            },
            getNowMs: () => nowMs,
            count: (task) => counted.push(task),
        });
        for (; nowMs <= 2_000; nowMs += 500) {
            handle("poll", new Error("broken"));
            handle("log-write", new Error("broken"));
        }
        handle("other", "broken");
        expect(lines).to.deep.equal(["poll 0", "poll 1", "poll 1", "other 0"].map((line) => `task-failed ${line}`));
        expect(counted).to.have.length(11);
    });
});
