import { expect } from "chai";
import { chooseAdmission, type QueueView } from "../src/index.js";

const bound = { class: "interactive" as const, first_token_ms: 1_000, between_tokens_ms: 34 };
const idle: QueueView = {
    tokensAhead: 0,
    promptTokens: 10,
    tokensPerSecond: 1_000,
    startMs: 100,
    freeSlots: 1,
    waitingRequests: 0,
    queueLimit: 5,
    deadlineMs: Number.POSITIVE_INFINITY,
};

const rows: readonly { readonly title: string; readonly view: Partial<QueueView>; readonly kind: string; }[] = [
    { title: "a free slot runs it", view: {}, kind: "run" },
    { title: "a free slot behind waiting work does not", view: { tokensAhead: 200 }, kind: "wait" },
    { title: "it waits where the bound still holds", view: { freeSlots: 0, tokensAhead: 800 }, kind: "wait" },
    {
        title: "it is refused where the bound can't hold",
        view: { freeSlots: 0, tokensAhead: 900 },
        kind: "refuse-late",
    },
    {
        title: "it is refused where the deadline can't hold",
        view: { freeSlots: 0, tokensAhead: 300, deadlineMs: 200 },
        kind: "refuse-late",
    },
    { title: "a full queue refuses it", view: { freeSlots: 0, waitingRequests: 5 }, kind: "refuse-full" },
    {
        title: "a free slot runs it even where starts are slower than the bound, so that the measure can recover",
        view: { startMs: 5_000 },
        kind: "run",
    },
    {
        title: "an unmeasured rate is taken as 200 tokens a second",
        view: { freeSlots: 0, tokensPerSecond: 0, tokensAhead: 300 },
        kind: "refuse-late",
    },
];

describe("admission runs what can start, lets wait what fits the bound, and refuses the rest at once", () => {
    for (const { title, view, kind } of rows) {
        it(title, () => {
            expect(chooseAdmission({ ...idle, ...view }, bound).kind).to.equal(kind);
        });
    }

    it("says when to come back: when the excess will have been served", () => {
        const decision = chooseAdmission({ ...idle, freeSlots: 0, tokensAhead: 1_990 }, bound);
        expect(decision).to.deep.equal({ kind: "refuse-late", expectedMs: 2_100, retryAfterMs: 1_100 });
    });
});
