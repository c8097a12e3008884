import { expect } from "chai";
import { chooseReadersToPause } from "../src/index.js";

interface Row {
    readonly title: string;
    readonly unread: Readonly<Record<string, number>>;
    readonly fixed?: readonly string[];
    readonly chosen: readonly string[];
}

// Guards against pausing streams that are read, and against a sum that grows beyond the budget.
describe("above the budget the responses with the most unread bytes pause, until they hold the excess", () => {
    const rows: readonly Row[] = [
        { title: "no responses", unread: {}, chosen: [] },
        { title: "at the budget", unread: { a: 60, b: 40 }, chosen: [] },
        { title: "the largest holds the excess", unread: { b: 40, a: 61 }, chosen: ["a"] },
        { title: "the largest does not hold the excess", unread: { a: 90, b: 60, c: 80, d: 1 }, chosen: ["a", "c"] },
        { title: "the largest is paused already", unread: { a: 90, b: 20, c: 0 }, fixed: ["a"], chosen: ["b"] },
        {
            title: "the excess is in a complete answer",
            unread: { a: 150, b: 1, c: 2 },
            fixed: ["a"],
            chosen: ["c", "b"],
        },
        { title: "nothing can be paused", unread: { a: 150, b: 1 }, fixed: ["a", "b"], chosen: [] },
    ];
    for (const { title, unread, fixed = [], chosen } of rows) {
        it(title, () => {
            const readers = Object.entries(unread).map(([name, unreadBytes]) => (
                { name, unreadBytes, isPausable: !fixed.includes(name) }
            ));
            expect(chooseReadersToPause(readers, 100).map(({ name }) => name)).to.deep.equal(chosen);
        });
    }
});
