/**
 * Guards against upstreams that get no traffic after they have recovered. With five workers, one that rejected requests for a second
 * got none in the following 25 s at three or twelve callers, because its score changed only with its own responses: its bad score
 * kept requests away, so no response could show the recovery. A worker that was slow for a second stayed out in the same way.
 * At thirty callers it was back after 60 ms: rated down by a factor of nine, it was chosen only once another worker had
 * eight requests open.
 */
import { expect } from "chai";
import { PlainServiceSimulation, type SimulatedWorker } from "./plainServiceSimulation.js";

const HEALTHY: SimulatedWorker = { slots: 8, answerMs: 30, queue: 12, backoffMs: 0 };
const FAULT_MS = 1_000;
const DURATION_MS = 32_000;
/** Time by which the worker has its share of the load again. */
const RECOVERED_MS = 12_000;
/** Half of an equal share among five. */
const MIN_SHARE = 0.1;

function computeShare(faulty: SimulatedWorker, requestsPerSecond: number, entries: number, seed: number): number {
    const { arrivals } = new PlainServiceSimulation({
        entries,
        workers: [faulty, HEALTHY, HEALTHY, HEALTHY, HEALTHY],
        requestsPerSecond,
        durationMs: DURATION_MS,
        attempts: 3,
        seed,
        objectiveMs: 500,
    }).play();
    const later = arrivals.filter(({ atMs }) => atMs >= RECOVERED_MS);
    return later.filter(({ worker }) => worker === 0).length / later.length;
}

describe("an upstream gets its share of the load again after it recovers, even under low load", () => {
    const faults: readonly { readonly title: string; readonly worker: SimulatedWorker; }[] = [
        {
            title: "after rejecting requests",
            worker: { ...HEALTHY, shedsFromMs: FAULT_MS, shedsUntilMs: 2 * FAULT_MS },
        },
        {
            title: "after slow responses",
            worker: { ...HEALTHY, slowMs: 400, slowFromMs: FAULT_MS, slowUntilMs: 2 * FAULT_MS },
        },
    ];
    for (const { title, worker } of faults) {
        for (const requestsPerSecond of [30, 60, 240]) {
            it(`${title}, ${String(requestsPerSecond)} requests per second`, () => {
                [1, 2, 3].forEach((seed) => {
                    expect(computeShare(worker, requestsPerSecond, 3, seed)).to.be.at.least(MIN_SHARE);
                });
            });
        }
    }
});

describe("an upstream with a permanent fault is retried rarely", () => {
    const rows: readonly { readonly title: string; readonly worker: SimulatedWorker; }[] = [
        {
            title: "rejects all requests",
            worker: { ...HEALTHY, shedsFromMs: FAULT_MS, shedsUntilMs: Number.POSITIVE_INFINITY },
        },
        {
            title: "responds slowly",
            worker: { ...HEALTHY, slowMs: 400, slowFromMs: FAULT_MS, slowUntilMs: Number.POSITIVE_INFINITY },
        },
    ];
    /** At most one request in a hundred. */
    const MAX_SHARE = 0.01;
    for (const { title, worker } of rows) {
        it(title, () => {
            [1, 2, 3].forEach((seed) => {
                expect(computeShare(worker, 60, 3, seed)).to.be.at.most(MAX_SHARE);
            });
        });
    }

    it("one that rejects 40 % of the requests gets less than half of an equal share", () => {
        const worker = {
            ...HEALTHY,
            shedsFromMs: FAULT_MS,
            shedsUntilMs: Number.POSITIVE_INFINITY,
            shedsFraction: 0.4,
        };
        [1, 2, 3].forEach((seed) => {
            expect(computeShare(worker, 60, 3, seed)).to.be.at.most(MIN_SHARE);
        });
    });
});
