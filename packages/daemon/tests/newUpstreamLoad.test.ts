/**
 * Guards against a wrong initial score of new upstreams. With a fixed default response time of 50 ms, a new worker got no request in 8 s
 * where the four others responded within 12 ms, and all requests where they took 200 ms.
 */
import { expect } from "chai";
import { PlainServiceSimulation } from "./plainServiceSimulation.js";

const STARTS_MS = 2_000;

describe("a new upstream gets about the same load as the others", () => {
    const rows = [
        { answerMs: 12, requestsPerSecond: 100, observedMs: 4_000 },
        { answerMs: 30, requestsPerSecond: 200, observedMs: 2_000 },
        { answerMs: 200, requestsPerSecond: 20, observedMs: 4_000 },
        // Until its first responses arrive.
        { answerMs: 200, requestsPerSecond: 200, observedMs: 200 },
        { answerMs: 1_000, requestsPerSecond: 50, observedMs: 1_000 },
    ];
    for (const { answerMs, requestsPerSecond, observedMs } of rows) {
        it(`if the others take ${String(answerMs)} ms, at ${String(requestsPerSecond)} requests per second`, () => {
            const worker = { slots: 40, answerMs, queue: 8, backoffMs: 1_000 };
            const { arrivals } = new PlainServiceSimulation({
                entries: 3,
                workers: [worker, worker, worker, worker, { ...worker, startsMs: STARTS_MS }],
                requestsPerSecond,
                durationMs: STARTS_MS + observedMs,
                attempts: 1,
                seed: 1,
                objectiveMs: 2 * answerMs,
            }).play();
            const since = arrivals.filter(({ atMs }) => atMs > STARTS_MS);
            const share = since.filter(({ worker: index }) => index === 4).length / since.length;
            // An equal share is a fifth.
            expect(share).to.be.within(0.1, 0.4);
        });
    }
});
