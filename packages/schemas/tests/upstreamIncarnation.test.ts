import { expect } from "chai";
import {
    formatIncarnationId,
    getIncarnation,
    isEarlierIncarnation,
    matchesStart,
    upstreamFactsSchema,
    type UpstreamIncarnation,
} from "../src/index.js";

const untold: UpstreamIncarnation = { name: "u" };
const first: UpstreamIncarnation = { name: "u", started_at_ms: 10 };
const second: UpstreamIncarnation = { name: "u", started_at_ms: 20 };

describe("a life is a name with the time of its start", () => {
    const rows: readonly { readonly title: string; readonly life: UpstreamIncarnation; readonly id: string; }[] = [
        { title: "a start that is told", life: first, id: "u@10" },
        { title: "the first millisecond", life: { name: "u", started_at_ms: 0 }, id: "u@0" },
        { title: "none", life: untold, id: "u" },
    ];
    for (const { title, life, id } of rows) {
        it(`id: ${title}`, () => {
            expect(formatIncarnationId(life)).to.equal(id);
        });
    }

    const orderRows: readonly {
        readonly title: string;
        readonly life: UpstreamIncarnation;
        readonly other: UpstreamIncarnation;
        readonly isEarlier: boolean;
    }[] = [
        { title: "a later start overtakes", life: first, other: second, isEarlier: true },
        { title: "an earlier one does not", life: second, other: first, isEarlier: false },
        { title: "the same does not", life: first, other: first, isEarlier: false },
        { title: "one that is told overtakes one that isn't", life: untold, other: first, isEarlier: true },
        { title: "one that isn't told overtakes none", life: first, other: untold, isEarlier: false },
    ];
    for (const { title, life, other, isEarlier } of orderRows) {
        it(`order: ${title}`, () => {
            expect(isEarlierIncarnation(life, other)).to.equal(isEarlier);
        });
    }

    const startRows: readonly {
        readonly title: string;
        readonly life: UpstreamIncarnation;
        readonly told: number | undefined;
        readonly isIts: boolean;
    }[] = [
        { title: "its own", life: first, told: 10, isIts: true },
        { title: "another", life: first, told: 20, isIts: false },
        { title: "none, of a life that tells one", life: first, told: undefined, isIts: false },
        { title: "any, of a life that tells none", life: untold, told: 10, isIts: true },
        { title: "none, of a life that tells none", life: untold, told: undefined, isIts: true },
    ];
    for (const { title, life, told, isIts } of startRows) {
        it(`a start may be that of a life: ${title}`, () => {
            expect(matchesStart(life, told)).to.equal(isIts);
        });
    }

    it("facts that were written before lives were told are read, with the id as the whole of the life", () => {
        const facts = upstreamFactsSchema.parse({
            id: "old",
            service: "s",
            address: "a",
            failure_domain: "d",
            slots: 1,
        });
        expect(getIncarnation(facts)).to.deep.equal({ name: "old" });
    });
});
