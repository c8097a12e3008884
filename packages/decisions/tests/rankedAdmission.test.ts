import { expect } from "chai";
import {
    type Chain,
    computeClassRoom,
    computeCurrentLoad,
    computeExcessShare,
    computeExpectedOpen,
    computeMaxMinShares,
    computeMaxOpen,
    computePriority,
    computeRankPriority,
    hasChainCapacity,
    hasClassRoom,
    rankClasses,
    type RankDemand,
    type RankedRequest,
    urgencies,
} from "../src/index.js";
import { profile } from "./layerProfile.js";

/** Holds 20 requests of the usual size; a prompt takes 50 ms. */
const chain: Chain = { id: "c", stages: [], stepMs: 10, prefillMs: 5, contextTokens: 300, isCrossDomain: false };
const engine = { ...profile, slots: 100 };
const usual: RankedRequest = {
    rank: 0,
    memoryRank: 0,
    size: { promptTokens: 10, answerTokens: 10 },
    objectiveMs: 500,
    draw: 0,
};

describe("ranks order requests by effective priority, then by the route's", () => {
    const rows = [
        { title: "routes only", routes: [2, 0, 1], organisations: undefined, ranks: ["0/0", "1/1", "2/2"] },
        {
            title: "organisations with priorities",
            routes: [0, 1, 2],
            organisations: [{ priority: 1 }, { priority: 0 }, { priority: 1 }],
            ranks: ["0/0", "0/1", "0/2", "1/0", "1/1", "1/2"],
        },
        {
            title: "an organisation without a priority",
            routes: [0, 2],
            organisations: [{}, { priority: 1 }],
            ranks: ["0/0", "1/0", "1/2", "2/2"],
        },
        {
            title: "routes of one priority",
            routes: [1, 1],
            organisations: [{ priority: 0 }, {}],
            ranks: ["0/1", "1/1"],
        },
        { title: "no routes", routes: [], organisations: undefined, ranks: [] },
    ];
    for (const { title, routes, organisations, ranks } of rows) {
        it(title, () => {
            const result = rankClasses(routes.map((priority) => ({ priority })), organisations);
            expect(result.ranks.map(({ effective, route }) => `${String(effective)}/${String(route)}`)).to.deep.equal(
                ranks,
            );
            expect(result.isRanked).to.equal(new Set(routes).size > 1);
            result.ranks.forEach(({ effective, route }, rank) => {
                expect(result.getRank({ priority: route }, { priority: effective })).to.equal(rank);
            });
        });
    }

    it("callers without a key have the route's priority, and unknown pairs the next rank", () => {
        const { ranks, getRank } = rankClasses([{ priority: 0 }, { priority: 3, is_anonymous: true }], [{
            priority: 1,
        }]);
        expect(ranks).to.have.length(3);
        expect(getRank({ priority: 3 }, undefined)).to.equal(2);
        expect(getRank({ priority: 2 }, { priority: 0 })).to.equal(0);
        expect(getRank({ priority: 9 }, { priority: 9 })).to.equal(2);
    });
});

describe("each rank has a level of its own at engines, and what is left separates urgencies", () => {
    for (let ranks = 1; ranks <= 10; ranks += 1) {
        it(`no rank goes before a more urgent one (${String(ranks)} ranks)`, () => {
            const sent = Array.from(
                { length: ranks },
                (_, rank) => urgencies.map((urgency) => computeRankPriority(rank, ranks, urgency)),
            );
            expect(sent.flat()).to.deep.equal([...sent.flat()].sort((one, other) => one - other));
            sent.slice(1).forEach((priorities, before) => {
                expect(Math.min(...priorities)).to.be.above(Math.max(...sent[before] ?? []));
            });
            expect(Math.max(...sent.flat())).to.be.at.most(9);
            if (ranks <= 3) {
                const old = sent.map((_, rank) =>
                    urgencies.map((urgency) => computePriority(rank, ranks - 1, urgency))
                );
                expect(sent).to.deep.equal(old);
            }
        });
    }

    it("six ranks: streams apart for the four most urgent, late requests for none", () => {
        const sent = Array.from({ length: 6 }, (_, rank) => urgencies.map((one) => computeRankPriority(rank, 6, one)));
        expect(sent).to.deep.equal([[0, 1, 1], [2, 3, 3], [4, 5, 5], [6, 7, 7], [8, 8, 8], [9, 9, 9]]);
    });

    it("the last of twelve ranks share the last level", () => {
        expect([8, 9, 10, 11].map((rank) => computeRankPriority(rank, 12, "late"))).to.deep.equal([8, 9, 9, 9]);
    });
});

