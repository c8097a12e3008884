import { expect } from "chai";
import { RetryAfterBackoff, type RetryAfterChange } from "../src/connection/retryAfterBackoff.js";

describe("a backoff is observed in full, and the latest end applies", () => {
    interface Said {
        readonly atMs: number;
        readonly backoffMs: number;
    }
    const rows: readonly {
        readonly title: string;
        readonly responses: readonly Said[];
        readonly changes: readonly RetryAfterChange[];
        readonly endMs: number;
    }[] = [
        { title: "one", responses: [{ atMs: 10, backoffMs: 3_000 }], changes: ["begun"], endMs: 3_010 },
        { title: "a fraction", responses: [{ atMs: 0, backoffMs: 0.5 }], changes: ["begun"], endMs: 0.5 },
        {
            title: "a longer one after a shorter",
            responses: [{ atMs: 0, backoffMs: 1_000 }, { atMs: 500, backoffMs: 2_000 }],
            changes: ["begun", "prolonged"],
            endMs: 2_500,
        },
        {
            title: "a shorter one after a longer",
            responses: [{ atMs: 0, backoffMs: 3_000 }, { atMs: 500, backoffMs: 1_000 }],
            changes: ["begun", "unchanged"],
            endMs: 3_000,
        },
        {
            title: "a second one after the end",
            responses: [{ atMs: 0, backoffMs: 1_000 }, { atMs: 1_000, backoffMs: 1_000 }],
            changes: ["begun", "begun"],
            endMs: 2_000,
        },
        { title: "a billion seconds", responses: [{ atMs: 5, backoffMs: 1e12 }], changes: ["begun"], endMs: 1e12 + 5 },
        {
            title: "longer than any finite number",
            responses: [{ atMs: 5, backoffMs: Number.POSITIVE_INFINITY }, { atMs: 6, backoffMs: 1 }],
            changes: ["begun", "unchanged"],
            endMs: Number.POSITIVE_INFINITY,
        },
    ];
    for (const { title, responses, changes, endMs } of rows) {
        it(title, () => {
            const backoff = new RetryAfterBackoff();
            expect(responses.map(({ atMs, backoffMs }) => backoff.recordRetryAfter(backoffMs, atMs))).to.deep.equal(
                changes,
            );
            const last = responses[responses.length - 1]!;
            expect([backoff.endsAtMs, backoff.isBackingOff(last.atMs), backoff.isBackingOff(endMs)]).to.deep.equal([
                endMs,
                true,
                false,
            ]);
        });
    }
});

it("sends are unrestricted before the first backoff", () => {
    const backoff = new RetryAfterBackoff();
    Array.from({ length: 100 }, () => {
        backoff.recordSend();
    });
    expect([backoff.isBackingOff(0), backoff.canSend(0)]).to.deep.equal([false, true]);
});

describe("after a backoff sends are ramped up by successes", () => {
    const rows = [
        { title: "one first", sent: 1, served: 0, lost: 0, canSend: false },
        { title: "two more once it has succeeded", sent: 2, served: 1, lost: 0, canSend: true },
        { title: "not a third", sent: 3, served: 1, lost: 0, canSend: false },
        { title: "another in place of one that ended without success", sent: 1, served: 0, lost: 1, canSend: true },
        { title: "all once enough have succeeded", sent: 100, served: 7, lost: 0, canSend: true },
    ];
    for (const { title, sent, served, lost, canSend } of rows) {
        it(title, () => {
            const backoff = new RetryAfterBackoff();
            backoff.recordRetryAfter(1_000, 0);
            expect(backoff.canSend(999)).to.equal(false);
            expect(backoff.canSend(1_000)).to.equal(true);
            Array.from({ length: sent }, () => backoff.recordSend());
            Array.from({ length: served }, () => backoff.recordSuccess());
            Array.from({ length: lost }, () => backoff.releaseSend());
            expect(backoff.canSend(1_001)).to.equal(canSend);
        });
    }
});
