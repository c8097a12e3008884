/**
 * A worker that started anew got no request in eight seconds, while four others answered within 12 ms: what has not answered yet
 * was rated as if it took 50 ms, whatever the others take. Where they take 200 ms everything went to the new one. So a release
 * moved no load to what it started, or all of it.
 */
import { expect } from "chai";
import { PlainServiceSimulation } from "./plainServiceSimulation.js";

const STARTS_MS = 2_000;

describe("an upstream that has not answered yet gets about what the others get", () => {
    const rows = [
        { answerMs: 12, requestsASecond: 100, watchedMs: 4_000 },
        { answerMs: 30, requestsASecond: 200, watchedMs: 2_000 },
        { answerMs: 200, requestsASecond: 20, watchedMs: 4_000 },
        // Until its first answers are there.
        { answerMs: 200, requestsASecond: 200, watchedMs: 200 },
        { answerMs: 1_000, requestsASecond: 50, watchedMs: 1_000 },
    ];
    for (const { answerMs, requestsASecond, watchedMs } of rows) {
        it(`where the others take ${String(answerMs)} ms, at ${String(requestsASecond)} requests a second`, () => {
            const worker = { slots: 40, answerMs, queue: 8, restMs: 1_000 };
            const { arrivals } = new PlainServiceSimulation({
                entries: 3,
                workers: [worker, worker, worker, worker, { ...worker, startsMs: STARTS_MS }],
                requestsASecond,
                durationMs: STARTS_MS + watchedMs,
                attempts: 1,
                seed: 1,
                objectiveMs: 2 * answerMs,
            }).play();
            const since = arrivals.filter(({ atMs }) => atMs > STARTS_MS);
            const share = since.filter(({ worker: number }) => number === 4).length / since.length;
            // A fifth would be even.
            expect(share).to.be.within(0.1, 0.4);
        });
    }
});