describe("a request takes the room that more urgent ranks leave", () => {
    it("where all are alike the decision is that of services that are not ranked", () => {
        for (const isCrossDomain of [false, true]) {
            for (const open of [0, 1, 3, 4, 19, 20, 21, 500]) {
                for (const unstarted of [0, 3, 4, 5, 6, 7, 8, 20]) {
                    for (const objectiveMs of [10, 250, 500, 1_000]) {
                        for (const ageMs of [0, 90, 400]) {
                            const one = { ...chain, isCrossDomain };
                            const load = { open, unstarted };
                            const old = hasChainCapacity(
                                one,
                                computeCurrentLoad(one, load, engine, ageMs),
                                engine,
                                objectiveMs,
                            );
                            const lists = [{}, { unstarted_by_rank: [unstarted], open_by_rank: [open] }];
                            const rooms = lists.map((list) =>
                                computeClassRoom(
                                    one,
                                    { ...load, ...list },
                                    engine,
                                    { ...usual, objectiveMs },
                                    [7],
                                    ageMs,
                                )
                            );
                            expect(rooms.map(hasClassRoom), JSON.stringify(load)).to.deep.equal([old, old]);
                        }
                    }
                }
            }
        }
    });

    const rows: readonly {
        readonly title: string;
        readonly request: Partial<RankedRequest>;
        readonly open?: readonly number[];
        readonly unstarted?: readonly number[];
        readonly unranked?: number;
        readonly expected?: readonly number[];
        readonly hasRoom: boolean;
    }[] = [
        { title: "prompts of less urgent ranks are not ahead", request: {}, unstarted: [5, 40], hasRoom: true },
        { title: "prompts of its own rank are", request: {}, unstarted: [6], hasRoom: false },
        { title: "prompts of more urgent ranks are", request: { rank: 1 }, unstarted: [4, 2], hasRoom: false },
        { title: "prompts without a reported rank are", request: {}, unstarted: [1, 40], unranked: 5, hasRoom: false },
        {
            title: "places that are not expected to be needed",
            request: { memoryRank: 1 },
            open: [9, 9],
            expected: [10],
            hasRoom: true,
        },
        {
            title: "places that a more urgent rank is expected to need",
            request: { memoryRank: 1 },
            open: [5, 9],
            expected: [11],
            hasRoom: false,
        },
        { title: "which it may take itself", request: {}, open: [5, 9], expected: [11], hasRoom: true },
        {
            title: "a quarter of all places is never kept",
            request: { memoryRank: 1 },
            open: [0, 4],
            expected: [900],
            hasRoom: true,
        },
        { title: "but not more than that", request: { memoryRank: 1 }, open: [0, 5], expected: [900], hasRoom: false },
        {
            title: "a part of a rank with too few open",
            request: { rank: 1, memoryRank: 1, draw: 0.8 },
            open: [15, 1],
            expected: [40, 8],
            hasRoom: true,
        },
        {
            title: "not the rest of it",
            request: { rank: 1, memoryRank: 1, draw: 0.7 },
            open: [15, 1],
            expected: [40, 8],
            hasRoom: false,
        },
        {
            title: "not with enough open",
            request: { rank: 1, memoryRank: 1, draw: 0.8 },
            open: [15, 2],
            expected: [40, 8],
            hasRoom: false,
        },
        {
            title: "not for what an organisation asks for in excess",
            request: { rank: 1, memoryRank: 2, draw: 0.8 },
            open: [15, 1],
            expected: [40, 8],
            hasRoom: false,
        },
        {
            title: "a large request needs two places",
            request: { size: { promptTokens: 80, answerTokens: 10 } },
            open: [19],
            hasRoom: false,
        },
        {
            title: "and no more than two",
            request: { size: { promptTokens: 80, answerTokens: 10 } },
            open: [18],
            hasRoom: true,
        },
        {
            title: "a small one needs one",
            request: { size: { promptTokens: 1, answerTokens: 1 } },
            open: [20],
            hasRoom: false,
        },
    ];
    for (const { title, request, open = [], unstarted = [], unranked = 0, expected = [], hasRoom } of rows) {
        it(title, () => {
            const sum = (counts: readonly number[]): number => counts.reduce((all, one) => all + one, 0);
            const load = {
                open: sum(open),
                unstarted: sum(unstarted) + unranked,
                open_by_rank: open,
                unstarted_by_rank: unstarted,
            };
            const room = computeClassRoom(chain, load, engine, { ...usual, ...request }, expected, 0);
            expect(hasClassRoom(room)).to.equal(hasRoom);
        });
    }

    it("invalid values neither close a path nor open it wide", () => {
        const values = [Number.NaN, -5, Number.POSITIVE_INFINITY, 1e15];
        const maxOpen = computeMaxOpen(chain, engine);
        for (const value of values) {
            const list = [value, value];
            const load = { open: 10, unstarted: 3, open_by_rank: list, unstarted_by_rank: list };
            const demand = new Map([[0, { ...shortDemand, prompt_tokens_per_s: value, answer_tokens_per_s: value }]]);
            const expected = computeExpectedOpen(chain, load, engine, demand, 1);
            const room = computeClassRoom(chain, load, engine, { ...usual, memoryRank: 1 }, expected, 0);
            expect(room.places, String(value)).to.be.within(maxOpen / 4, maxOpen);
            expect(room.promptsAhead, String(value)).to.be.within(0, 3);
        }
    });
});

