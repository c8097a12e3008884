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
    const rows: readonly {
        readonly title: string;
        readonly record: () => void;
        readonly afterMs: number;
        readonly expected: SentClassDemand | undefined;
    }[] = [
        {
            title: "an arrival",
            record: () => {
                meter.recordArrival(key, size);
            },
            afterMs: 0,
            expected: {
                arrivals_per_s: 1,
                prompt_tokens_per_s: 800,
                answer_tokens_per_s: 200,
                organisations: { a: 1_000 },
            },
        },
        {
            title: "an arrival a second ago, without a size and a key",
            record: () => {
                meter.recordArrival({ ...key, organisation: undefined }, undefined);
            },
            afterMs: 1_000,
            expected: { arrivals_per_s: 0.4 },
        },
        {
            title: "admitted and refused",
            record: () => {
                meter.recordAdmitted(key);
                meter.recordRefused(key);
                meter.recordRefused(key);
            },
            afterMs: 0,
            expected: { admitted_per_s: 1, refused_per_s: 2 },
        },
        {
            title: "waiting",
            record: () => {
                meter.recordWaiting(key, 1);
                meter.recordWaiting(key, 1);
                meter.recordWaiting(key, -1);
            },
            afterMs: 60_000,
            expected: { waiting: 1 },
        },
        {
            title: "no longer waiting, also after one end too many",
            record: () => {
                meter.recordWaiting(key, -1);
                meter.recordWaiting(key, 1);
                meter.recordWaiting(key, -1);
            },
            afterMs: 0,
            expected: undefined,
        },
        {
            title: "callers that are due later",
            record: () => {
                meter.recordReturn(key, 1_000);
                meter.recordReturn(key, 3_000);
            },
            afterMs: 2_000,
            expected: { returns: 1 },
        },
        {
            title: "callers that were due, or with a time that is none",
            record: () => {
                meter.recordReturn(key, 500);
                meter.recordReturn(key, -5);
                meter.recordReturn(key, Number.POSITIVE_INFINITY);
            },
            afterMs: 60_200,
            expected: undefined,
        },
        {
            title: "what is over",
            record: () => {
                meter.recordArrival(key, size);
            },
            afterMs: 12_000,
            expected: undefined,
        },
    ];
    for (const { title, record, afterMs, expected } of rows) {
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
