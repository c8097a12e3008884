import type { SegmentStatus } from "@crankfork/schemas";
import { expect } from "chai";
import { SegmentTracker } from "../src/process/entry/segmentTracker.js";

interface Harness {
    readonly tracker: SegmentTracker;
    readonly reported: string[];
    readonly advance: (ms: number) => void;
}

function createHarness(): Harness {
    let nowMs = 0;
    const reported: string[] = [];
    const tracker = new SegmentTracker({ getNowMs: () => nowMs, reportCompletion: (key) => reported.push(key) });
    return {
        tracker,
        reported,
        advance: (ms) => {
            nowMs += ms;
        },
    };
}

function createStatus(segment: string, change: Partial<SegmentStatus> = {}): SegmentStatus {
    return { segment, score: 5, trials: 0, ...change };
}

/** Two segments that were in the same crashes. */
function createPair(trials: number): readonly SegmentStatus[] {
    return ["a", "b"].map((segment) => createStatus(segment, { quarantine: { group: 0, size: 2 }, trials }));
}

describe("an entry sends, refuses or asks about prompts by their segments", () => {
    const rows: readonly {
        readonly title: string;
        readonly apply: (harness: Harness) => void;
        readonly prompt: readonly string[];
        readonly decision: "send" | "ask" | "refuse";
        readonly reported?: readonly string[];
    }[] = [
        { title: "no crash", apply: () => undefined, prompt: ["a"], decision: "send" },
        {
            title: "one crash here, before any report",
            apply: ({ tracker }) => tracker.recordCrash(["a"], "u1", false),
            prompt: ["a"],
            decision: "send",
        },
        {
            title: "two crashes here, without a leader",
            apply: ({ tracker, advance }) => {
                tracker.recordCrash(["a"], "u1", false);
                advance(200);
                tracker.recordCrash(["a"], "u2", false);
            },
            prompt: ["a"],
            decision: "ask",
        },
        {
            title: "two crashes here at the same moment",
            apply: ({ tracker }) => {
                tracker.recordCrash(["a"], "u1", false);
                tracker.recordCrash(["a"], "u2", false);
            },
            prompt: ["a"],
            decision: "send",
        },
        {
            title: "two crashes here of a segment that completes all the time",
            apply: ({ tracker, advance }) => {
                tracker.recordCompletion(["a"]);
                tracker.recordCrash(["a"], "u1", false);
                advance(200);
                tracker.recordCrash(["a"], "u2", false);
            },
            prompt: ["a"],
            decision: "send",
        },
        {
            title: "a suspected segment",
            apply: ({ tracker }) => {
                tracker.applyStatuses([createStatus("a", { score: 2 })]);
            },
            prompt: ["b", "a"],
            decision: "ask",
        },
        {
            title: "a suspected segment that completes",
            apply: ({ tracker }) => {
                tracker.applyStatuses([createStatus("a", { score: 2 })]);
                tracker.recordCompletion(["a"]);
            },
            prompt: ["a"],
            decision: "send",
            reported: ["segment:a"],
        },
        {
            title: "a suspected segment that completed long before",
            apply: ({ tracker, advance }) => {
                tracker.recordCompletion(["a"]);
                advance(2_000);
                tracker.applyStatuses([createStatus("a", { score: 2 })]);
            },
            prompt: ["a"],
            decision: "ask",
        },
        {
            title: "a quarantined segment",
            apply: ({ tracker }) => {
                tracker.applyStatuses([createStatus("a", { quarantine: { group: 0, size: 1 } })]);
            },
            prompt: ["b", "a"],
            decision: "refuse",
        },
        {
            title: "another segment",
            apply: ({ tracker }) => {
                tracker.applyStatuses([createStatus("a", { quarantine: { group: 0, size: 1 } })]);
            },
            prompt: ["b"],
            decision: "send",
        },
        {
            title: "one of two that were in the same crashes",
            apply: ({ tracker }) => {
                tracker.applyStatuses([...createPair(0)]);
            },
            prompt: ["a"],
            decision: "ask",
        },
        {
            title: "both of them",
            apply: ({ tracker }) => {
                tracker.applyStatuses([...createPair(0)]);
            },
            prompt: ["b", "a"],
            decision: "refuse",
        },
        {
            title: "both of them, one of which has just completed",
            apply: ({ tracker }) => {
                tracker.applyStatuses([...createPair(0)]);
                tracker.recordCompletion(["b"]);
            },
            prompt: ["b", "a"],
            decision: "refuse",
            reported: ["segment:b"],
        },
        {
            title: "one of them, after its trials",
            apply: ({ tracker }) => {
                tracker.applyStatuses([...createPair(2)]);
            },
            prompt: ["a"],
            decision: "refuse",
        },
        {
            title: "a leader of an older build, which states no segments",
            apply: ({ tracker }) => {
                tracker.applyStatuses([createStatus("a", { quarantine: { group: 0, size: 1 } })]);
                tracker.applyStatuses(undefined);
            },
            prompt: ["a"],
            decision: "refuse",
        },
        {
            title: "a segment that was released",
            apply: ({ tracker }) => {
                tracker.applyStatuses([createStatus("a", { quarantine: { group: 0, size: 1 } })]);
                tracker.applyStatuses([]);
            },
            prompt: ["a"],
            decision: "send",
        },
    ];
    for (const { title, apply, prompt, decision, reported = [] } of rows) {
        it(`${title}: ${decision}`, () => {
            const harness = createHarness();
            apply(harness);
            const { tracker } = harness;
            const made = tracker.findQuarantining(prompt) !== undefined
                ? "refuse"
                : tracker.needsGrant(prompt)
                ? "ask"
                : "send";
            expect(made).to.equal(decision);
            expect(harness.reported).to.deep.equal(reported);
        });
    }
});
