import { expect } from "chai";
import { PlanThrottle } from "../src/process/layers/planThrottle.js";

describe("layers are planned after changes, at a bounded rate", () => {
    const rows = [
        { title: "the first plan", before: undefined, key: "a", engines: 3_000, atMs: 0, isDue: true },
        {
            title: "no change",
            before: { key: "a", isSettled: true },
            key: "a",
            engines: 40,
            atMs: 10_000,
            isDue: false,
        },
        {
            title: "a change",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 40,
            atMs: 100,
            isDue: true,
        },
        {
            title: "after orders",
            before: { key: "a", isSettled: false },
            key: "a",
            engines: 40,
            atMs: 100,
            isDue: true,
        },
        {
            title: "a large fleet, before its interval",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 2_930,
            atMs: 700,
            isDue: false,
        },
        {
            title: "a large fleet, after its interval",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 2_930,
            atMs: 733,
            isDue: true,
        },
        {
            title: "400 engines, after one tick",
            before: { key: "a", isSettled: true },
            key: "b",
            engines: 400,
            atMs: 100,
            isDue: true,
        },
    ];
    for (const { title, before, key, engines, atMs, isDue } of rows) {
        it(`${title}: ${isDue ? "planned" : "not planned"}`, () => {
            const throttle = new PlanThrottle();
            if (before !== undefined) {
                throttle.recordPlan("s", before.key, before.isSettled, 0);
            }
            expect(throttle.isDue("s", key, engines, atMs)).to.equal(isDue);
        });
    }
});
