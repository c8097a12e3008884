/**
 * One worker of five turned requests away for a second and served again; with thirty callers it was back after 60 ms, with twelve
 * and with three it got nothing in 25 s, while each of the others got 106 to 363 requests in five. What an entry believes of an
 * upstream changed with its answers alone: rated down by a factor of nine, it got none as long as no other had eight requests
 * open, and so nothing could tell that it was well. One that was slow for a second stayed out the same way.
 */
import { expect } from "chai";
import { PlainServiceSimulation, type SimulatedWorker } from "./plainServiceSimulation.js";

const WELL: SimulatedWorker = { slots: 8, answerMs: 30, queue: 12, restMs: 0 };
const TROUBLE_MS = 1_000;
const PLAYED_MS = 32_000;
/** By then it has its part again. */
const BACK_MS = 12_000;
/** An even part of five is a fifth; half of it, at the least. */
const LEAST_PART = 0.1;

function countPart(troubled: SimulatedWorker, requestsASecond: number, entries: number, seed: number): number {
    const { arrivals } = new PlainServiceSimulation({
        entries,
        workers: [troubled, WELL, WELL, WELL, WELL],
        requestsASecond,
        durationMs: PLAYED_MS,
        attempts: 3,
        seed,
        objectiveMs: 500,
    }).play();
    const later = arrivals.filter(({ atMs }) => atMs >= BACK_MS);
    return later.filter(({ worker }) => worker === 0).length / later.length;
}

describe("an upstream that was in trouble and is well again gets its part, however few callers there are", () => {
    const troubles: readonly { readonly title: string; readonly worker: SimulatedWorker; }[] = [
        {
            title: "it turned requests away",
            worker: { ...WELL, shedsFromMs: TROUBLE_MS, shedsUntilMs: 2 * TROUBLE_MS },
        },
        {
            title: "it was slow",
            worker: { ...WELL, slowMs: 400, slowFromMs: TROUBLE_MS, slowUntilMs: 2 * TROUBLE_MS },
        },
    ];
    for (const { title, worker } of troubles) {
        for (const requestsASecond of [30, 60, 240]) {
            it(`${title}, ${String(requestsASecond)} requests a second`, () => {
                [1, 2, 3].forEach((seed) => {
                    expect(countPart(worker, requestsASecond, 3, seed)).to.be.at.least(LEAST_PART);
                });
            });
        }
    }
});

describe("one that is in trouble for good is tried now and then only", () => {
    const rows: readonly { readonly title: string; readonly worker: SimulatedWorker; }[] = [
        {
            title: "it turns everything away",
            worker: { ...WELL, shedsFromMs: TROUBLE_MS, shedsUntilMs: Number.POSITIVE_INFINITY },
        },
        {
            title: "it is slow",
            worker: { ...WELL, slowMs: 400, slowFromMs: TROUBLE_MS, slowUntilMs: Number.POSITIVE_INFINITY },
        },
    ];
    /** One request in a hundred, at most. */
    const MOST_PART = 0.01;
    for (const { title, worker } of rows) {
        it(title, () => {
            [1, 2, 3].forEach((seed) => {
                expect(countPart(worker, 60, 3, seed)).to.be.at.most(MOST_PART);
            });
        });
    }

    it("it turns a part away: it gets less than half of an even part", () => {
        const worker = { ...WELL, shedsFromMs: TROUBLE_MS, shedsUntilMs: Number.POSITIVE_INFINITY, shedsPart: 0.4 };
        [1, 2, 3].forEach((seed) => {
            expect(countPart(worker, 60, 3, seed)).to.be.at.most(LEAST_PART);
        });
    });
});
