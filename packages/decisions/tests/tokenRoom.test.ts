import type { EngineProfile } from "@crankfork/schemas";
import { expect } from "chai";
import { computeFreeTokens, computeLoadTokens, hasTokenRoom, LearnedRoom } from "../src/index.js";

const profile = { usual_prompt_tokens: 800, usual_answer_tokens: 200 } as EngineProfile;

describe("an engine has room where the prompt and whole answer fit beside the others' mean and a margin", () => {
    const rows = [
        {
            title: "empty, as large as its memory",
            load: { open: 0, tokens: 0, unreported: 0 },
            size: 9_800,
            hasRoom: true,
        },
        { title: "empty, larger", load: { open: 0, tokens: 0, unreported: 0 }, size: 9_801, hasRoom: false },
        // The answers of 4 requests of the usual size deviate by 115 tokens, 2 of these are kept free.
        { title: "beside others", load: { open: 4, tokens: 3_600, unreported: 0 }, size: 5_969, hasRoom: true },
        { title: "in their margin", load: { open: 4, tokens: 3_600, unreported: 0 }, size: 5_970, hasRoom: false },
        // One request more or less is expected.
        { title: "with unreported ones", load: { open: 4, tokens: 3_600, unreported: 1 }, size: 4_300, hasRoom: true },
        { title: "in their margin, too", load: { open: 4, tokens: 3_600, unreported: 1 }, size: 4_400, hasRoom: false },
    ];
    for (const { title, load, size, hasRoom } of rows) {
        it(title, () => {
            const request = { promptTokens: size, answerTokens: 200 };
            expect(hasTokenRoom(computeFreeTokens(load, 10_000, profile), request)).to.equal(hasRoom);
        });
    }
});

describe("requests of unknown size count with the usual one", () => {
    const rows = [
        { title: "none known", load: { open: 3, unstarted: 0 }, tokens: 2_700 },
        { title: "all known", load: { open: 3, unstarted: 0, tokens: 1_000 }, tokens: 1_000 },
        { title: "some known", load: { open: 3, unstarted: 0, tokens: 1_000, sized_open: 2 }, tokens: 1_900 },
        { title: "more known than open", load: { open: 3, unstarted: 0, tokens: 1_000, sized_open: 9 }, tokens: 1_000 },
    ];
    for (const { title, load, tokens } of rows) {
        it(title, () => {
            expect(computeLoadTokens(load, profile)).to.equal(tokens);
        });
    }
});

describe("an engine that declined is limited to what was in use, and recovers", () => {
    const rows = [
        { title: "before", atMs: -1, used: 4_000, limit: 10_000 },
        { title: "at once", atMs: 0, used: 4_000, limit: 4_000 },
        { title: "for a second", atMs: 1_000, used: 4_000, limit: 4_000 },
        { title: "half way back after two", atMs: 2_000, used: 4_000, limit: 7_000 },
        { title: "recovered after three", atMs: 3_000, used: 4_000, limit: 10_000 },
        { title: "never more than its memory", atMs: 0, used: 14_000, limit: 10_000 },
    ];
    for (const { title, atMs, used, limit } of rows) {
        it(title, () => {
            let nowMs = 0;
            const room = new LearnedRoom(() => nowMs);
            if (atMs >= 0) {
                room.recordDecline("e", used);
            }
            nowMs = atMs;
            expect(room.getLimitTokens("e", 10_000)).to.equal(limit);
            expect(room.getLimitTokens("other", 10_000)).to.equal(10_000);
        });
    }
});
