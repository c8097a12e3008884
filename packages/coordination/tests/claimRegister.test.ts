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

type Step = readonly ["open" | "settle" | "release", string, number];

const rows: readonly {
    readonly title: string;
    readonly steps: readonly Step[];
    readonly results: readonly unknown[];
}[] = [
    {
        title: "a claim is granted to a single token",
        steps: [["open", "t1", 0], ["open", "t2", 0]],
        results: ["granted", "running"],
    },
    {
        title: "the same token is granted again",
        steps: [["open", "t1", 0], ["open", "t1", 0]],
        results: ["granted", "granted"],
    },
    {
        title: "a settled claim is finished for other tokens",
        steps: [["open", "t1", 0], ["settle", "t1", 0], ["open", "t2", 0]],
        results: ["granted", true, "finished"],
    },
    {
        title: "only the token that holds a claim can settle it",
        steps: [["open", "t1", 0], ["settle", "t2", 0]],
        results: ["granted", false],
    },
    {
        title: "a released claim is granted to another token",
        steps: [["open", "t1", 0], ["release", "t1", 0], ["open", "t2", 0]],
        results: ["granted", true, "granted"],
    },
    {
        title: "a settled claim cannot be released",
        steps: [["open", "t1", 0], ["settle", "t1", 0], ["release", "t1", 0]],
        results: ["granted", true, false],
    },
    {
        title: "only the token that holds a claim can release it",
        steps: [["open", "t1", 0], ["release", "t2", 0], ["open", "t2", 0]],
        results: ["granted", false, "running"],
    },
    {
        title: "a claim is kept for its retention",
        steps: [["open", "t1", 0], ["open", "t2", RETENTION_MS]],
        results: ["granted", "running"],
    },
    {
        title: "a claim expires after its retention",
        steps: [["open", "t1", 0], ["open", "t2", RETENTION_MS + 1]],
        results: ["granted", "granted"],
    },
];

describe("claims are granted to one token each, and depend on the commands alone", () => {
    for (const { title, steps, results } of rows) {
        it(title, () => {
            const register = new ClaimRegister();
            const actual = steps.map(([operation, token, atMs]) => {
                switch (operation) {
                    case "open":
                        return register.open(open(token), atMs, RETENTION_MS).kind;
                    case "settle":
                        return register.settle(settle(token));
                    case "release":
                        return register.release(release(token));
                }
            });
            expect(actual).to.deep.equal(results);
        });
    }

    it("another request with the same key is refused", () => {
        const register = new ClaimRegister();
        register.open(open("t1"), 0, RETENTION_MS);
        expect(register.open(open("t2", "another"), 0, RETENTION_MS).kind).to.equal("key-reused");
    });

    it("a snapshot contains claims and their answers", () => {
        const register = new ClaimRegister();
        register.open(open("t1"), 0, RETENTION_MS);
        register.settle(settle("t1"));
        const restored = new ClaimRegister();
        restored.restore(structuredClone(register.getState()));
        expect(restored.open(open("t2"), 1, RETENTION_MS)).to.deep.equal({ kind: "finished", answer });
    });
});
