import { expect } from "chai";
import { chooseNewerLimit, type HeardLimit } from "../src/connection/limitOrder.js";

const hear = (requestsASecond: number | undefined, askedMs: number, heardMs: number): HeardLimit => ({
    requestsASecond,
    askedMs,
    heardMs,
});

describe("an answer to a request that was sent after a word takes its place, and of two without an order the lower holds", () => {
    const rows: readonly {
        readonly title: string;
        readonly known: HeardLimit | undefined;
        readonly heard: HeardLimit;
        readonly expected: number | undefined;
    }[] = [
        { title: "the first word", known: undefined, heard: hear(2, 0, 10), expected: 2 },
        { title: "a later one that is higher", known: hear(2, 0, 10), heard: hear(40, 10, 12), expected: 40 },
        {
            title: "a later one that names none",
            known: hear(2, 0, 10),
            heard: hear(undefined, 10, 12),
            expected: undefined,
        },
        {
            title: "a stream's head that names none, asked before",
            known: hear(2, 5, 10),
            heard: hear(undefined, 4, 90),
            expected: 2,
        },
        { title: "one that is higher, asked before", known: hear(2, 5, 10), heard: hear(40, 9, 12), expected: 2 },
        { title: "one that is lower, asked before", known: hear(40, 5, 10), heard: hear(2, 9, 12), expected: 2 },
        {
            title: "a limit that overlaps with its end",
            known: hear(undefined, 5, 10),
            heard: hear(2, 6, 12),
            expected: 2,
        },
        {
            title: "one that was over before the other was asked",
            known: hear(40, 20, 30),
            heard: hear(2, 5, 10),
            expected: 40,
        },
    ];
    for (const { title, known, heard, expected } of rows) {
        it(title, () => {
            expect(chooseNewerLimit(known, heard).requestsASecond).to.equal(expected);
        });
    }

    it("ends with the first answer to what was sent after the last word, however often the word was repeated", () => {
        const repeated = [hear(2, 0, 10), hear(2, 5, 15), hear(2, 12, 20)].reduce(chooseNewerLimit);
        expect(chooseNewerLimit(repeated, hear(undefined, 18, 25)).requestsASecond).to.equal(2);
        expect(chooseNewerLimit(repeated, hear(undefined, 20, 25)).requestsASecond).to.equal(undefined);
    });
});
