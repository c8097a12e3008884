import { expect } from "chai";
import {
    formatIncarnationId,
    getIncarnation,
    isEarlierIncarnation,
    matchesStart,
    upstreamFactsSchema,
    type UpstreamIncarnation,
} from "../src/index.js";

const withoutStart: UpstreamIncarnation = { name: "u" };
const first: UpstreamIncarnation = { name: "u", started_at_ms: 10 };
const second: UpstreamIncarnation = { name: "u", started_at_ms: 20 };

describe("an incarnation is identified by its name and start time", () => {
    const idRows: readonly {
        readonly title: string;
        readonly incarnation: UpstreamIncarnation;
        readonly id: string;
    }[] = [
        { title: "known start time", incarnation: first, id: "u@10" },
        { title: "start time 0", incarnation: { name: "u", started_at_ms: 0 }, id: "u@0" },
        { title: "unknown start time", incarnation: withoutStart, id: "u" },
    ];
    for (const { title, incarnation, id } of idRows) {
        it(`id: ${title}`, () => {
            expect(formatIncarnationId(incarnation)).to.equal(id);
        });
    }

    const supersededRows: readonly {
        readonly title: string;
        readonly incarnation: UpstreamIncarnation;
        readonly other: UpstreamIncarnation;
        readonly isEarlier: boolean;
    }[] = [
        { title: "superseded by a later start", incarnation: first, other: second, isEarlier: true },
        { title: "not superseded by an earlier start", incarnation: second, other: first, isEarlier: false },
        { title: "not superseded by itself", incarnation: first, other: first, isEarlier: false },
        {
            title: "an unknown start is superseded by a known one",
            incarnation: withoutStart,
            other: first,
            isEarlier: true,
        },
        {
            title: "a known start is not superseded by an unknown one",
            incarnation: first,
            other: withoutStart,
            isEarlier: false,
        },
    ];
    for (const { title, incarnation, other, isEarlier } of supersededRows) {
        it(`order: ${title}`, () => {
            expect(isEarlierIncarnation(incarnation, other)).to.equal(isEarlier);
        });
    }

    const startRows: readonly {
        readonly title: string;
        readonly incarnation: UpstreamIncarnation;
        readonly startedAtMs: number | undefined;
        readonly matches: boolean;
    }[] = [
        { title: "the same start time", incarnation: first, startedAtMs: 10, matches: true },
        { title: "a different start time", incarnation: first, startedAtMs: 20, matches: false },
        { title: "none reported, known start", incarnation: first, startedAtMs: undefined, matches: false },
        { title: "one reported, unknown start", incarnation: withoutStart, startedAtMs: 10, matches: true },
        { title: "none reported, unknown start", incarnation: withoutStart, startedAtMs: undefined, matches: true },
    ];
    for (const { title, incarnation, startedAtMs, matches } of startRows) {
        it(`matching start time: ${title}`, () => {
            expect(matchesStart(incarnation, startedAtMs)).to.equal(matches);
        });
    }

    it("records without an incarnation are read with the id as the name", () => {
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
