import { expect } from "chai";
import { computeRetryIntervalMs, RetryAfterSpreader } from "../src/request/retryAfterSpreader.js";

describe("retry times are assigned one after another, none before the end of the backoff", () => {
    interface RetryRequest {
        readonly endMs: number;
        readonly intervalMs: number;
    }
    const same = (count: number, endMs: number, intervalMs: number): readonly RetryRequest[] =>
        Array.from({ length: count }, () => ({ endMs, intervalMs }));
    const rows: readonly {
        readonly title: string;
        readonly requests: readonly RetryRequest[];
        readonly times: readonly number[];
    }[] = [
        { title: "the first at the end of the backoff", requests: same(1, 3_000, 10), times: [3_000] },
        { title: "the next after it", requests: same(3, 3_000, 10), times: [3_000, 3_010, 3_020] },
        {
            title: "from the end again after two seconds",
            requests: same(3, 3_000, 1_000),
            times: [3_000, 4_000, 3_000],
        },
        {
            title: "a backoff that ends a little later continues the sequence",
            requests: [...same(2, 3_000, 10), ...same(1, 3_500, 10)],
            times: [3_000, 3_010, 3_520],
        },
        {
            title: "the next backoff starts a new sequence",
            requests: [...same(2, 3_000, 10), ...same(1, 9_000, 10)],
            times: [3_000, 3_010, 9_000],
        },
        {
            title: "a backoff without an end",
            requests: same(2, Number.POSITIVE_INFINITY, 10),
            times: [Infinity, Infinity],
        },
    ];
    for (const { title, requests, times } of rows) {
        it(title, () => {
            const spreader = new RetryAfterSpreader();
            expect(requests.map(({ endMs, intervalMs }) => spreader.assignRetryTime(endMs, intervalMs))).to.deep.equal(
                times,
            );
        });
    }

    const intervals = [
        { slots: 40, answerMs: 30, entries: 1, limits: [], intervalMs: 1.5 },
        { slots: 40, answerMs: 30, entries: 3, limits: [undefined], intervalMs: 4.5 },
        { slots: 0, answerMs: 30, entries: 1, limits: [], intervalMs: 60 },
        { slots: 40, answerMs: 30, entries: 3, limits: [4, 2], intervalMs: 500 },
        { slots: 40, answerMs: 30, entries: 3, limits: [4, undefined], intervalMs: 4.5 },
        { slots: 40, answerMs: 30, entries: 59, limits: [2], intervalMs: 2_000 },
        { slots: 40, answerMs: 30, entries: 3, limits: [0], intervalMs: 2_000 },
    ];
    for (const { intervalMs, ...capacity } of intervals) {
        it(
            `${String(capacity.slots)} slots of ${String(capacity.answerMs)} ms for ${
                String(capacity.entries)
            } entries, ${String(capacity.limits)} a second: ${String(intervalMs)} ms`,
            () => {
                expect(computeRetryIntervalMs(capacity)).to.equal(intervalMs);
            },
        );
    }
});
