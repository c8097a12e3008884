import { type Chain, computeCurrentLoad, hasChainCapacity, rankClasses } from "@crankfork/decisions";
import { upstreamLoadsSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { PathRoom } from "../src/process/entry/pathRoom.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { multiplyLoad, sumLoads } from "../src/process/sumLoads.js";
import type { RequestContext } from "../src/request/requestContext.js";

describe("loads are reported by rank for ranked services only", () => {
    it("counts of an entry follow its requests; ranks beyond the last that is reported count as that one", () => {
        const health = new UpstreamHealth(() => 0);
        health.recordRequestStart("plain");
        [0, 2, 2, 99].forEach((rank) => {
            health.recordRequestStart("ranked", rank);
        });
        health.recordFirstToken("ranked", 2);
        health.recordEnd("ranked", 2);
        const { plain, ranked } = health.listLoads();
        expect(plain).to.deep.equal({ open: 1, unstarted: 1 });
        expect(ranked).to.include({ open: 3, unstarted: 3 });
        expect(ranked?.open_by_rank).to.have.length(64).and.include.members([1, 0]);
        expect(ranked?.unstarted_by_rank?.slice(0, 3)).to.deep.equal([1, 0, 1]);
        expect(ranked?.unstarted_by_rank?.[63]).to.equal(1);
    });

    it("ranks without requests at the end are left out", () => {
        const health = new UpstreamHealth(() => 0);
        [0, 3].forEach((rank) => {
            health.recordRequestStart("u", rank);
            health.recordFirstToken("u", rank);
        });
        health.recordEnd("u", 3);
        expect(health.getLoad("u")).to.deep.equal({ open: 1, unstarted: 0, open_by_rank: [1] });
    });

    const ranked = { open: 5, unstarted: 3, unstarted_by_rank: [1, 2], open_by_rank: [4, 1] };
    const rows = [
        { title: "a build without ranks", one: { open: 2, unstarted: 1 }, sum: { ...ranked, open: 7, unstarted: 4 } },
        {
            title: "more ranks",
            one: { open: 1, unstarted: 1, unstarted_by_rank: [0, 0, 1], open_by_rank: [0, 0, 1] },
            sum: { open: 6, unstarted: 4, unstarted_by_rank: [1, 2, 1], open_by_rank: [4, 1, 1] },
        },
        { title: "none", one: undefined, sum: ranked },
    ];
    for (const { title, one, sum } of rows) {
        it(`a sum with ${title}`, () => {
            expect(sumLoads(one, ranked)).to.deep.equal(sum);
        });
    }

    it("a product keeps the ranks", () => {
        const product = { open: 10, unstarted: 6, unstarted_by_rank: [2, 4], open_by_rank: [8, 2] };
        expect(multiplyLoad(ranked, 2)).to.deep.equal(product);
    });

    for (const invalid of [[-1], [0.5], ["x"], "x", null, Array.from({ length: 65 }, () => 0)]) {
        it(`counts that don't parse are dropped, the rest counts: ${JSON.stringify(invalid).slice(0, 20)}`, () => {
            const { u } = upstreamLoadsSchema.parse({ u: { ...ranked, unstarted_by_rank: invalid } });
            expect(u?.unstarted_by_rank).to.equal(undefined);
            expect(u).to.deep.include({ open: 5, unstarted: 3, open_by_rank: [4, 1] });
        });
    }
});

describe("a service whose routes have one priority is decided as without ranks", () => {
    it("for all combinations of load, objective, size and age", () => {
        const chain: Chain = { id: "c", stages: [], stepMs: 1, prefillMs: 1, contextTokens: 900, isCrossDomain: false };
        const engine = { usual_prompt_tokens: 20, usual_answer_tokens: 20, slots: 25 } as Parameters<
            PathRoom["hasRoom"]
        >[2];
        const organisations = [{ priority: 0 }, { priority: 1 }];
        const ranks = rankClasses([{ priority: 1 }, { priority: 1 }], organisations);
        for (const ageMs of [0, 300]) {
            const room = new PathRoom({
                getLoadAgeMs: () => ageMs,
                getDemand: () => new Map(),
                health: { getLoad: () => ({ open: 0, unstarted: 0 }) },
                countEntries: () => 1,
                random: () => 0,
            });
            for (const objective_ms of [100, 500, 1_000]) {
                for (const promptTokens of [1, 20, 900]) {
                    for (const open of [0, 3, 4, 24, 25, 400]) {
                        for (const unstarted of [0, 3, 4, 15, 16, 30, 31]) {
                            const run = {
                                admitted: {
                                    service: { name: "s" },
                                    route: { objective_ms, priority: 1 },
                                    organisation: organisations[1],
                                    call: { size: { promptTokens, answerTokens: 20 } },
                                },
                            } as unknown as RequestContext;
                            const getClassRoom = room.createClassRoom(run, ranks, [chain], engine);
                            const load = { open, unstarted };
                            const old = hasChainCapacity(
                                chain,
                                computeCurrentLoad(chain, load, engine, ageMs),
                                engine,
                                objective_ms,
                            );
                            const check = { getClassRoom, isMemoryChecked: false };
                            expect(room.hasRoom(run, { chain, ...load }, engine, check)).to.equal(old);
                        }
                    }
                }
            }
        }
    });
});
