import { expect } from "chai";
import { ClaimRegister } from "../src/index.js";

const RETENTION_MS = 1_000;
const open = (token: string, digest = "d") => ({
    kind: "open-claim" as const,
    organisation: "o",
    key: "k",
    digest,
    owner: `owner of ${token}`,
    token,
});
const answer = { status: 200, content_type: "text/plain", encoding: "utf8" as const, body: "done" };
const settle = (token: string) => ({ kind: "settle-claim" as const, organisation: "o", key: "k", token, answer });
const release = (token: string) => ({ kind: "release-claim" as const, organisation: "o", key: "k", token });

type Act = readonly ["open" | "settle" | "release", string, number];

const rows: readonly {
    readonly title: string;
    readonly acts: readonly Act[];
    readonly results: readonly unknown[];
}[] = [
    { title: "one token gets it", acts: [["open", "t1", 0], ["open", "t2", 0]], results: ["granted", "running"] },
    {
        title: "the same token is granted again",
        acts: [["open", "t1", 0], ["open", "t1", 0]],
        results: ["granted", "granted"],
    },
    {
        title: "a settled one is finished",
        acts: [["open", "t1", 0], ["settle", "t1", 0], ["open", "t2", 0]],
        results: ["granted", true, "finished"],
    },
    {
        title: "only its holder settles it",
        acts: [["open", "t1", 0], ["settle", "t2", 0]],
        results: ["granted", false],
    },
    {
        title: "a released one is free",
        acts: [["open", "t1", 0], ["release", "t1", 0], ["open", "t2", 0]],
        results: ["granted", true, "granted"],
    },
    {
        title: "a settled one is not released",
        acts: [["open", "t1", 0], ["settle", "t1", 0], ["release", "t1", 0]],
        results: ["granted", true, false],
    },
    {
        title: "only its holder releases it",
        acts: [["open", "t1", 0], ["release", "t2", 0], ["open", "t2", 0]],
        results: ["granted", false, "running"],
    },
    {
        title: "it is kept for its retention",
        acts: [["open", "t1", 0], ["open", "t2", RETENTION_MS]],
        results: ["granted", "running"],
    },
    {
        title: "and forgotten after it",
        acts: [["open", "t1", 0], ["open", "t2", RETENTION_MS + 1]],
        results: ["granted", "granted"],
    },
];

describe("a claim is granted to one token, and what follows from its commands alone", () => {
    for (const { title, acts, results } of rows) {
        it(title, () => {
            const register = new ClaimRegister();
            const seen = acts.map(([act, token, atMs]) => {
                switch (act) {
                    case "open":
                        return register.open(open(token), atMs, RETENTION_MS).kind;
                    case "settle":
                        return register.settle(settle(token));
                    case "release":
                        return register.release(release(token));
                }
            });
            expect(seen).to.deep.equal(results);
        });
    }

    it("another request under the same key is told so", () => {
        const register = new ClaimRegister();
        register.open(open("t1"), 0, RETENTION_MS);
        expect(register.open(open("t2", "another"), 0, RETENTION_MS).kind).to.equal("key-reused");
    });

    it("a snapshot keeps all of it", () => {
        const register = new ClaimRegister();
        register.open(open("t1"), 0, RETENTION_MS);
        register.settle(settle("t1"));
        const restored = new ClaimRegister();
        restored.restore(structuredClone(register.getState()));
        expect(restored.open(open("t2"), 1, RETENTION_MS)).to.deep.equal({ kind: "finished", answer });
    });
});
