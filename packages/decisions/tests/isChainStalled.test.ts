import { expect } from "chai";
import { isChainStalled } from "../src/index.js";

describe("a chain is stalled where all its streams are silent for longer than its usual pauses", () => {
    const pauseMs = 200;
    const rows = [
        { title: "a recent event", streams: 5, silentMs: 20, longestGapMs: 40, isStalled: false },
        {
            title: "silent for a share of a contracted pause",
            streams: 5,
            silentMs: 80,
            longestGapMs: 40,
            isStalled: true,
        },
        { title: "no longer than its recent gaps", streams: 5, silentMs: 100, longestGapMs: 80, isStalled: false },
        { title: "much longer than its recent gaps", streams: 5, silentMs: 150, longestGapMs: 80, isStalled: true },
        {
            title: "few streams may wait for lost packets",
            streams: 2,
            silentMs: 100,
            longestGapMs: 40,
            isStalled: false,
        },
        {
            title: "few streams, silent for most of a pause",
            streams: 1,
            silentMs: 130,
            longestGapMs: 40,
            isStalled: true,
        },
        { title: "few streams with long recent gaps", streams: 1, silentMs: 130, longestGapMs: 80, isStalled: false },
        {
            title: "its later stages served another chain a moment ago",
            streams: 5,
            silentMs: 100,
            longestGapMs: 40,
            siblingSilentMs: 20,
            isStalled: false,
        },
        {
            title: "its later stages are as silent as it is",
            streams: 5,
            silentMs: 100,
            longestGapMs: 40,
            siblingSilentMs: 90,
            isStalled: true,
        },
        {
            title: "silent for most of a pause while its later stages serve others",
            streams: 5,
            silentMs: 130,
            longestGapMs: 40,
            siblingSilentMs: 20,
            isStalled: true,
        },
        { title: "no streams", streams: 0, silentMs: 5_000, longestGapMs: 0, isStalled: false },
    ];
    for (const { title, isStalled, ...activity } of rows) {
        it(title, () => {
            expect(isChainStalled(activity, pauseMs)).to.equal(isStalled);
        });
    }
});
