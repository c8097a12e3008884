import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { PathStallDetector } from "../src/process/entry/pathStallDetector.js";

const PAUSE_MS = 200;
const PATH = { id: "p", laterStages: "later" };
const SIBLING = { id: "sibling", laterStages: "later" };
const OTHER = { id: "other", laterStages: "others" };

describe("streams leave a path together once all of them are silent", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let pulse: PathStallDetector;
    let still: string[];
    let left: number;

    beforeEach(() => {
        clock = FakeTimers.install();
        still = [];
        left = 0;
        pulse = new PathStallDetector({ getNowMs: () => performance.now(), handleStall: (id) => still.push(id) });
    });

    afterEach(() => {
        pulse.stop();
        clock.uninstall();
    });

    function followMany(count: number): ReturnType<PathStallDetector["follow"]>[] {
        return Array.from({ length: count }, () =>
            pulse.follow(PATH, PAUSE_MS, () => {
                left += 1;
            }));
    }

    /** Every stream has an event in each pass. */
    function playPasses(
        streams: readonly { readonly recordEvent: () => void; }[],
        passes: number,
        passMs: number,
    ): void {
        for (let pass = 0; pass < passes; pass += 1) {
            clock.tick(passMs);
            streams.forEach((stream) => {
                stream.recordEvent();
            });
        }
    }

    const rows = [
        { title: "as long as they move, none", streams: 4, passMs: 30, silentMs: 20, left: 0 },
        { title: "silent for half of a contracted pause, all of them", streams: 4, passMs: 30, silentMs: 110, left: 4 },
        { title: "on a path with long passes, none yet", streams: 4, passMs: 90, silentMs: 130, left: 0 },
        { title: "two streams may both wait for lost packets", streams: 2, passMs: 30, silentMs: 110, left: 0 },
        { title: "two streams that are silent for most of a pause", streams: 2, passMs: 30, silentMs: 150, left: 2 },
    ];
    for (const row of rows) {
        it(row.title, () => {
            playPasses(followMany(row.streams), 100, row.passMs);
            clock.tick(row.silentMs);
            expect(left).to.equal(row.left);
            expect(still).to.deep.equal(row.left === 0 ? [] : ["p"]);
            expect(pulse.isAvoided(PATH)).to.equal(row.left > 0);
        });
    }

    it("those that have not begun leave with the others", () => {
        const streams = followMany(4);
        playPasses(streams.slice(1), 100, 30);
        clock.tick(130);
        expect(left).to.equal(4);
    });

    it("a stream that moves speaks for the whole path", () => {
        const streams = followMany(4);
        playPasses(streams, 100, 30);
        playPasses(streams.slice(1, 2), 20, 30);
        expect(left).to.equal(0);
    });

    it("a process that did not run itself blames nobody", () => {
        playPasses(followMany(4), 20, 30);
        // The clock jumps over every look in between, as it does for a process that was stopped.
        clock.jump(3_000);
        expect(left).to.equal(0);
    });

    it("what was left takes new requests again after a while, and is told once", () => {
        const streams = followMany(4);
        playPasses(streams, 100, 30);
        clock.tick(400);
        expect(still).to.deep.equal(["p"]);
        streams.forEach((stream) => {
            stream.close();
        });
        expect(pulse.isAvoided(PATH)).to.equal(true);
        clock.tick(1_000);
        expect(pulse.isAvoided(PATH)).to.equal(false);
    });

    it("while a path that shares the later stages moves, its own silence has to be longer", () => {
        const streams = followMany(4);
        const sibling = pulse.follow(SIBLING, PAUSE_MS, () => undefined);
        playPasses([...streams, sibling], 100, 30);
        playPasses([sibling], 3, 36);
        expect(left).to.equal(0);
        playPasses([sibling], 2, 30);
        expect(left).to.equal(4);
    });

    it("new requests go around all paths that share the later stages, until one of these moves", () => {
        const streams = followMany(4);
        const sibling = pulse.follow(SIBLING, PAUSE_MS, () => undefined);
        playPasses([...streams, sibling], 100, 30);
        clock.tick(120);
        expect([PATH, SIBLING, OTHER].map((name) => pulse.isAvoided(name))).to.deep.equal([true, true, false]);
        sibling.recordEvent();
        expect([PATH, SIBLING, OTHER].map((name) => pulse.isAvoided(name))).to.deep.equal([true, true, false]);
        clock.tick(1);
        pulse.follow({ ...SIBLING, id: "third" }, PAUSE_MS, () => undefined).recordEvent();
        expect(pulse.isAvoided({ ...SIBLING, id: "fourth" })).to.equal(false);
    });

    it("paths of one stage share nothing", () => {
        const alone = ["one", "two"].map((id) => ({ id, laterStages: "" }));
        const [one, two] = alone.map((name) =>
            Array.from({ length: 4 }, () =>
                pulse.follow(name, PAUSE_MS, () => {
                    left += 1;
                }))
        );
        playPasses([...one ?? [], ...two ?? []], 100, 30);
        playPasses(two ?? [], 4, 30);
        expect(left).to.equal(4);
        expect(alone.map((name) => pulse.isAvoided(name))).to.deep.equal([true, false]);
    });
});
