import type { ReportedCrash } from "@crankfork/schemas";
import { expect } from "chai";
import { FleetState, SegmentRegister } from "../src/index.js";

/** Interval between crashes that count separately. */
const INTERVAL_MS = 200;
const DAY_MS = 24 * 3_600_000;

function createCrash(upstream: string, segments: readonly string[], isLate: boolean = false): ReportedCrash {
    return {
        fingerprint: `f-${upstream}`,
        upstream,
        had_progress: isLate,
        origin: { host: "h", target: "/t" },
        segments: [...segments],
        is_late: isLate,
    };
}

/** Adds one crash after another, each under the segments of a prompt. */
function addCrashes(register: SegmentRegister, prompts: readonly (readonly string[])[], isLate: boolean = false): void {
    prompts.forEach((segments, at) => {
        const index = register.size * 100 + at + 1;
        register.add([createCrash(`u${String(at)}`, segments, isLate)], at * INTERVAL_MS, index);
    });
}

/** Lists the quarantined segments, with the number of their group and its size. */
function listQuarantined(register: SegmentRegister): readonly string[] {
    return register.listStatuses().flatMap(({ segment, quarantine }) =>
        quarantine === undefined ? [] : [`${segment} ${String(quarantine.group)}/${String(quarantine.size)}`]
    );
}

function repeat(times: number, segments: readonly string[]): readonly (readonly string[])[] {
    return Array.from({ length: times }, () => segments);
}

