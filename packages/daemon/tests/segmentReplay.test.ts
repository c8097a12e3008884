import { expect } from "chai";
import {
    type QuarantineWay,
    runSegmentReplay,
    type SegmentReplayOptions,
    type SegmentReplayResult,
} from "./segmentReplay.js";

type Load = Omit<SegmentReplayOptions, "seed" | "way">;

const SEEDS = 20;
/** Prompts that may reach engines later than the contact time after the fifth crash. */
const MAX_LATER_SENDS = 3;

const chosen: QuarantineWay = { clears: true, explains: true, exclusiveScore: 3, lateOutputMs: 500 };
const loads = {
    "a crashing prompt each 150 ms": { crashingIntervalMs: 150 },
    "a crashing prompt each 40 ms": { crashingIntervalMs: 40 },
    "a crashing prompt each 1.5 s": { crashingIntervalMs: 1_500 },
    "a crashing prompt with a rare sound segment each 150 ms": { crashingIntervalMs: 150, companion: "rare" },
    "an engine that fails by itself each 0.4 s": { failures: { intervalMs: 400, count: 1 } },
    "five engines that fail at once, each 4 s": { failures: { intervalMs: 4_000, count: 5 } },
} satisfies Readonly<Record<string, Load>>;

function runSeeds(load: Load, way: QuarantineWay): readonly SegmentReplayResult[] {
    return Array.from({ length: SEEDS }, (_none, seed) => runSegmentReplay({ ...load, way, seed }));
}

function sum(results: readonly SegmentReplayResult[], count: (result: SegmentReplayResult) => number): number {
    return results.reduce((total, result) => total + count(result), 0);
}

describe("a crashing segment is found within the bound, and sound ones stay usable", () => {
    for (const [title, load] of Object.entries(loads)) {
        it(title, () => {
            const results = runSeeds(load, chosen);
            results.forEach(({ laterSends }) => {
                expect(laterSends).to.be.at.most(MAX_LATER_SENDS);
            });
            expect(sum(results, ({ refused }) => refused) / sum(results, ({ sent }) => sent)).to.be.below(0.01);
            expect(results.flatMap((one) => one.soundQuarantinedAtEnd)).to.deep.equal([]);
        });
    }
});

describe("each part of the decision keeps sound segments usable", () => {
    const countRefused = ({ refused }: SegmentReplayResult): number => refused;
    const rows: readonly {
        readonly title: string;
        readonly load: Load;
        readonly way: Partial<QuarantineWay>;
        /** What the part saves sound prompts. */
        readonly count: (result: SegmentReplayResult) => number;
    }[] = [
        {
            title: "completions clear segments",
            load: loads["a crashing prompt each 150 ms"],
            way: { clears: false, explains: false },
            count: ({ refused, waitedMs }) => refused + waitedMs,
        },
        {
            title: "segments whose crashes another one explains are left out",
            load: loads["a crashing prompt each 40 ms"],
            way: { explains: false },
            count: countRefused,
        },
        {
            title: "crashes of upstreams that have answered for some time count less",
            load: loads["an engine that fails by itself each 0.4 s"],
            way: { lateOutputMs: Number.POSITIVE_INFINITY },
            count: countRefused,
        },
    ];
    for (const { title, load, way, count } of rows) {
        it(title, () => {
            expect(sum(runSeeds(load, chosen), count)).to.be.below(sum(runSeeds(load, { ...chosen, ...way }), count));
        });
    }
});
