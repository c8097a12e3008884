import { expect } from "chai";
import { PlanThrottle } from "../src/process/layers/planThrottle.js";

describe("layers are planned where something changed, and as often as the processor bears", () => {
    const rows = [
        { title: "the first plan", before: undefined, key: "a", engines: 3_000, atMs: 0, isDue: true },
        {
            title: "nothing has changed",
            before: { key: "a", isSettled: true },
            key: "a",
            engines: 40,
            atMs: 10_000,
            isDue: false,
        },
        {
            title: "something has",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 40,
            atMs: 100,
            isDue: true,
        },
        {
            title: "orders were given",
            before: { key: "a", isSettled: false },
            key: "a",
            engines: 40,
            atMs: 100,
            isDue: true,
        },
        {
            title: "a large fleet, too soon",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 2_930,
            atMs: 700,
            isDue: false,
        },
        {
            title: "a large fleet, in time",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 2_930,
            atMs: 733,
            isDue: true,
        },
        {
            title: "four hundred at each tick",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 400,
            atMs: 100,
            isDue: true,
        },
    ];
    for (const { title, before, key, engines, atMs, isDue } of rows) {
        it(`${title}: ${isDue ? "planned" : "not planned"}`, () => {
            const gate = new PlanThrottle();
            if (before !== undefined) {
                gate.recordPlan("s", before.key, before.isSettled, 0);
            }
            expect(gate.isDue("s", key, engines, atMs)).to.equal(isDue);
        });
    }
});
