import { expect } from "chai";
import type { ConfigurationFreshness } from "../src/version/configurationFreshness.js";
import { mayAdmitAlways } from "../src/version/mayAdmitAlways.js";
import { mayAdmitUnlessSuperseded } from "../src/version/mayAdmitUnlessSuperseded.js";
import { mayAdmitWithLease } from "../src/version/mayAdmitWithLease.js";

const APPLY_MS = 2_000;
const STEP_MS = 10;
const LENGTH_MS = 20_000;

/** A time span of a fault. */
interface TimeSpan {
    readonly fromMs: number;
    readonly untilMs: number;
}

/** Faults and commits that one entry experiences. */
interface Trace {
    /** No voter can be reached. */
    readonly unreachable: readonly TimeSpan[];
    /** A leader answers, but no voter delivers the document. */
    readonly noDocument: readonly TimeSpan[];
    /** When versions are committed. */
    readonly commitsMs: readonly number[];
}

const isIn = (spans: readonly TimeSpan[], ms: number): boolean =>
    spans.some(({ fromMs, untilMs }) => ms >= fromMs && ms < untilMs);

/** Counts requests, one each 10 ms, admitted under a superseded version (known to the entry or not) or refused needlessly. */
function replay(trace: Trace, mayAdmit: (view: ConfigurationFreshness) => boolean): {
    readonly knownSuperseded: number;
    readonly superseded: number;
    readonly refusedNeedlessly: number;
} {
    let held = 0;
    let known = 0;
    let confirmedMs = 0;
    const counts = { knownSuperseded: 0, superseded: 0, refusedNeedlessly: 0 };
    for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
        const newest = trace.commitsMs.filter((ms) => ms <= nowMs).length;
        if (!isIn(trace.unreachable, nowMs)) {
            known = newest;
            held = isIn(trace.noDocument, nowMs) ? held : newest;
            confirmedMs = held === newest ? nowMs : confirmedMs;
        }
        const getAgeMs = (version: number): number => nowMs - (trace.commitsMs[version] ?? nowMs);
        const isAdmitted = mayAdmit({
            ageMs: nowMs - confirmedMs,
            outdatedMs: known > held ? getAgeMs(held) : undefined,
            applyMs: APPLY_MS,
        });
        const isSuperseded = newest > held && getAgeMs(held) >= APPLY_MS;
        counts.superseded += isAdmitted && isSuperseded ? 1 : 0;
        counts.knownSuperseded += isAdmitted && isSuperseded && known > held ? 1 : 0;
        counts.refusedNeedlessly += !isAdmitted && newest === held ? 1 : 0;
    }
    return counts;
}

const traces: readonly { readonly title: string; readonly trace: Trace; readonly counts: readonly string[]; }[] = [
    {
        title: "the voters are unreachable for 8 s, nothing changes",
        trace: { unreachable: [{ fromMs: 2_000, untilMs: 10_000 }], noDocument: [], commitsMs: [] },
        counts: ["0 0 0", "0 0 601", "0 0 0"],
    },
    {
        title: "the document is not delivered for 5 s",
        trace: { unreachable: [], noDocument: [{ fromMs: 3_000, untilMs: 8_000 }], commitsMs: [3_000] },
        counts: ["300 300 0", "0 0 0", "0 0 0"],
    },
    {
        title: "a newer one is committed while the document is not delivered",
        trace: { unreachable: [], noDocument: [{ fromMs: 3_000, untilMs: 8_000 }], commitsMs: [3_000, 6_000] },
        counts: ["300 300 0", "0 0 0", "0 0 0"],
    },
    {
        title: "the entry is cut off for 8 s, and a version is committed meanwhile",
        trace: { unreachable: [{ fromMs: 2_000, untilMs: 10_000 }], noDocument: [], commitsMs: [3_000] },
        counts: ["0 500 0", "0 0 0", "0 500 0"],
    },
    {
        title: "the entry is cut off right after it learned of a version",
        trace: {
            unreachable: [{ fromMs: 3_010, untilMs: 10_000 }],
            noDocument: [{ fromMs: 3_000, untilMs: 10_000 }],
            commitsMs: [3_000],
        },
        counts: ["500 500 0", "0 0 0", "0 0 0"],
    },
];

describe("requests admitted under a version known to be superseded, under a superseded one, and refused needlessly", () => {
    const policies = [mayAdmitAlways, mayAdmitWithLease, mayAdmitUnlessSuperseded];
    for (const { title, trace, counts } of traces) {
        it(title, () => {
            const found = policies.map((policy) => {
                const { knownSuperseded, superseded, refusedNeedlessly } = replay(trace, policy);
                return [knownSuperseded, superseded, refusedNeedlessly].join(" ");
            });
            expect(found).to.deep.equal(counts);
        });
    }
});
