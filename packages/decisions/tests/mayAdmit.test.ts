import { expect } from "chai";
import type { ConfigurationFreshness } from "../src/version/configurationFreshness.js";
import { mayAdmitAlways } from "../src/version/mayAdmitAlways.js";
import { mayAdmitUnlessSuperseded } from "../src/version/mayAdmitUnlessSuperseded.js";
import { mayAdmitWithLease } from "../src/version/mayAdmitWithLease.js";

const APPLY_MS = 2_000;
const STEP_MS = 10;
const LENGTH_MS = 20_000;

/** A span in which something does not work. */
interface Span {
    readonly fromMs: number;
    readonly untilMs: number;
}

/** What befalls one entry. */
interface Trace {
    /** The voters can't be reached. */
    readonly cut: readonly Span[];
    /** A leader answers, and no voter hands the document out. */
    readonly noDocument: readonly Span[];
    /** When versions are committed. */
    readonly commitsMs: readonly number[];
}

const isIn = (spans: readonly Span[], ms: number): boolean =>
    spans.some(({ fromMs, untilMs }) => ms >= fromMs && ms < untilMs);

/** Plays one request each 10 ms: those that ran by a version that the entry knew to be overtaken, and those refused in vain. */
function replay(trace: Trace, mayAdmit: (view: ConfigurationFreshness) => boolean): {
    readonly knownOvertaken: number;
    readonly overtaken: number;
    readonly refusedInVain: number;
} {
    let held = 0;
    let known = 0;
    let confirmedMs = 0;
    const counts = { knownOvertaken: 0, overtaken: 0, refusedInVain: 0 };
    for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
        const newest = trace.commitsMs.filter((ms) => ms <= nowMs).length;
        if (!isIn(trace.cut, nowMs)) {
            known = newest;
            held = isIn(trace.noDocument, nowMs) ? held : newest;
            confirmedMs = held === newest ? nowMs : confirmedMs;
        }
        const getAgeMs = (version: number): number => nowMs - (trace.commitsMs[version] ?? nowMs);
        const isAdmitted = mayAdmit({
            ageMs: nowMs - confirmedMs,
            newerMs: known > held ? getAgeMs(held) : undefined,
            applyMs: APPLY_MS,
        });
        const isOvertaken = newest > held && getAgeMs(held) >= APPLY_MS;
        counts.overtaken += isAdmitted && isOvertaken ? 1 : 0;
        counts.knownOvertaken += isAdmitted && isOvertaken && known > held ? 1 : 0;
        counts.refusedInVain += !isAdmitted && newest === held ? 1 : 0;
    }
    return counts;
}

const traces: readonly { readonly title: string; readonly trace: Trace; readonly counts: readonly string[]; }[] = [
    {
        title: "the voters are away for 8 s, nothing changes",
        trace: { cut: [{ fromMs: 2_000, untilMs: 10_000 }], noDocument: [], commitsMs: [] },
        counts: ["0 0 0", "0 0 601", "0 0 0"],
    },
    {
        title: "the document does not come for 5 s",
        trace: { cut: [], noDocument: [{ fromMs: 3_000, untilMs: 8_000 }], commitsMs: [3_000] },
        counts: ["300 300 0", "0 0 0", "0 0 0"],
    },
    {
        title: "a newer one is committed while the document does not come",
        trace: { cut: [], noDocument: [{ fromMs: 3_000, untilMs: 8_000 }], commitsMs: [3_000, 6_000] },
        counts: ["300 300 0", "0 0 0", "0 0 0"],
    },
    {
        title: "the entry is cut off for 8 s, and a version is committed meanwhile",
        trace: { cut: [{ fromMs: 2_000, untilMs: 10_000 }], noDocument: [], commitsMs: [3_000] },
        counts: ["0 500 0", "0 0 0", "0 500 0"],
    },
    {
        title: "the entry is cut off right after it was told",
        trace: {
            cut: [{ fromMs: 3_010, untilMs: 10_000 }],
            noDocument: [{ fromMs: 3_000, untilMs: 10_000 }],
            commitsMs: [3_000],
        },
        counts: ["500 500 0", "0 0 0", "0 0 0"],
    },
];

describe("requests that ran by a version known to be overtaken, by an overtaken one, and refused in vain", () => {
    const ways = [mayAdmitAlways, mayAdmitWithLease, mayAdmitUnlessSuperseded];
    for (const { title, trace, counts } of traces) {
        it(title, () => {
            const found = ways.map((way) => {
                const { knownOvertaken, overtaken, refusedInVain } = replay(trace, way);
                return [knownOvertaken, overtaken, refusedInVain].join(" ");
            });
            expect(found).to.deep.equal(counts);
        });
    }
});
