import { expect } from "chai";
import { FleetView } from "../src/version/fleetView.js";
import { createFullState } from "./fullState.js";

describe("an upstream counts as ended only where the voters say so", () => {
    const rows = [
        { title: "ready", status: "ready", hasEnded: false },
        { title: "leaving, still at work", status: "leaving", hasEnded: false },
        { title: "lost", status: "lost", hasEnded: true },
        { title: "not known any more", status: undefined, hasEnded: true },
    ] as const;
    for (const { title, status, hasEnded } of rows) {
        it(title, () => {
            const view = new FleetView();
            const facts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1 };
            view.applyUpstreams(createFullState(1, status === undefined ? [] : [{ ...facts, status }]));
            expect(view.hasEnded("u")).to.equal(hasEnded);
        });
    }
});
