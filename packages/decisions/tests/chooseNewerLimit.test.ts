import { expect } from "chai";
import { chooseNewerLimit, type ObservedLimit } from "../src/connection/chooseNewerLimit.js";

const receive = (
    requestsPerSecond: number | undefined,
    requestSentMs: number,
    responseReceivedMs: number,
): ObservedLimit => ({
    requestsPerSecond,
    requestSentMs,
    responseReceivedMs,
});

describe("the response to a later request replaces a limit, and of two without an order the lower one wins", () => {
    const rows: readonly {
        readonly title: string;
        readonly known: ObservedLimit | undefined;
        readonly observed: ObservedLimit;
        readonly expected: number | undefined;
    }[] = [
        { title: "the first limit", known: undefined, observed: receive(2, 0, 10), expected: 2 },
        { title: "a later one that is higher", known: receive(2, 0, 10), observed: receive(40, 10, 12), expected: 40 },
        {
            title: "a later response without a limit",
            known: receive(2, 0, 10),
            observed: receive(undefined, 10, 12),
            expected: undefined,
        },
        {
            title: "a stream's head without a limit, requested before",
            known: receive(2, 5, 10),
            observed: receive(undefined, 4, 90),
            expected: 2,
        },
        {
            title: "a higher one, requested before",
            known: receive(2, 5, 10),
            observed: receive(40, 9, 12),
            expected: 2,
        },
        { title: "a lower one, requested before", known: receive(40, 5, 10), observed: receive(2, 9, 12), expected: 2 },
        {
            title: "a limit that overlaps with a response without one",
            known: receive(undefined, 5, 10),
            observed: receive(2, 6, 12),
            expected: 2,
        },
        {
            title: "a response whose head arrived before the other was requested",
            known: receive(40, 20, 30),
            observed: receive(2, 5, 10),
            expected: 40,
        },
    ];
    for (const { title, known, observed, expected } of rows) {
        it(title, () => {
            expect(chooseNewerLimit(known, observed).requestsPerSecond).to.equal(expected);
        });
    }

    it("ends with the first response to a request sent after the last stated limit, however often it was stated", () => {
        const repeated = [receive(2, 0, 10), receive(2, 5, 15), receive(2, 12, 20)].reduce(chooseNewerLimit);
        expect(chooseNewerLimit(repeated, receive(undefined, 18, 25)).requestsPerSecond).to.equal(2);
        expect(chooseNewerLimit(repeated, receive(undefined, 20, 25)).requestsPerSecond).to.equal(undefined);
    });
});
