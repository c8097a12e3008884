import { FleetState } from "@crankfork/coordination";
import type { DocumentResult } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { DocumentSource } from "../src/process/voter/documentSource.js";
import type { InstalledClock } from "./installedClock.js";

/** 1 Mbit/s, of which documents may use 50,000 bytes per second. */
const LINK_MBPS = 1;

describe("a voter serves the document", () => {
    let clock: InstalledClock;
    let state: FleetState;
    let source: DocumentSource;

    const put = (version: number, bytes = 10): void => {
        state.apply({ kind: "put-document", version, packed: "x".repeat(bytes) }, version);
    };

    beforeEach(() => {
        clock = FakeTimers.install();
        state = new FleetState();
        source = new DocumentSource({ host: { state }, getNowMs: () => performance.now(), linkMbps: LINK_MBPS });
    });

    afterEach(() => {
        clock.uninstall();
    });

    const rows: readonly {
        readonly title: string;
        readonly held: readonly number[];
        readonly asked: number;
        readonly found: number | string;
    }[] = [
        { title: "the requested version", held: [3], asked: 3, found: 3 },
        { title: "a newer version", held: [3, 8], asked: 3, found: 8 },
        { title: "not an older version", held: [3], asked: 4, found: "not-held" },
        { title: "nothing before the first commit", held: [], asked: 1, found: "not-held" },
    ];
    for (const { title, held, asked, found } of rows) {
        it(title, async () => {
            held.forEach((version) => {
                put(version);
            });
            expect(describeResult(await source.handleRequest({ version: asked }))).to.equal(found);
        });
    }

    it("transfers one at a time, and refuses those that would wait too long", async () => {
        put(1, 10_000);
        const ended: (number | string)[] = [];
        const startMs = performance.now();
        for (let request = 0; request < 3; request += 1) {
            void source.handleRequest({ version: 1 }).then((result) =>
                ended.push(`${String(describeResult(result))} after ${String(performance.now() - startMs)}`)
            );
        }
        await clock.tickAsync(1_000);
        expect(ended).to.deep.equal(["1 after 0", "busy after 0", "1 after 200"]);
    });

    it("serves the newest version even if it was committed during the wait", async () => {
        put(1, 10_000);
        void source.handleRequest({ version: 1 });
        const waiting = source.handleRequest({ version: 1 });
        await clock.tickAsync(100);
        put(2);
        await clock.tickAsync(200);
        expect(describeResult(await waiting)).to.equal(2);
    });
});

function describeResult(result: DocumentResult): number | string {
    return result.kind === "document" ? result.version : result.kind;
}
