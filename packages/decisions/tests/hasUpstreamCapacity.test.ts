import { expect } from "chai";
import { hasUpstreamCapacity } from "../src/request/hasUpstreamCapacity.js";

describe("slots of upstreams that asked for backoff are divided among entries", () => {
    const rows = [
        { title: "an idle one", slots: 6, openHere: 0, openElsewhere: 0, entries: 9, hasCapacity: true },
        {
            title: "one at a time where entries outnumber slots",
            slots: 6,
            openHere: 1,
            openElsewhere: 3,
            entries: 9,
            hasCapacity: false,
        },
        {
            title: "its share and a share of the spare slots",
            slots: 8,
            openHere: 3,
            openElsewhere: 1,
            entries: 3,
            hasCapacity: true,
        },
        { title: "not more", slots: 8, openHere: 4, openElsewhere: 1, entries: 3, hasCapacity: false },
        {
            title: "its share where nothing is spare",
            slots: 8,
            openHere: 2,
            openElsewhere: 8,
            entries: 3,
            hasCapacity: true,
        },
        {
            title: "not more than its share there",
            slots: 8,
            openHere: 3,
            openElsewhere: 8,
            entries: 3,
            hasCapacity: false,
        },
        { title: "one entry alone", slots: 8, openHere: 7, openElsewhere: 0, entries: 1, hasCapacity: true },
        { title: "one entry alone, full", slots: 8, openHere: 8, openElsewhere: 0, entries: 1, hasCapacity: false },
        {
            title: "one that reports no slots",
            slots: 0,
            openHere: 50,
            openElsewhere: 50,
            entries: 3,
            hasCapacity: true,
        },
    ];
    for (const { title, hasCapacity, ...view } of rows) {
        it(`${title}: ${hasCapacity ? "capacity" : "none"}`, () => {
            expect(hasUpstreamCapacity(view)).to.equal(hasCapacity);
        });
    }
});
