import { expect } from "chai";
import { computeRetryIntervalMs, RetryAfterSpreader } from "../src/request/retryAfterSpreader.js";

describe("times to come back are handed out one after another, none before the end of the rest", () => {
    interface Ask {
        readonly endMs: number;
        readonly gapMs: number;
    }
    const same = (count: number, endMs: number, gapMs: number): readonly Ask[] =>
        Array.from({ length: count }, () => ({ endMs, gapMs }));
    const rows: readonly {
        readonly title: string;
        readonly asks: readonly Ask[];
        readonly times: readonly number[];
    }[] = [
        { title: "the first at the end", asks: same(1, 3_000, 10), times: [3_000] },
        { title: "the next behind it", asks: same(3, 3_000, 10), times: [3_000, 3_010, 3_020] },
        { title: "from the end again after two seconds", asks: same(3, 3_000, 1_000), times: [3_000, 4_000, 3_000] },
        {
            title: "a rest that ends a little later goes on in the same order",
            asks: [...same(2, 3_000, 10), ...same(1, 3_500, 10)],
            times: [3_000, 3_010, 3_520],
        },
        {
            title: "the next rest begins anew",
            asks: [...same(2, 3_000, 10), ...same(1, 9_000, 10)],
            times: [3_000, 3_010, 9_000],
        },
        { title: "a rest without an end", asks: same(2, Number.POSITIVE_INFINITY, 10), times: [Infinity, Infinity] },
    ];
    for (const { title, asks, times } of rows) {
        it(title, () => {
            const order = new RetryAfterSpreader();
            expect(asks.map(({ endMs, gapMs }) => order.assignRetryTime(endMs, gapMs))).to.deep.equal(times);
        });
    }

    const gaps = [
        { slots: 40, answerMs: 30, entries: 1, limits: [], gapMs: 1.5 },
        { slots: 40, answerMs: 30, entries: 3, limits: [undefined], gapMs: 4.5 },
        { slots: 0, answerMs: 30, entries: 1, limits: [], gapMs: 60 },
        { slots: 40, answerMs: 30, entries: 3, limits: [4, 2], gapMs: 500 },
        { slots: 40, answerMs: 30, entries: 3, limits: [4, undefined], gapMs: 4.5 },
        { slots: 40, answerMs: 30, entries: 59, limits: [2], gapMs: 2_000 },
        { slots: 40, answerMs: 30, entries: 3, limits: [0], gapMs: 2_000 },
    ];
    for (const { gapMs, ...pace } of gaps) {
        it(
            `${String(pace.slots)} slots of ${String(pace.answerMs)} ms for ${String(pace.entries)} entries, ${
                String(pace.limits)
            } a second: ${String(gapMs)} ms`,
            () => {
                expect(computeRetryIntervalMs(pace)).to.equal(gapMs);
            },
        );
    }
});
