import { expect } from "chai";
import { isChainStalled } from "../src/index.js";

describe("a path stands still where all its streams are silent for longer than it usually pauses", () => {
    const pauseMs = 200;
    const rows = [
        { title: "it moves", streams: 5, silentMs: 20, longestGapMs: 40, isStill: false },
        { title: "silent for a part of a contracted pause", streams: 5, silentMs: 80, longestGapMs: 40, isStill: true },
        { title: "no longer than it has paused of late", streams: 5, silentMs: 100, longestGapMs: 80, isStill: false },
        { title: "much longer than it has paused of late", streams: 5, silentMs: 150, longestGapMs: 80, isStill: true },
        { title: "few streams may wait for lost packets", streams: 2, silentMs: 100, longestGapMs: 40, isStill: false },
        {
            title: "few streams, silent for most of a pause",
            streams: 1,
            silentMs: 130,
            longestGapMs: 40,
            isStill: true,
        },
        { title: "few streams with long gaps of late", streams: 1, silentMs: 130, longestGapMs: 80, isStill: false },
        {
            title: "its later stages moved a moment ago for another path",
            streams: 5,
            silentMs: 100,
            longestGapMs: 40,
            siblingSilentMs: 20,
            isStill: false,
        },
        {
            title: "its later stages are as silent as it is",
            streams: 5,
            silentMs: 100,
            longestGapMs: 40,
            siblingSilentMs: 90,
            isStill: true,
        },
        {
            title: "silent for most of a pause while its later stages move",
            streams: 5,
            silentMs: 130,
            longestGapMs: 40,
            siblingSilentMs: 20,
            isStill: true,
        },
        { title: "no streams", streams: 0, silentMs: 5_000, longestGapMs: 0, isStill: false },
    ];
    for (const { title, isStill, ...movement } of rows) {
        it(title, () => {
            expect(isChainStalled(movement, pauseMs)).to.equal(isStill);
        });
    }
});
