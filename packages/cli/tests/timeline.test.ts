import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatTimeline, formatTimelineHtml, readTimeline } from "../src/index.js";

const lines = {
    left: [
        "time=2026-01-01T00:00:00.000Z clock=1000.0000 level=info instance=left event=request-received request=r1",
        "time=2026-01-01T00:00:09.000Z clock=1002.0010 level=info instance=left event=request-finished request=r1 status=200",
        "this line is not an event",
    ],
    right: [
        "time=2026-01-01T00:00:05.000Z clock=1002.0009 level=info instance=right event=role role=leader term=3",
        'time=2026-01-01T00:00:01.000Z clock=1001.0000 level=info instance=right event=route-lost request=r1 peer=engine-1 step="layers 0-5"',
    ],
};

describe("the timeline orders merged logs by hybrid logical time, not by wall clock", () => {
    let folder: string;
    let files: readonly string[];

    before(() => {
        folder = mkdtempSync(join(tmpdir(), "timeline-"));
        files = Object.entries(lines).map(([name, content]) => {
            const file = join(folder, `${name}.log`);
            writeFileSync(file, content.join("\n"));
            return file;
        });
    });

    after(() => {
        rmSync(folder, { recursive: true });
    });

    const rows = [
        { title: "all", filter: {}, events: "request-received route-lost role request-finished" },
        { title: "one request", filter: { request: "r1" }, events: "request-received route-lost request-finished" },
        { title: "one instance", filter: { instance: "right" }, events: "route-lost role" },
        { title: "one peer", filter: { instance: "engine-1" }, events: "route-lost" },
        { title: "one step", filter: { step: "layers 0-5" }, events: "route-lost" },
        { title: "nothing", filter: { request: "r2" }, events: "" },
    ];
    for (const { title, filter, events } of rows) {
        it(title, () => {
            expect(readTimeline(files, filter).map((event) => event.event).join(" ")).to.equal(events);
        });
    }

    it("formats text with milliseconds since the first event", () => {
        expect(formatTimeline(readTimeline(files, { request: "r1" })).split("\n")[1])
            .to.equal("      1 ms  right  route-lost request=r1 peer=engine-1 step=layers 0-5");
    });

    it("escapes log lines so that none can end the script of the HTML page", () => {
        const event = {
            clock: "1.0000",
            instance: "left",
            event: "x",
            fields: { message: "</script><script>alert(1)" },
        };
        const page = formatTimelineHtml([event]);
        expect(page.match(/<\/script>/g)).to.have.length(1);
    });
});
