/**
 * Simulated load on a service whose upstreams request a backoff (one, four or all of five), and overload of all. Uses the real target
 * selection.
 */
import { expect } from "chai";
import {
    PlainServiceSimulation,
    type SimulatedWorker,
    type SimulationOptions,
    type SimulationResult,
} from "./plainServiceSimulation.js";

const worker: SimulatedWorker = { slots: 8, answerMs: 30, queue: 4, backoffMs: 1_500 };
/** Capacity of a worker. */
const WORKER_REQUESTS_PER_SECOND = 8 / 0.03;
const base: SimulationOptions = {
    entries: 3,
    workers: [worker, worker, worker, worker, worker],
    requestsPerSecond: 600,
    durationMs: 6_000,
    attempts: 3,
    seed: 1,
    objectiveMs: 400,
};
const SHEDS_FROM_MS = 2_000;
const SHEDS_UNTIL_MS = 3_000;
/** End of the backoff, counted from the first 503; the first requests arrive a little later. */
const BACKOFF_END_MS = SHEDS_FROM_MS + 1_500;
const RAMP_UP_MS = 100;
/** Requests that an entry sent before it received the notice may arrive until then. */
const IN_FLIGHT_MS = 500;

function simulate(change: Partial<SimulationOptions>, sheddingCount: number): SimulationResult {
    const workers = base.workers.map((one, number) =>
        number < sheddingCount ? { ...one, shedsFromMs: SHEDS_FROM_MS, shedsUntilMs: SHEDS_UNTIL_MS } : one
    );
    return new PlainServiceSimulation({ ...base, workers, ...change }).play();
}

/** Counts requests from entries that the worker had asked for a backoff at least half a second earlier. */
function countDuringBackoff({ arrivals }: SimulationResult): number {
    return arrivals.filter((arrival) =>
        arrivals.some((one) =>
            one.isRejected && one.worker === arrival.worker && one.entry === arrival.entry
            && arrival.atMs > one.atMs + IN_FLIGHT_MS && arrival.atMs < one.atMs + worker.backoffMs
        )
    ).length;
}

function countAfterBackoff({ arrivals }: SimulationResult, sheddingCount: number): number {
    return arrivals.filter((one) =>
        one.worker < sheddingCount && one.atMs >= BACKOFF_END_MS && one.atMs < BACKOFF_END_MS + RAMP_UP_MS
    )
        .length;
}

function countRejectedAgain({ arrivals }: SimulationResult): number {
    return arrivals.filter(({ isRejected, atMs }) =>
        isRejected && atMs >= BACKOFF_END_MS && atMs < BACKOFF_END_MS + 1_000
    )
        .length;
}

describe("backoffs cost no more than the capacity that is backed off", () => {
    const rows = [
        { sheddingCount: 1, requestsPerSecond: 600, minServed: 0.99 },
        { sheddingCount: 4, requestsPerSecond: 200, minServed: 0.97 },
        // For a quarter of the time no worker serves requests.
        { sheddingCount: 5, requestsPerSecond: 600, minServed: 0.7 },
    ];
    for (const { sheddingCount, requestsPerSecond, minServed } of rows) {
        it(`${String(sheddingCount)} of five reject and back off, at ${String(requestsPerSecond)} requests per second`, () => {
            const result = simulate({ requestsPerSecond }, sheddingCount);
            expect(result.served / result.requests).to.be.at.least(minServed);
            expect(countDuringBackoff(result)).to.equal(0);
            // At most their capacity, and slow enough at first that none requests another backoff.
            expect(countAfterBackoff(result, sheddingCount)).to.be.at.most(
                sheddingCount * WORKER_REQUESTS_PER_SECOND * RAMP_UP_MS / 1_000,
            );
            expect(countRejectedAgain(result)).to.equal(0);
        });
    }
});

describe("overload is served up to the capacity of upstreams that request backoffs", () => {
    for (const requestsPerSecond of [1_200, 1_600, 2_400]) {
        for (const sheddingCount of [0, 1]) {
            it(`${String(requestsPerSecond)} requests per second, ${String(sheddingCount)} of five reject and back off`, () => {
                const result = simulate({ requestsPerSecond }, sheddingCount);
                const maxServed = Math.min(1, 5 * WORKER_REQUESTS_PER_SECOND / requestsPerSecond);
                expect(result.served / result.requests).to.be.at.least(0.8 * maxServed);
                expect(countDuringBackoff(result)).to.equal(0);
            });
        }
    }
});

describe("a backoff is observed by the entry that received it, and not by the others", () => {
    const shed = { shedsFromMs: SHEDS_FROM_MS, shedsUntilMs: SHEDS_UNTIL_MS };
    const rows = [
        { title: "one of five rejects all entries", sheddingCount: 1, shed, requestsPerSecond: 600 },
        { title: "four of five reject all entries", sheddingCount: 4, shed, requestsPerSecond: 200 },
        {
            title: "three of five reject one entry",
            sheddingCount: 3,
            shed: { ...shed, shedsEntry: 0 },
            requestsPerSecond: 600,
        },
        { title: "overload of all", sheddingCount: 0, shed, requestsPerSecond: 1_600 },
    ];
    for (const { title, sheddingCount, shed: shedding, requestsPerSecond } of rows) {
        it(`${title}: sharing the notice does not serve more`, () => {
            const workers = base.workers.map((one, number) => number < sheddingCount ? { ...one, ...shedding } : one);
            const computeServedShare = (sharedAfterMs: number | undefined): number => {
                const change = sharedAfterMs === undefined ? {} : { sharedAfterMs };
                const { served, requests } = new PlainServiceSimulation({
                    ...base,
                    workers,
                    requestsPerSecond,
                    ...change,
                }).play();
                return served / requests;
            };
            const [servedUnshared, servedShared] = [computeServedShare(undefined), computeServedShare(100)];
            expect(servedUnshared).to.be.at.least(servedShared - 0.01);
        });
    }
});
