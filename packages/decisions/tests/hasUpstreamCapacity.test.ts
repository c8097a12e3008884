import { expect } from "chai";
import { hasUpstreamCapacity } from "../src/request/hasUpstreamCapacity.js";

describe("slots of upstreams that asked for rest are shared out among entries", () => {
    const rows = [
        { title: "an idle one", slots: 6, openHere: 0, openElsewhere: 0, entries: 9, hasRoom: true },
        {
            title: "one at a time where entries outnumber slots",
            slots: 6,
            openHere: 1,
            openElsewhere: 3,
            entries: 9,
            hasRoom: false,
        },
        { title: "its share and of what is spare", slots: 8, openHere: 3, openElsewhere: 1, entries: 3, hasRoom: true },
        { title: "not more", slots: 8, openHere: 4, openElsewhere: 1, entries: 3, hasRoom: false },
        {
            title: "its share where nothing is spare",
            slots: 8,
            openHere: 2,
            openElsewhere: 8,
            entries: 3,
            hasRoom: true,
        },
        { title: "not more than its share there", slots: 8, openHere: 3, openElsewhere: 8, entries: 3, hasRoom: false },
        { title: "one entry alone", slots: 8, openHere: 7, openElsewhere: 0, entries: 1, hasRoom: true },
        { title: "one entry alone, full", slots: 8, openHere: 8, openElsewhere: 0, entries: 1, hasRoom: false },
        { title: "one that tells no slots", slots: 0, openHere: 50, openElsewhere: 50, entries: 3, hasRoom: true },
    ];
    for (const { title, hasRoom, ...view } of rows) {
        it(`${title}: ${hasRoom ? "room" : "none"}`, () => {
            expect(hasUpstreamCapacity(view)).to.equal(hasRoom);
        });
    }
});
