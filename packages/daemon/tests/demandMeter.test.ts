/** Guards against reports that grow without bound, keep what is over, or leave out the service that is asked for. */
import { MAX_DEMAND_CLASSES, type SentClassDemand, synchroniseParametersSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { DemandMeter } from "../src/process/entry/demandMeter.js";

const size = { promptTokens: 800, answerTokens: 200 };
const key = { service: "s", rank: 0, organisation: "a" };
let nowMs: number;
let meter: DemandMeter;

beforeEach(() => {
    nowMs = 5_000;
    meter = new DemandMeter({ getNowMs: () => nowMs, getReportedServices: () => new Set(["s"]) });
});

function getClass(rank = 0): SentClassDemand | undefined {
    return meter.createReport()?.services.s?.classes[rank];
}

describe("a report contains rates, and the counts of the moment", () => {
    const arrive = (change: object = {}, of: typeof size | undefined = size) => (): void => {
        meter.recordArrival({ ...key, ...change }, of);
    };
    const wait = (...changes: readonly (1 | -1)[]) => (): void => {
        changes.forEach((change) => {
            meter.recordWaiting(key, change);
        });
    };
    const comeBack = (...dueMs: readonly number[]) => (): void => {
        dueMs.forEach((due) => {
            meter.recordReturn(key, due);
        });
    };
    const tokens = { prompt_tokens_per_s: 800, answer_tokens_per_s: 200, organisations: { a: 1_000 } };
    const nonsense = { promptTokens: NaN, answerTokens: Infinity };
    const bounded = { answer_tokens_per_s: 100_000, organisations: { a: 100_000 } };
    type Row = readonly [title: string, record: () => void, afterMs: number, expected: SentClassDemand | undefined];
    const rows: readonly Row[] = [
        ["an arrival", arrive(), 0, { arrivals_per_s: 1, ...tokens }],
        [
            "one of a second ago, without size and key",
            arrive({ organisation: undefined }, { promptTokens: 0, answerTokens: 0 }),
            1_000,
            { arrivals_per_s: 0.4 },
        ],
        ["one that states a size that is none", arrive({}, nonsense), 0, { arrivals_per_s: 1, ...bounded }],
        ["what is over", arrive(), 12_000, undefined],
        [
            "an admission",
            () => {
                meter.recordAdmitted(key);
            },
            0,
            { admitted_per_s: 1 },
        ],
        [
            "a refusal",
            () => {
                meter.recordRefused(key);
            },
            0,
            { refused_per_s: 1 },
        ],
        ["waiting", wait(1, 1, -1), 60_000, { waiting: 1 }],
        ["no longer waiting, also after one end too many", wait(-1, 1, -1), 0, undefined],
        ["callers that are due later", comeBack(1_000, 3_000), 2_000, { returns: 1 }],
        ["callers that were due, or with a time that is none", comeBack(500, -5, NaN, Infinity), 60_200, undefined],
    ];
    for (const [title, record, afterMs, expected] of rows) {
        it(title, () => {
            record();
            nowMs += afterMs;
            expect(getClass()).to.deep.equal(expected);
        });
    }

    it("of steady requests within a twentieth", () => {
        for (let index = 0; index < 100; index += 1) {
            meter.recordArrival(key, size);
            nowMs += 50;
        }
        expect(getClass()?.arrivals_per_s).to.be.within(19, 21);
    });
});

describe("a report and the state behind it are bounded", () => {
    it("8 of 200 organisations are named, none is lost from the sum", () => {
        for (let index = 0; index < 200; index += 1) {
            const organisation = `o${String(index)}`;
            meter.recordArrival({ ...key, organisation }, { promptTokens: 100 + index, answerTokens: 0 });
        }
        meter.recordArrival({ ...key, organisation: "x".repeat(1_000) }, { promptTokens: 10_000, answerTokens: 0 });
        const organisations = getClass()?.organisations ?? {};
        expect(Object.keys(organisations)).to.have.members(
            ["", ...[192, 193, 194, 195, 196, 197, 198, 199].map((index) => `o${String(index)}`)],
        );
        const sum = Object.values(organisations).reduce((total, one) => total + one, 0);
        expect(sum).to.be.closeTo(getClass()?.prompt_tokens_per_s ?? 0, 1);
        expect(Object.keys(meter.measure("s").get(0)?.organisations ?? {})).to.have.length(65);
    });

    it("a report with more classes than a message takes has the most urgent, and is accepted", () => {
        for (let rank = 60; rank >= 0; rank -= 1) {
            meter.recordArrival({ ...key, rank }, size);
        }
        const { demand } = synchroniseParametersSchema.parse({
            instance: "e",
            known_index: 0,
            loads: {},
            demand: meter.createReport(),
        });
        const ranks = Object.keys(demand?.services.s?.classes ?? {}).map(Number);
        expect(ranks).to.deep.equal(Array.from({ length: MAX_DEMAND_CLASSES }, (_unused, rank) => rank));
    });
});

describe("only the services that are asked for are reported", () => {
    const rows = [
        { title: "none", reported: [], expected: undefined },
        { title: "one without demand", reported: ["t"], expected: { services: {} } },
    ];
    for (const { title, reported, expected } of rows) {
        it(title, () => {
            meter = new DemandMeter({ getNowMs: () => nowMs, getReportedServices: () => new Set(reported) });
            meter.recordArrival(key, size);
            expect(meter.createReport()).to.deep.equal(expected);
        });
    }
});
