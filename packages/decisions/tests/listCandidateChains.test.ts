import { expect } from "chai";
import { type Chain, listCandidateChains } from "../src/index.js";

const createChain = (id: string): Chain => ({ id }) as unknown as Chain;
const [a, b, c] = [createChain("a"), createChain("b"), createChain("c")];

const rows: readonly {
    readonly title: string;
    readonly usable: readonly Chain[];
    readonly reachable: readonly Chain[];
    readonly tried: readonly Chain[];
    readonly stalled: readonly Chain[];
    readonly active?: readonly Chain[];
    readonly expected: readonly Chain[];
}[] = [
    {
        title: "the usable ones",
        usable: [a, b],
        reachable: [a, b, c],
        tried: [],
        stalled: [],
        expected: [a, b],
    },
    { title: "without those already tried", usable: [a, b], reachable: [a, b], tried: [a], stalled: [], expected: [b] },
    { title: "without stalled ones", usable: [a, b], reachable: [a, b], tried: [], stalled: [a], expected: [b] },
    {
        title: "a stalled one before one already tried",
        usable: [a, b],
        reachable: [],
        tried: [a],
        stalled: [b],
        expected: [b],
    },
    {
        title: "one already tried where there is no other",
        usable: [a],
        reachable: [a],
        tried: [a],
        stalled: [],
        expected: [a],
    },
    {
        title: "one without capacity a moment ago where there is no other",
        usable: [],
        reachable: [c],
        tried: [],
        stalled: [],
        expected: [c],
    },
    {
        title: "for a backup attempt an active one",
        usable: [a, b, c],
        reachable: [],
        tried: [a],
        stalled: [],
        active: [a, c],
        expected: [c],
    },
    {
        title: "for a backup attempt any, where none is active",
        usable: [a, b, c],
        reachable: [],
        tried: [a],
        stalled: [],
        active: [a],
        expected: [b, c],
    },
    { title: "none through an unreachable engine", usable: [], reachable: [], tried: [], stalled: [], expected: [] },
];

describe("a request takes an untried chain that is not stalled and whose engines are reachable", () => {
    for (const { title, usable, reachable, tried, stalled, active, expected } of rows) {
        it(title, () => {
            const found = listCandidateChains({
                usable,
                listReachable: () => reachable,
                isTried: (chain) => tried.includes(chain),
                isStalled: (chain) => stalled.includes(chain),
                isActive: active === undefined ? undefined : (chain) => active.includes(chain),
            });
            expect(found).to.deep.equal(expected);
        });
    }
});
