import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { PathStallDetector } from "../src/process/entry/pathStallDetector.js";

const PAUSE_MS = 200;
const PATH = { id: "p", laterStages: "later" };
const SIBLING = { id: "sibling", laterStages: "later" };
const OTHER = { id: "other", laterStages: "others" };

describe("streams leave a path together once all of them are silent", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let detector: PathStallDetector;
    let stalledPaths: string[];
    let leftStreams: number;

    beforeEach(() => {
        clock = FakeTimers.install();
        stalledPaths = [];
        leftStreams = 0;
        detector = new PathStallDetector({
            getNowMs: () => performance.now(),
            handleStall: (id) => stalledPaths.push(id),
        });
    });

    afterEach(() => {
        detector.stop();
        clock.uninstall();
    });

    function followMany(count: number): ReturnType<PathStallDetector["follow"]>[] {
        return Array.from({ length: count }, () =>
            detector.follow(PATH, PAUSE_MS, () => {
                leftStreams += 1;
            }));
    }

    /** Each pass gives every stream an event. */
    function runPasses(
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

    // Guards against an engine that is suspected because callers do not read.
    for (const { paused, stalled } of [{ paused: 4, stalled: [] }, { paused: 0, stalled: ["p"] }]) {
        it(`${String(paused)} of 4 streams are silent because their callers do not read`, () => {
            const streams = followMany(4);
            runPasses(streams, 20, 30);
            streams.slice(0, paused).forEach((stream) => {
                stream.recordPause();
            });
            clock.tick(1_000);
            expect(stalledPaths).to.deep.equal(stalled);
        });
    }

    const rows = [
        { title: "none while there are events", streams: 4, passMs: 30, silentMs: 20, leftStreams: 0 },
        {
            title: "all after silence of about half the contracted pause",
            streams: 4,
            passMs: 30,
            silentMs: 110,
            leftStreams: 4,
        },
        { title: "none yet on a path with long passes", streams: 4, passMs: 90, silentMs: 130, leftStreams: 0 },
        {
            title: "none of two streams, which may both wait for lost packets",
            streams: 2,
            passMs: 30,
            silentMs: 110,
            leftStreams: 0,
        },
        {
            title: "both of two streams after most of the contracted pause",
            streams: 2,
            passMs: 30,
            silentMs: 150,
            leftStreams: 2,
        },
    ];
    for (const row of rows) {
        it(row.title, () => {
            runPasses(followMany(row.streams), 100, row.passMs);
            clock.tick(row.silentMs);
            expect(leftStreams).to.equal(row.leftStreams);
            expect(stalledPaths).to.deep.equal(row.leftStreams === 0 ? [] : ["p"]);
            expect(detector.isAvoided(PATH)).to.equal(row.leftStreams > 0);
        });
    }

    it("streams that have not started leave with the others", () => {
        const streams = followMany(4);
        runPasses(streams.slice(1), 100, 30);
        clock.tick(130);
        expect(leftStreams).to.equal(4);
    });

    it("progress of one stream shows that the whole path works", () => {
        const streams = followMany(4);
        runPasses(streams, 100, 30);
        runPasses(streams.slice(1, 2), 20, 30);
        expect(leftStreams).to.equal(0);
    });

    it("a pause of the own process is not taken for a stall", () => {
        runPasses(followMany(4), 20, 30);
        // The clock skips all checks in between, as in a process that was suspended.
        clock.jump(3_000);
        expect(leftStreams).to.equal(0);
    });

    it("a stalled path is reported once and gets new requests again after a while", () => {
        const streams = followMany(4);
        runPasses(streams, 100, 30);
        clock.tick(400);
        expect(stalledPaths).to.deep.equal(["p"]);
        streams.forEach((stream) => {
            stream.close();
        });
        expect(detector.isAvoided(PATH)).to.equal(true);
        clock.tick(1_000);
        expect(detector.isAvoided(PATH)).to.equal(false);
    });

    it("a longer silence is required while a path with the same later stages progresses", () => {
        const streams = followMany(4);
        const sibling = detector.follow(SIBLING, PAUSE_MS, () => undefined);
        runPasses([...streams, sibling], 100, 30);
        runPasses([sibling], 3, 36);
        expect(leftStreams).to.equal(0);
        runPasses([sibling], 2, 30);
        expect(leftStreams).to.equal(4);
    });

    it("new requests avoid all paths with the same later stages until one of these progresses", () => {
        const streams = followMany(4);
        const sibling = detector.follow(SIBLING, PAUSE_MS, () => undefined);
        runPasses([...streams, sibling], 100, 30);
        clock.tick(120);
        expect([PATH, SIBLING, OTHER].map((key) => detector.isAvoided(key))).to.deep.equal([true, true, false]);
        sibling.recordEvent();
        expect([PATH, SIBLING, OTHER].map((key) => detector.isAvoided(key))).to.deep.equal([true, true, false]);
        clock.tick(1);
        detector.follow({ ...SIBLING, id: "third" }, PAUSE_MS, () => undefined).recordEvent();
        expect(detector.isAvoided({ ...SIBLING, id: "fourth" })).to.equal(false);
    });

    it("single-stage paths are judged independently", () => {
        const singleStagePaths = ["one", "two"].map((id) => ({ id, laterStages: "" }));
        const [one, two] = singleStagePaths.map((key) =>
            Array.from({ length: 4 }, () =>
                detector.follow(key, PAUSE_MS, () => {
                    leftStreams += 1;
                }))
        );
        runPasses([...one ?? [], ...two ?? []], 100, 30);
        runPasses(two ?? [], 4, 30);
        expect(leftStreams).to.equal(4);
        expect(singleStagePaths.map((key) => detector.isAvoided(key))).to.deep.equal([true, false]);
    });
});
