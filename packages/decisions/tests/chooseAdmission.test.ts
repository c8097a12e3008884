import { expect } from "chai";
import { chooseAdmission, DrainMeter, type QueueView } from "../src/index.js";

const bound = { class: "interactive" as const, first_token_ms: 1_000, between_tokens_ms: 34 };
const idle: QueueView = {
    tokensAhead: 0,
    ownTokens: 10,
    msPerToken: 1,
    startMs: 100,
    freeSlots: 1,
    waitingRequests: 0,
    queueLimit: 5,
    deadlineMs: Number.POSITIVE_INFINITY,
};

const rows: readonly { readonly title: string; readonly view: Partial<QueueView>; readonly kind: string; }[] = [
    { title: "a free slot runs it", view: {}, kind: "run" },
    { title: "a free slot behind waiting work does not", view: { tokensAhead: 200 }, kind: "wait" },
    {
        title: "it waits where the bound can be met, with twice the mean start time reserved",
        view: { freeSlots: 0, tokensAhead: 790 },
        kind: "wait",
    },
    {
        title: "it is refused where the bound can't be met",
        view: { freeSlots: 0, tokensAhead: 791 },
        kind: "refuse-late",
    },
    {
        title: "it is refused where the deadline can't be met",
        view: { freeSlots: 0, tokensAhead: 300, deadlineMs: 450 },
        kind: "refuse-late",
    },
    { title: "a full queue refuses it", view: { freeSlots: 0, waitingRequests: 5 }, kind: "refuse-full" },
    {
        title: "a free slot runs it even where starts are slower than the bound, so that the measurement can recover",
        view: { startMs: 5_000 },
        kind: "run",
    },
    {
        title: "the drain rate before the first measurement is a token a millisecond",
        view: { freeSlots: 0, msPerToken: undefined, tokensAhead: 791 },
        kind: "refuse-late",
    },
];

describe("admission runs what can start, queues what can meet its bound, and refuses the rest at once", () => {
    for (const { title, view, kind } of rows) {
        it(title, () => {
            expect(chooseAdmission({ ...idle, ...view }, bound).kind).to.equal(kind);
        });
    }

    it("the retry delay is the time in which the excess is served", () => {
        const decision = chooseAdmission({ ...idle, freeSlots: 0, tokensAhead: 1_990 }, bound);
        expect(decision).to.deep.equal({ kind: "refuse-late", expectedMs: 2_200, retryAfterMs: 1_200 });
    });

    it("the decision says how long it may wait", () => {
        expect(chooseAdmission({ ...idle, freeSlots: 0 }, bound)).to.deep.equal({ kind: "wait", limitMs: 800 });
    });
});

describe("the drain rate of a queue is measured from its own departures", () => {
    it("is not known before the first", () => {
        expect(new DrainMeter().getMsPerToken(0)).to.equal(undefined);
    });

    it("is the time between departures over their tokens, while requests wait", () => {
        const meter = new DrainMeter();
        meter.recordArrival(0);
        meter.recordDeparture(10, false, 20);
        meter.recordDeparture(10, true, 40);
        expect(meter.getMsPerToken(40)).to.equal(2);
    });

    it("does not count time in which nothing waited", () => {
        const meter = new DrainMeter();
        meter.recordArrival(0);
        meter.recordDeparture(10, true, 20);
        meter.recordArrival(10_000);
        meter.recordDeparture(10, true, 10_020);
        expect(meter.getMsPerToken(20_000)).to.equal(2);
    });

    it("grows while a departure is overdue", () => {
        const meter = new DrainMeter();
        meter.recordArrival(0);
        meter.recordDeparture(10, false, 20);
        expect(meter.getMsPerToken(2_020)).to.be.above(10);
    });
});
