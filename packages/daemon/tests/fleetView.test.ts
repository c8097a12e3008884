import type { RoutingTable } from "@crankfork/schemas";
import { expect } from "chai";
import { FleetView } from "../src/version/fleetView.js";
import { createFullState } from "./fullState.js";

describe("an upstream counts as ended only if the voters report it", () => {
    const rows = [
        { title: "ready", status: "ready", hasEnded: false },
        { title: "leaving, still serving", status: "leaving", hasEnded: false },
        { title: "lost", status: "lost", hasEnded: true },
        { title: "lost, and gone", status: "lost", loss: "gone", hasEnded: true },
        { title: "lost for its silence", status: "lost", loss: "silent", hasEnded: false },
        { title: "no longer registered", status: undefined, hasEnded: true },
    ] as const;
    for (const { title, status, hasEnded, ...row } of rows) {
        it(title, () => {
            const view = new FleetView();
            const loss = "loss" in row ? { loss: row.loss } : {};
            const facts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1, ...loss };
            view.applyUpstreams(createFullState(1, status === undefined ? [] : [{ ...facts, status }]));
            expect(view.hasEnded("u")).to.equal(hasEnded);
        });
    }
});

/**
 * Plain services have had routes of different priorities before; their requests must be decided as before.
 */
describe("services that run a model are ranked where their routes differ in priority", () => {
    const rows = [
        { title: "routes differ", priorities: [0, 2], isModel: true, isRanked: true },
        { title: "routes are alike", priorities: [2, 2], isModel: true, isRanked: false },
        { title: "a plain service", priorities: [0, 2], isModel: false, isRanked: false },
    ];
    for (const { title, priorities, isModel, isRanked } of rows) {
        it(title, () => {
            const view = new FleetView();
            const services = [{ name: "s", ...(isModel ? { engine: {} } : {}) }, { name: "other" }];
            const routes = [...priorities.map((priority) => ({ priority, service: "s" })), {
                priority: 7,
                service: "other",
            }];
            view.applyTable({
                version: 1,
                services,
                routes: routes.map(({ priority, service }) => ({ priority, targets: [{ service, weight: 1 }] })),
            } as unknown as RoutingTable);
            const ranks = view.routing?.ranks.get("s");
            expect(ranks?.isRanked).to.equal(isRanked);
            expect(ranks?.ranks).to.have.length(new Set(priorities).size);
        });
    }
});
