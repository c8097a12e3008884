import { expect } from "chai";
import { FleetView } from "../src/version/fleetView.js";
import { createFullState } from "./fullState.js";

describe("an upstream counts as ended only if the voters report it", () => {
    const rows = [
        { title: "ready", status: "ready", hasEnded: false },
        { title: "leaving, still serving", status: "leaving", hasEnded: false },
        { title: "lost", status: "lost", hasEnded: true },
        { title: "no longer registered", status: undefined, hasEnded: true },
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
