/**
 * Loads that fall on a service whose upstreams ask for rest: one of five, four of five, all of them; and a load that is too much
 * for all. Replayed on the real choice of upstreams.
 */
import { expect } from "chai";
import {
    PlainServiceSimulation,
    type SimulatedWorker,
    type SimulationOptions,
    type SimulationResult,
} from "./plainServiceSimulation.js";

const worker: SimulatedWorker = { slots: 8, answerMs: 30, queue: 4, restMs: 1_500 };
/** What a worker takes. */
const TAKEN_A_SECOND = 8 / 0.03;
const base: SimulationOptions = {
    entries: 3,
    workers: [worker, worker, worker, worker, worker],
    requestsASecond: 600,
    durationMs: 6_000,
    attempts: 3,
    seed: 1,
    objectiveMs: 400,
};
const SHEDS_FROM_MS = 2_000;
const SHEDS_UNTIL_MS = 3_000;
/** Each rest ends so long after the first 503, give or take the time to the first requests. */
const RETURN_MS = SHEDS_FROM_MS + 1_500;
const FIRST_MS = 100;
/** What an entry had sent before it read the notice may still arrive. */
const UNDER_WAY_MS = 500;

function play(change: Partial<SimulationOptions>, sheds: number): SimulationResult {
    const workers = base.workers.map((one, number) =>
        number < sheds ? { ...one, shedsFromMs: SHEDS_FROM_MS, shedsUntilMs: SHEDS_UNTIL_MS } : one
    );
    return new PlainServiceSimulation({ ...base, workers, ...change }).play();
}

/** Arrivals at those that shed, of entries that such a one had asked for rest half a second before or longer. */
function countDuringRest({ arrivals }: SimulationResult): number {
    return arrivals.filter((arrival) =>
        arrivals.some((one) =>
            one.isTurnedAway && one.worker === arrival.worker && one.entry === arrival.entry
            && arrival.atMs > one.atMs + UNDER_WAY_MS && arrival.atMs < one.atMs + worker.restMs
        )
    ).length;
}

function countAtReturn({ arrivals }: SimulationResult, sheds: number): number {
    return arrivals.filter((one) => one.worker < sheds && one.atMs >= RETURN_MS && one.atMs < RETURN_MS + FIRST_MS)
        .length;
}

function countTurnedAwayAgain({ arrivals }: SimulationResult): number {
    return arrivals.filter(({ isTurnedAway, atMs }) => isTurnedAway && atMs >= RETURN_MS && atMs < RETURN_MS + 1_000)
        .length;
}

describe("what upstreams ask for rest costs no more than what they would have served meanwhile", () => {
    const rows = [
        { sheds: 1, requestsASecond: 600, leastServed: 0.99 },
        { sheds: 4, requestsASecond: 200, leastServed: 0.97 },
        // For a quarter of the time there is nobody to serve them.
        { sheds: 5, requestsASecond: 600, leastServed: 0.7 },
    ];
    for (const { sheds, requestsASecond, leastServed } of rows) {
        it(`${String(sheds)} of five turn away and rest, at ${String(requestsASecond)} requests a second`, () => {
            const result = play({ requestsASecond }, sheds);
            expect(result.served / result.asked).to.be.at.least(leastServed);
            expect(countDuringRest(result)).to.equal(0);
            // What they take, and so few at first that none of them asks for rest again.
            expect(countAtReturn(result, sheds)).to.be.at.most(sheds * TAKEN_A_SECOND * FIRST_MS / 1_000);
            expect(countTurnedAwayAgain(result)).to.equal(0);
        });
    }
});

describe("a load that is too much for upstreams that ask for rest is served as far as they go", () => {
    for (const requestsASecond of [1_200, 1_600, 2_400]) {
        for (const sheds of [0, 1]) {
            it(`${String(requestsASecond)} requests a second, ${String(sheds)} of five turn away and rest`, () => {
                const result = play({ requestsASecond }, sheds);
                const most = Math.min(1, 5 * TAKEN_A_SECOND / requestsASecond);
                expect(result.served / result.asked).to.be.at.least(0.8 * most);
                expect(countDuringRest(result)).to.equal(0);
            });
        }
    }
});

describe("a rest is kept by the entry that was asked for it, and not by the others", () => {
    const shed = { shedsFromMs: SHEDS_FROM_MS, shedsUntilMs: SHEDS_UNTIL_MS };
    const rows = [
        { title: "one of five turns everybody away", sheds: 1, shed, requestsASecond: 600 },
        { title: "four of five turn everybody away", sheds: 4, shed, requestsASecond: 200 },
        {
            title: "three of five turn one entry away",
            sheds: 3,
            shed: { ...shed, shedsEntry: 0 },
            requestsASecond: 600,
        },
        { title: "too much load for all", sheds: 0, shed, requestsASecond: 1_600 },
    ];
    for (const { title, sheds, shed: manner, requestsASecond } of rows) {
        it(`${title}: telling the others serves no more`, () => {
            const workers = base.workers.map((one, number) => number < sheds ? { ...one, ...manner } : one);
            const play = (sharedAfterMs: number | undefined): number => {
                const change = sharedAfterMs === undefined ? {} : { sharedAfterMs };
                const { served, asked } = new PlainServiceSimulation({ ...base, workers, requestsASecond, ...change })
                    .play();
                return served / asked;
            };
            const [own, shared] = [play(undefined), play(100)];
            expect(own).to.be.at.least(shared - 0.01);
        });
    }
});