describe("voters find the prompt segments that crash upstreams", () => {
    const rows: readonly {
        readonly title: string;
        readonly apply: (register: SegmentRegister) => void;
        readonly quarantined: readonly string[];
    }[] = [
        {
            title: "four crashes",
            apply: (register) => {
                addCrashes(register, repeat(4, ["a"]));
            },
            quarantined: [],
        },
        {
            title: "five crashes",
            apply: (register) => {
                addCrashes(register, repeat(5, ["a"]));
            },
            quarantined: ["a 0/1"],
        },
        {
            title: "five reports of one crash",
            apply: (register) => {
                repeat(5, ["a"]).forEach((segments, at) => {
                    register.add([createCrash("u", segments)], at * INTERVAL_MS, at + 1);
                });
            },
            quarantined: [],
        },
        {
            title: "five crashes at the same moment",
            apply: (register) => {
                repeat(5, ["a"]).forEach((segments, at) => {
                    register.add([createCrash(`u${String(at)}`, segments)], at, at + 1);
                });
            },
            quarantined: [],
        },
        {
            title: "five crashes, and a completion after the third",
            apply: (register) => {
                addCrashes(register, repeat(3, ["a"]));
                register.forget(["segment:a"], 50);
                addCrashes(register, repeat(2, ["a"]));
            },
            quarantined: [],
        },
        {
            title: "four crashes, one of an upstream that had answered for some time, and four more",
            apply: (register) => {
                addCrashes(register, repeat(4, ["a"]));
                register.add([createCrash("late", ["a"], true)], 5 * INTERVAL_MS, 50);
                repeat(4, ["a"]).forEach((segments, at) => {
                    register.add([createCrash(`v${String(at)}`, segments)], (6 + at) * INTERVAL_MS, 60 + at);
                });
            },
            quarantined: [],
        },
        {
            title: "nine crashes of upstreams that had answered for some time",
            apply: (register) => {
                addCrashes(register, repeat(9, ["a"]), true);
            },
            quarantined: [],
        },
        {
            title: "ten of them",
            apply: (register) => {
                addCrashes(register, repeat(10, ["a"]), true);
            },
            quarantined: ["a 0/1"],
        },
        {
            title: "a segment that was in five of six crashes of another",
            apply: (register) => {
                addCrashes(register, [...repeat(5, ["a", "b"]), ["a"]]);
            },
            quarantined: ["a 0/1"],
        },
        {
            title: "two segments with five crashes each",
            apply: (register) => {
                addCrashes(register, [...repeat(5, ["a"]), ...repeat(5, ["b"])]);
            },
            quarantined: ["a 0/1", "b 1/1"],
        },
        {
            title: "two segments in the same crashes: only prompts with both are known to crash upstreams",
            apply: (register) => {
                addCrashes(register, repeat(5, ["a", "b"]));
            },
            quarantined: ["a 0/2", "b 0/2"],
        },
        {
            title: "more segments in the same crashes than are sent to entries",
            apply: (register) => {
                addCrashes(register, repeat(5, Array.from({ length: 300 }, (_none, at) => `s${String(at)}`)));
            },
            quarantined: Array.from({ length: 200 }, (_none, at) => `s${String(at)} 0/200`),
        },
        {
            title: "one of them completes",
            apply: (register) => {
                addCrashes(register, repeat(5, ["a", "b"]));
                register.forget(["segment:b"], 50);
            },
            quarantined: ["a 0/1"],
        },
        {
            title: "five crashes, and another under other segments a day later",
            apply: (register) => {
                addCrashes(register, repeat(5, ["a"]));
                register.add([createCrash("v", ["b"])], DAY_MS + 5 * INTERVAL_MS, 50);
            },
            quarantined: [],
        },
        {
            title: "five crashes, and a million other segments with one",
            apply: (register) => {
                addCrashes(register, repeat(5, ["a"]));
                for (let at = 0; at < 100; at += 1) {
                    const others = Array.from({ length: 1_000 }, (_none, other) => `s${String(at)}-${String(other)}`);
                    register.add([createCrash(`v${String(at)}`, others)], (5 + at) * INTERVAL_MS, 50 + at);
                }
            },
            quarantined: ["a 0/1"],
        },
        {
            title: "a crash of an older build, without segments",
            apply: (register) => {
                const { fingerprint, upstream, had_progress, origin } = createCrash("u", []);
                register.add([{ fingerprint, upstream, had_progress, origin }], 0, 1);
            },
            quarantined: [],
        },
    ];
    for (const { title, apply, quarantined } of rows) {
        it(title, () => {
            const register = new SegmentRegister();
            apply(register);
            expect(listQuarantined(register)).to.deep.equal(quarantined);
            expect(register.size).to.be.at.most(2_000);
            const copy = new SegmentRegister();
            copy.restore(register.getState());
            expect(copy.listStatuses()).to.deep.equal(register.listStatuses());
        });
    }

    it("two trials for each segment, only while it is quarantined", () => {
        const register = new SegmentRegister();
        addCrashes(register, repeat(4, ["a"]));
        expect(register.claimTrial("a", 5)).to.equal(false);
        addCrashes(register, repeat(5, ["a"]));
        expect([6, 7, 8].map((index) => register.claimTrial("a", index))).to.deep.equal([true, true, false]);
    });

    it("entries get all suspected segments once one of them changes", () => {
        const state = new FleetState();
        const add = (upstream: string, atMs: number, index: number): void => {
            state.apply({ kind: "record-crashes", crashes: [createCrash(upstream, ["a"])], at_ms: atMs }, index);
        };
        add("u1", 0, 1);
        expect(state.getChanges(0).segments).to.deep.equal([]);
        add("u2", INTERVAL_MS, 2);
        expect(state.getChanges(1).segments).to.deep.equal([{ segment: "a", score: 2, trials: 0 }]);
        expect(state.getChanges(2).segments).to.equal(undefined);
        state.apply({ kind: "forget-crashes", fingerprints: ["segment:a"] }, 3);
        expect(state.getChanges(2).segments).to.deep.equal([]);
    });

    it("a snapshot of an older build has no segments", () => {
        const state = new FleetState();
        state.restore({ ...new FleetState().getState() as object, segments: undefined });
        expect(state.segments.listStatuses()).to.deep.equal([]);
    });
});
