import { expect } from "chai";
import { type Chain, listCandidateChains } from "../src/index.js";

const createChain = (id: string): Chain => ({ id }) as unknown as Chain;
const [a, b, c] = [createChain("a"), createChain("b"), createChain("c")];

const rows: readonly {
    readonly title: string;
    readonly usable: readonly Chain[];
    readonly present: readonly Chain[];
    readonly tried: readonly Chain[];
    readonly still: readonly Chain[];
    readonly open: readonly Chain[];
}[] = [
    {
        title: "those that nothing speaks against",
        usable: [a, b],
        present: [a, b, c],
        tried: [],
        still: [],
        open: [a, b],
    },
    { title: "without those that it has been on", usable: [a, b], present: [a, b], tried: [a], still: [], open: [b] },
    { title: "without those that stood still", usable: [a, b], present: [a, b], tried: [], still: [a], open: [b] },
    {
        title: "one that stood still before one that it has been on",
        usable: [a, b],
        present: [],
        tried: [a],
        still: [b],
        open: [b],
    },
    {
        title: "one that it has been on where there is no other",
        usable: [a],
        present: [a],
        tried: [a],
        still: [],
        open: [a],
    },
    {
        title: "one without room a moment ago where there is no other",
        usable: [],
        present: [c],
        tried: [],
        still: [],
        open: [c],
    },
    { title: "none through an engine that is not there", usable: [], present: [], tried: [], still: [], open: [] },
];

describe("a request goes to a path that it has not been on, that moves, and whose engines are there", () => {
    for (const { title, usable, present, tried, still, open } of rows) {
        it(title, () => {
            const found = listCandidateChains({
                usable,
                listReachable: () => present,
                isTried: (chain) => tried.includes(chain),
                isStalled: (chain) => still.includes(chain),
            });
            expect(found).to.deep.equal(open);
        });
    }
});