const shortDemand: RankDemand = {
    arrivals_per_s: 10,
    refused_per_s: 5,
    prompt_tokens_per_s: 1_000,
    answer_tokens_per_s: 100,
    waiting: 0,
    organisations: { large: 800, small: 100, "": 200 },
};

describe("an organisation exceeds its share only beyond what all others can get", () => {
    const shares: readonly {
        readonly title: string;
        readonly offered: Readonly<Record<string, number>>;
        readonly capacity: number;
        readonly expected: Readonly<Record<string, number>>;
    }[] = [
        { title: "enough for all", offered: { a: 3, b: 1 }, capacity: 9, expected: { a: 3, b: 1 } },
        { title: "the largest is cut", offered: { a: 8, b: 1, c: 2 }, capacity: 6, expected: { a: 3, b: 1, c: 2 } },
        { title: "equal ones get the same", offered: { a: 8, b: 8 }, capacity: 6, expected: { a: 3, b: 3 } },
        {
            title: "the unnamed are several",
            offered: { a: 8, b: 2, "": 4 },
            capacity: 9,
            expected: { a: 3, b: 2, "": 4 },
        },
        // Rates of an entry's own, which it uses without a leader, decay towards 0 and reach it after 745 s.
        ...[1e-20, 5e-324, 0].map((idle) => ({
            title: `the unnamed, beside one that asks for ${String(idle)}`,
            offered: { a: 8, b: 1, idle, "": 2 },
            capacity: 6,
            expected: { a: 3, b: 1, idle, "": 2 },
        })),
        { title: "nothing", offered: { a: 8 }, capacity: 0, expected: { a: 0 } },
        {
            title: "invalid values",
            offered: { a: Number.NaN, b: -1, c: 2 },
            capacity: 9,
            expected: { a: 0, b: 0, c: 2 },
        },
    ];
    for (const { title, offered, capacity, expected } of shares) {
        it(title, () => {
            expect(Object.fromEntries(computeMaxMinShares(offered, capacity))).to.deep.equal(expected);
        });
    }

    const rows = [
        { title: "the large one: 250 of 800", demand: shortDemand, organisation: "large", excess: 0.6875 },
        { title: "not a small one", demand: shortDemand, organisation: "small", excess: 0 },
        { title: "not one that is not named", demand: shortDemand, organisation: "other", excess: 0 },
        {
            title: "none while the rank is not short",
            demand: { ...shortDemand, refused_per_s: 0.3 },
            organisation: "large",
            excess: 0,
        },
        {
            title: "none where nothing is known",
            demand: { ...shortDemand, organisations: undefined },
            organisation: "large",
            excess: 0,
        },
    ];
    for (const { title, demand, organisation, excess } of rows) {
        it(title, () => {
            expect(computeExcessShare(new Map([[0, demand]]), 0, organisation)).to.be.closeTo(excess, 1e-9);
        });
    }
});
