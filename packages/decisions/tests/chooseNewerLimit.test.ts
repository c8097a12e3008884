import { expect } from "chai";
import { chooseNewerLimit, type ObservedLimit } from "../src/connection/chooseNewerLimit.js";

const receive = (requestsASecond: number | undefined, askedMs: number, heardMs: number): ObservedLimit => ({
    requestsASecond,
    requestSentMs: askedMs,
    responseReceivedMs: heardMs,
});

describe("an answer to a request that was sent after a notice takes its place, and of two without an order the lower holds", () => {
    const rows: readonly {
        readonly title: string;
        readonly known: ObservedLimit | undefined;
        readonly heard: ObservedLimit;
        readonly expected: number | undefined;
    }[] = [
        { title: "the first notice", known: undefined, heard: receive(2, 0, 10), expected: 2 },
        { title: "a later one that is higher", known: receive(2, 0, 10), heard: receive(40, 10, 12), expected: 40 },
        {
            title: "a later one that names none",
            known: receive(2, 0, 10),
            heard: receive(undefined, 10, 12),
            expected: undefined,
        },
        {
            title: "a stream's head that names none, asked before",
            known: receive(2, 5, 10),
            heard: receive(undefined, 4, 90),
            expected: 2,
        },
        { title: "one that is higher, asked before", known: receive(2, 5, 10), heard: receive(40, 9, 12), expected: 2 },
        { title: "one that is lower, asked before", known: receive(40, 5, 10), heard: receive(2, 9, 12), expected: 2 },
        {
            title: "a limit that overlaps with its end",
            known: receive(undefined, 5, 10),
            heard: receive(2, 6, 12),
            expected: 2,
        },
        {
            title: "one that was over before the other was asked",
            known: receive(40, 20, 30),
            heard: receive(2, 5, 10),
            expected: 40,
        },
    ];
    for (const { title, known, heard, expected } of rows) {
        it(title, () => {
            expect(chooseNewerLimit(known, heard).requestsASecond).to.equal(expected);
        });
    }

    it("ends with the first answer to what was sent after the last notice, however often the notice was repeated", () => {
        const repeated = [receive(2, 0, 10), receive(2, 5, 15), receive(2, 12, 20)].reduce(chooseNewerLimit);
        expect(chooseNewerLimit(repeated, receive(undefined, 18, 25)).requestsASecond).to.equal(2);
        expect(chooseNewerLimit(repeated, receive(undefined, 20, 25)).requestsASecond).to.equal(undefined);
    });
});
