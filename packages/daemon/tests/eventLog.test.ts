import { expect } from "chai";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { openEventLog } from "../src/process/eventLog.js";
import { openFleetMetrics } from "../src/process/fleetMetrics.js";
import { HybridClock } from "../src/process/hybridClock.js";

/** What programs take for the end of a line. */
const LINE_END = /\r\n|[\n\v\f\r\x1c-\x1e\x85\u2028\u2029]/;

const rows = [
    { text: "a b", line: '"a b"' },
    { text: 'a"b', line: '"a\\"b"' },
    { text: "名é", line: "名é" },
    { text: "a\r\nb", line: '"a\\\\r\\\\nb"' },
    { text: "a\0b", line: '"a\\\\u0000b"' },
    { text: "a\u001b[2Jb", line: '"a\\\\u001b[2Jb"' },
    { text: "a\tb", line: '"a\\\\u0009b"' },
    { text: "a\u0085b", line: '"a\\\\u0085b"' },
    { text: "a\u2028b", line: '"a\\\\u2028b"' },
    { text: "a\ud800b", line: '"a\\\\ud800b"' },
];

describe("any text stays within its line", () => {
    for (const { text, line } of rows) {
        it(`of the log: ${JSON.stringify(text)}`, async () => {
            const folder = mkdtempSync(join(tmpdir(), "log-"));
            const file = join(folder, "log");
            const log = openEventLog({ instance: text, level: "info", file, clock: new HybridClock() });
            log.record("info", "event", { field: text });
            while (!readFileSync(file, { encoding: "utf8", flag: "a+" }).endsWith("\n")) {
                await wait(1);
            }
            const written = readFileSync(file, "utf8").slice(0, -1);
            rmSync(folder, { recursive: true });
            expect(written.split(LINE_END)).to.have.length(1);
            expect(written).to.include(` instance=${line} event=event field=${line}`);
        });

        it(`of a metric: ${JSON.stringify(text)}`, async () => {
            const metrics = openFleetMetrics(text);
            metrics.countRequest(text, "served");
            const lines = (await metrics.format()).split("\n").filter((each) =>
                each.startsWith("crankfork_requests_total{")
            );
            expect(lines.map((each) => each.replace(/="(?:[^"\\\n]|\\["\\n])*"/g, "="))).to.deep.equal([
                "crankfork_requests_total{service=,outcome=,instance=} 1",
            ]);
        });
    }
});
