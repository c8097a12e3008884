/** Guards against operators who see figures of another age, class or time than those that decisions were made with. */
import { fleetStatusSchema, type RoutingTable } from "@crankfork/schemas";
import { expect } from "chai";
import { AdmissionLevels } from "../src/process/entry/admissionLevels.js";
import { createEntryStatus } from "../src/process/entry/createEntryStatus.js";
import { EntryDemand } from "../src/process/entry/entryDemand.js";
import { RefusalWindow } from "../src/process/entry/refusalWindow.js";
import type { EventFields } from "../src/process/eventLog.js";
import { createVoterStatus } from "../src/process/voter/createVoterStatus.js";
import { rankServices, type RoutingView } from "../src/version/fleetView.js";
import { TestLeader } from "./demandFleet.js";

let nowMs = 10_000;
const getNowMs = (): number => nowMs;
const lines: EventFields[] = [];
const removedGauges: unknown[] = [];
const options = {
    getNowMs,
    log: { record: (_level: unknown, event: string, fields: EventFields = {}) => lines.push({ event, ...fields }) },
    metrics: {
        recordClassRoom: () => undefined,
        removeClassRoom: (...labels: readonly unknown[]) => removedGauges.push(labels),
    },
};

describe("the refusals of the last 10 s are counted by service, rank and reason", () => {
    const rows = [
        { title: "at once", afterMs: 0, expected: [2, 1] },
        { title: "up to 9 s later", afterMs: 9_000, expected: [2, 1] },
        { title: "not 11 s later", afterMs: 11_000, expected: [] },
    ];
    for (const { title, afterMs, expected } of rows) {
        it(title, () => {
            const window = new RefusalWindow(getNowMs);
            window.record({ service: "s", rank: 1, reason: "full" });
            window.record({ service: "s", rank: 1, reason: "full" });
            window.record({ service: "s", rank: 1, reason: "declined" });
            nowMs += afterMs;
            expect(window.list().map(({ count }) => count)).to.deep.equal(expected);
        });
    }
});

describe("a change of a class's level is logged, at most once a second", () => {
    it("with its inputs, and the last change of a second in the next one", () => {
        lines.length = 0;
        const levels = new AdmissionLevels(options);
        [[1, 0], [0.5, 0], [0.2, 300], [0.21, 1_000], [0.21, 1_000], [0.21, 1_000]].forEach(
            ([share = 0, afterMs = 0]) => {
                nowMs += afterMs;
                levels.record("s", 2, share, { waiting: 7 });
            },
        );
        expect(lines).to.deep.equal([
            { event: "admission-level", service: "s", rank: 2, level: 0.5, previous: 1, waiting: 7 },
            { event: "admission-level", service: "s", rank: 2, level: 0.2, previous: 0.5, waiting: 7 },
        ]);
        nowMs += 40;
        expect(levels.get("s", 2)).to.deep.equal({ share: 0.21, ageMs: 40 });
        expect(levels.get("s", 1)).to.equal(undefined);
        // Levels and gauges of services that operators have removed would stay for good.
        levels.prune((service) => service !== "s");
        expect(levels.get("s", 2)).to.equal(undefined);
        expect(removedGauges).to.deep.equal([["s", 2]]);
    });
});

describe("the status is valid and states the age of its figures", () => {
    const table = {
        services: [{ name: "s", engine: {} }],
        routes: [0, 1].map((priority) => ({ priority, targets: [{ service: "s", weight: 1 }] })),
    } as unknown as RoutingTable;

    it("of an entry", () => {
        const demand = new EntryDemand({
            settings: { admission: { report_demand: false } },
            getNowMs,
            countEntries: () => 3,
            getRouting: () => ({ table, ranks: rankServices(table) }) as unknown as RoutingView,
        });
        const refusals = new RefusalWindow(getNowMs);
        refusals.record({ service: "s", rank: 1, reason: "full" });
        const create = (): unknown =>
            JSON.parse(JSON.stringify(fleetStatusSchema.parse(createEntryStatus({
                instance: "e",
                countEntries: () => 3,
                demand,
                refusals,
                getClassRoom: (_service, rank) => rank === 1 ? { share: 0.4, ageMs: 12 } : undefined,
            }))));
        expect(create()).to.deep.nested.include({ "role": "entry", "services[0].is_estimated": true })
            .and.not.have.nested.property("services[0].demand_age_ms");
        demand.recordSummary({ services: { s: { classes: { 0: { arrivals_per_s: 5 } } } }, reporters: 2 }, 9_000);
        nowMs += 700;
        expect(create()).to.deep.nested.include({
            "reporters": 2,
            "services[0].is_estimated": false,
            "services[0].demand_age_ms": 700,
            "services[0].classes[0].arrivals_per_s": 5,
            "services[0].classes[1].room": 0.4,
            "services[0].classes[1].room_age_ms": 12,
            "services[0].classes[1].refusals": { full: 1 },
        });
    });

    it("of a leader, and of a voter that does not lead", async () => {
        const { registry, host } = new TestLeader(1);
        const demand = { services: { s: { classes: { 1: { waiting: 4 } } } } };
        await registry.synchronise({ instance: "e", known_index: 0, loads: {}, may_wait: false, demand });
        expect(fleetStatusSchema.parse(createVoterStatus("v", host, registry))).to.deep.nested.include({
            "role": "leader",
            "entries": 1,
            "reporters": 1,
            "services[0].classes[0].rank": 1,
            "services[0].classes[0].waiting": 4,
        });
        const follower = { replica: { hasLeaderLease: () => false } } as unknown as typeof host;
        expect(fleetStatusSchema.parse(createVoterStatus("v", follower, registry))).to.deep.include({
            role: "voter",
            services: [],
        });
    });
});
