/** Guards against one faulty or outdated report that changes what all entries see, and against messages between builds. */
import {
    type DemandReport,
    demandReportSchema,
    MAX_DEMAND_CLASSES,
    MAX_DEMAND_NAME_LENGTH,
    synchroniseParametersSchema,
    synchroniseResultSchema,
} from "@crankfork/schemas";
import { expect } from "chai";
import { DemandRegistry } from "../src/process/voter/demandRegistry.js";
import { TestLeader } from "./demandFleet.js";
import { createFullState } from "./fullState.js";

const report: DemandReport = { services: { s: { classes: { 2: { arrivals_per_s: 3, organisations: { a: 5 } } } } } };
let nowMs: number;
let registry: DemandRegistry;

beforeEach(() => {
    nowMs = 1_000;
    registry = new DemandRegistry(() => nowMs);
});

describe("the sum contains the newest report of each entry, for 1.5 s", () => {
    const rows = [
        { title: "two entries", reports: [["a", 0], ["b", 0]], expected: { arrivals: 6, reporters: 2 } },
        { title: "one entry, repeated", reports: [["a", 0], ["a", 300]], expected: { arrivals: 3, reporters: 1 } },
        { title: "a report of 1.5 s", reports: [["a", 0], ["b", 1_500]], expected: { arrivals: 6, reporters: 2 } },
        { title: "an older one", reports: [["a", 0], ["b", 1_501]], expected: { arrivals: 3, reporters: 1 } },
        { title: "one of 3 s", reports: [["a", 0], ["b", 3_000]], expected: { arrivals: 3, reporters: 1 } },
    ] as const;
    for (const { title, reports, expected } of rows) {
        it(title, () => {
            reports.forEach(([instance, atMs]) => {
                nowMs = 1_000 + atMs;
                registry.record(instance, report);
            });
            const { services, reporters } = registry.summarise();
            expect({ arrivals: services.s?.classes[2]?.arrivals_per_s, reporters }).to.deep.equal(expected);
        });
    }

    it("and is computed once in 100 ms", () => {
        registry.record("a", report);
        const first = registry.summarise();
        registry.record("b", report);
        nowMs += 99;
        expect(registry.summarise()).to.equal(first);
        nowMs += 1;
        expect(registry.summarise().reporters).to.equal(2);
    });
});

describe("nonsense from one entry is bounded", () => {
    const most = { arrivals_per_s: 10_000, waiting: 10_000, prompt_tokens_per_s: 1_000_000 };
    const rows = [
        { title: "huge", value: 1e300, expected: most },
        { title: "infinite", value: Infinity, expected: most },
        { title: "negative", value: -5, expected: undefined },
        { title: "minus infinity", value: -Infinity, expected: undefined },
        { title: "no number", value: NaN, expected: undefined },
    ];
    for (const { title, value, expected } of rows) {
        it(title, () => {
            const demand = { arrivals_per_s: value, waiting: value, prompt_tokens_per_s: value };
            registry.record("e", { services: { s: { classes: { 0: demand } } } });
            expect(registry.summarise().services.s?.classes[0]).to.deep.equal(expected);
        });
    }

    // Names are read from JSON; an object as a dictionary finds members of its prototype under some of them.
    for (const name of ["constructor", "toString", "hasOwnProperty"]) {
        it(`a service, or an organisation, that is called ${name}`, () => {
            registry.record("faulty", { services: { [name]: { classes: { 0: { arrivals_per_s: 1 } } } } });
            const organisations = { [name]: 5, other: 2 };
            registry.record("a", { services: { s: { classes: { 2: { arrivals_per_s: 3, organisations } } } } });
            const { services } = registry.summarise();
            expect(services.s?.classes[2]).to.deep.equal({ arrivals_per_s: 3, organisations });
            expect(Object.keys(services)).to.have.members(["s", name]);
        });
    }

    // 740 answers a second of 300 entries then take 95 of the 170 Mbit/s of a leader. Before the bound, one entry made each
    // answer 198 KB long.
    const longest = "\u0001".repeat(MAX_DEMAND_NAME_LENGTH - 2);
    const titles = ["services", "organisations"] as const;
    for (const title of titles) {
        it(`the longest names of ${title} leave an answer below 16 KB, and other classes in it`, () => {
            const names = Array.from({ length: MAX_DEMAND_CLASSES }, (_, index) => `${longest}${String(index)}`);
            const organisations = Object.fromEntries(names.slice(0, 9).map((name) => [name, 1_000]));
            const classes = Object.fromEntries(names.map((_, rank) => [rank, { arrivals_per_s: 1, organisations }]));
            const services = title === "organisations"
                ? { s: { classes } }
                : Object.fromEntries(names.map((name) => [name, { classes: { 0: { arrivals_per_s: 1 } } }]));
            registry.record("faulty", demandReportSchema.parse({ services }));
            registry.record("a", report);
            registry.record("b", report);
            const summary = registry.summarise();
            expect(Buffer.byteLength(JSON.stringify(summary))).to.be.below(16_000);
            expect(summary.services.s?.classes[2]?.arrivals_per_s).to.be.at.least(6);
            const unnamed = Object.values(summary.services.s?.classes ?? {}).map((one) => one.organisations?.[""]);
            if (title === "organisations") {
                expect(unnamed, "tokens of names that don't fit").to.include(9_000).and.have.length(MAX_DEMAND_CLASSES);
            }
        });
    }

    it("services that few entries name give way where there are too many", () => {
        const names = Array.from({ length: MAX_DEMAND_CLASSES }, (_unused, index) => `nonsense-${String(index)}`);
        registry.record("faulty", {
            services: Object.fromEntries(names.map((name) => [name, { classes: { 0: { arrivals_per_s: 10_000 } } }])),
        });
        registry.record("a", report);
        registry.record("b", report);
        const { services } = registry.summarise();
        expect(services.s?.classes[2]?.arrivals_per_s).to.equal(6);
        expect(Object.keys(services)).to.have.length(MAX_DEMAND_CLASSES);
    });
});

