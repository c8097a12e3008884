import { expect } from "chai";
import fc from "fast-check";
import { chooseRoute, createHolderIndex, type Holder, isExactTiling } from "../src/index.js";

const LAYERS = 6;
const hold = (upstream: string, firstLayer: number, endLayer: number): Holder => ({ upstream, firstLayer, endLayer });

const rows: readonly {
    readonly title: string;
    readonly holders: readonly Holder[];
    readonly route: string | undefined;
}[] = [
    { title: "one upstream that holds all", holders: [hold("a", 0, 6)], route: "a" },
    { title: "ranges that join", holders: [hold("b", 3, 6), hold("a", 0, 3)], route: "a b" },
    { title: "a gap", holders: [hold("a", 0, 2), hold("b", 3, 6)], route: undefined },
    { title: "an overlap that does not join", holders: [hold("a", 0, 4), hold("b", 3, 6)], route: undefined },
    {
        title: "a range without a continuation is skipped",
        holders: [hold("a", 0, 4), hold("b", 0, 3), hold("c", 3, 6)],
        route: "b c",
    },
    { title: "a range past the end", holders: [hold("a", 0, 3), hold("b", 3, 7)], route: undefined },
    { title: "an empty range", holders: [hold("a", 0, 0), hold("b", 0, 6)], route: "b" },
    { title: "nothing", holders: [], route: undefined },
];

describe("a route covers the layers exactly, or there is none", () => {
    for (const { title, holders, route } of rows) {
        it(title, () => {
            const index = createHolderIndex(holders, LAYERS);
            const stages = chooseRoute(index, () => 0, () => true, () => 0);
            expect(stages?.map((stage) => stage.upstream).join(" ")).to.equal(route);
        });
    }

    it("avoids a holder that can't be used", () => {
        const index = createHolderIndex([hold("a", 0, 3), hold("b", 0, 3), hold("c", 3, 6)], LAYERS);
        const stages = chooseRoute(index, () => 0, (holder) => holder.upstream !== "a", () => 0.9);
        expect(stages?.map((stage) => stage.upstream)).to.deep.equal(["b", "c"]);
    });

    it("avoids a holder whose only continuation can't be used", () => {
        const holders = [hold("a", 0, 2), hold("b", 2, 6), hold("c", 0, 3), hold("d", 3, 6)];
        const isUsable = (holder: Holder): boolean => holder.upstream !== "b";
        const stages = chooseRoute(createHolderIndex(holders, LAYERS), () => 0, isUsable, () => 0);
        expect(stages?.map((stage) => stage.upstream)).to.deep.equal(["c", "d"]);
    });

    it("takes the less loaded of two holders", () => {
        const index = createHolderIndex([hold("a", 0, 6), hold("b", 0, 6)], LAYERS);
        const score = (holder: Holder): number => holder.upstream === "a" ? 2 : 1;
        for (const drawn of [0, 0.5, 0.99]) {
            expect(chooseRoute(index, score, () => true, () => drawn)?.[0]?.upstream).to.equal("b");
        }
    });

    it("finds a route exactly where one exists, and it tiles", () => {
        const holder = fc.tuple(fc.integer({ min: 0, max: 5 }), fc.integer({ min: 1, max: 6 }), fc.boolean());
        fc.assert(
            fc.property(
                fc.array(holder, { maxLength: 8 }),
                fc.float({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
                (list, drawn) => {
                    const holders = list.map(([first, end], number) => hold(String(number), first, end));
                    const isUsable = (one: Holder): boolean => list[Number(one.upstream)]?.[2] === true;
                    const stages = chooseRoute(createHolderIndex(holders, LAYERS), () => 0, isUsable, () => drawn);
                    const usable = holders.filter((one) => isUsable(one) && one.firstLayer < one.endLayer);
                    expect(stages !== undefined).to.equal(hasPath(usable, 0));
                    expect(stages === undefined || isExactTiling(stages, LAYERS)).to.equal(true);
                },
            ),
            { seed: 4_711, numRuns: 500 },
        );
    });
});

function hasPath(holders: readonly Holder[], layer: number): boolean {
    return layer === LAYERS || holders.some((one) => one.firstLayer === layer && hasPath(holders, one.endLayer));
}
