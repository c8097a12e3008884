import { expect } from "chai";
import { RetryAfterBackoff, type RetryAfterChange } from "../src/connection/retryAfterBackoff.js";

describe("a rest is kept whole, and the latest end counts", () => {
    interface Said {
        readonly atMs: number;
        readonly restMs: number;
    }
    const rows: readonly {
        readonly title: string;
        readonly said: readonly Said[];
        readonly changes: readonly RetryAfterChange[];
        readonly endMs: number;
    }[] = [
        { title: "one", said: [{ atMs: 10, restMs: 3_000 }], changes: ["begun"], endMs: 3_010 },
        { title: "a fraction", said: [{ atMs: 0, restMs: 0.5 }], changes: ["begun"], endMs: 0.5 },
        {
            title: "a longer one after a shorter",
            said: [{ atMs: 0, restMs: 1_000 }, { atMs: 500, restMs: 2_000 }],
            changes: ["begun", "prolonged"],
            endMs: 2_500,
        },
        {
            title: "a shorter one after a longer",
            said: [{ atMs: 0, restMs: 3_000 }, { atMs: 500, restMs: 1_000 }],
            changes: ["begun", "unchanged"],
            endMs: 3_000,
        },
        {
            title: "a second one after the end",
            said: [{ atMs: 0, restMs: 1_000 }, { atMs: 1_000, restMs: 1_000 }],
            changes: ["begun", "begun"],
            endMs: 2_000,
        },
        { title: "a thousand million seconds", said: [{ atMs: 5, restMs: 1e12 }], changes: ["begun"], endMs: 1e12 + 5 },
        {
            title: "longer than any number",
            said: [{ atMs: 5, restMs: Number.POSITIVE_INFINITY }, { atMs: 6, restMs: 1 }],
            changes: ["begun", "unchanged"],
            endMs: Number.POSITIVE_INFINITY,
        },
    ];
    for (const { title, said, changes, endMs } of rows) {
        it(title, () => {
            const rest = new RetryAfterBackoff();
            expect(said.map(({ atMs, restMs }) => rest.recordRetryAfter(restMs, atMs))).to.deep.equal(changes);
            const last = said[said.length - 1]!;
            expect([rest.endsAtMs, rest.isBackingOff(last.atMs), rest.isBackingOff(endMs)]).to.deep.equal([
                endMs,
                true,
                false,
            ]);
        });
    }
});

it("nothing is kept back before the first rest", () => {
    const rest = new RetryAfterBackoff();
    Array.from({ length: 100 }, () => {
        rest.recordSend();
    });
    expect([rest.isBackingOff(0), rest.canSend(0)]).to.deep.equal([false, true]);
});

describe("after a rest requests come back as they are served", () => {
    const rows = [
        { title: "one first", sent: 1, served: 0, lost: 0, hasRoom: false },
        { title: "two more once it is served", sent: 2, served: 1, lost: 0, hasRoom: true },
        { title: "not a third", sent: 3, served: 1, lost: 0, hasRoom: false },
        { title: "another in the place of one that came to nothing", sent: 1, served: 0, lost: 1, hasRoom: true },
        { title: "all once enough were served", sent: 100, served: 7, lost: 0, hasRoom: true },
    ];
    for (const { title, sent, served, lost, hasRoom } of rows) {
        it(title, () => {
            const rest = new RetryAfterBackoff();
            rest.recordRetryAfter(1_000, 0);
            expect(rest.canSend(999)).to.equal(false);
            expect(rest.canSend(1_000)).to.equal(true);
            Array.from({ length: sent }, () => rest.recordSend());
            Array.from({ length: served }, () => rest.recordSuccess());
            Array.from({ length: lost }, () => rest.releaseSend());
            expect(rest.canSend(1_001)).to.equal(hasRoom);
        });
    }
});