describe("a demand that does not parse is dropped, and the rest of the message counts", () => {
    const create = (classes: object): object => ({ services: { s: { classes } } });
    const many = (count: number, value: unknown): object => Object.fromEntries(Array(count).fill(value).entries());
    type Row = readonly [title: string, demand: unknown, isKept: boolean];
    const rows: readonly Row[] = [
        ["no services", { services: {} }, true],
        ["members that this build does not know", { ...report, later: 1 }, true],
        ["of another type", 7, false],
        ["null", null, false],
        ["a rate that is a text", create({ 0: { waiting: "9" } }), false],
        ["an infinite number, as JSON may contain", create({ 0: { waiting: JSON.parse("1e999") as number } }), false],
        ["a rank that is no index", create({ "-1": {} }), false],
        ["too many classes", create(many(33, {})), false],
        ["too many organisations", create({ 0: { organisations: many(10, 1) } }), false],
    ];
    for (const [title, demand, isKept] of rows) {
        it(title, () => {
            const parsed = synchroniseParametersSchema.parse({ instance: "e", known_index: 4, loads: {}, demand });
            expect(parsed).to.deep.include({ instance: "e", known_index: 4 });
            expect(parsed.demand !== undefined).to.equal(isKept);
            expect(synchroniseResultSchema.parse({ ...createFullState(3, []), demand })).to.deep.include({ index: 3 });
        });
    }
});

describe("messages of the previous build stay valid", () => {
    const rows = [
        { title: "an entry without demand gets no sum", demand: undefined, expected: undefined },
        {
            title: "an entry with nothing to report gets the sum",
            demand: { services: {} },
            expected: {
                services: { s: { classes: { 2: { arrivals_per_s: 3, organisations: { a: 5 } } } } },
                reporters: 2,
            },
        },
    ];
    for (const { title, demand, expected } of rows) {
        it(title, async () => {
            const leader = new TestLeader(1);
            leader.registry.demand.record("other", report);
            const result = await leader.registry.synchronise(
                synchroniseParametersSchema.parse({
                    instance: "e",
                    known_index: 0,
                    loads: {},
                    may_wait: false,
                    demand,
                }),
            );
            expect("demand" in result ? result.demand : undefined).to.deep.equal(expected);
        });
    }

    it("an answer without a sum", () => {
        expect(synchroniseResultSchema.parse(createFullState(3, []))).not.to.have.property("demand");
    });
});
