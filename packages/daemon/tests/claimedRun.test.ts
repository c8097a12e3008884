import { ClaimRegister } from "@crankfork/coordination";
import type { BufferedResponse, ClaimResult, Command } from "@crankfork/schemas";
import { expect } from "chai";
import { ClaimTable } from "../src/process/daemon/claimTable.js";
import { createCallerError, getErrorId } from "../src/request/callerError.js";
import { type ClaimFunctions, type CommandResult, runAtMostOnce } from "../src/request/claimedRun.js";

const answer: BufferedResponse = {
    status: 200,
    content_type: "text/plain",
    encoding: "utf8" as const,
    body: "slip printed",
};

/** A stub of the voters and two entries; `delayAnswer` delays answers of the voters. */
class Entries {
    readonly register = new ClaimRegister();
    readonly tables = { left: new ClaimTable(), right: new ClaimTable() };
    readonly dead = new Set<string>();
    runs = 0;
    votersAnswer: (command: Command) => CommandResult | undefined = () => undefined;
    delayAnswer: (command: Command) => Promise<void> = () => Promise.resolve();

    createFunctions(name: "left" | "right"): ClaimFunctions {
        return {
            owner: name,
            propose: (command) => this.propose(command),
            queryOwner: (owner, token) =>
                this.dead.has(owner)
                    ? Promise.resolve({ kind: "lost" })
                    : this.tables[owner as "left" | "right"].awaitEnd(token, 5),
            registerToken: (token, end) => this.tables[name].recordOpen(token, end),
            settle: async (command) => {
                await this.propose(command);
                this.tables[name].recordSettled(command.token);
            },
        };
    }

    send(
        name: "left" | "right",
        run: () => Promise<BufferedResponse> = () => Promise.resolve(answer),
        digest = "d",
    ): Promise<BufferedResponse> {
        const request = {
            requestId: "r",
            organisation: "o",
            key: "k",
            digest,
            waitMs: 200,
            run: () => {
                this.runs += 1;
                return run();
            },
        };
        return runAtMostOnce(request, this.createFunctions(name)).then((result) => result.answer);
    }

    private async propose(command: Command): Promise<CommandResult> {
        const scripted = this.votersAnswer(command);
        if (scripted !== undefined) {
            return scripted;
        }
        const result = this.apply(command);
        await this.delayAnswer(command);
        return { kind: "applied", result };
    }

    private apply(command: Command): ClaimResult | boolean {
        switch (command.kind) {
            case "open-claim":
                return this.register.open(command, 0, 1_000);
            case "settle-claim":
                return this.register.settle(command);
            case "release-claim":
                return this.register.release(command);
            case "record-plan":
            case "confirm-plan":
                throw new Error("not implemented by the stub");
        }
    }
}

async function getFailure(sent: Promise<BufferedResponse>): Promise<string> {
    return await sent.then(() => "answered", (error: unknown) => getErrorId(error));
}

describe("a claimed request runs at most once, whatever the order of events", () => {
    let entries: Entries;

    beforeEach(() => {
        entries = new Entries();
    });

    it("a duplicate gets the stored answer", async () => {
        await entries.send("left");
        expect([await entries.send("right"), entries.runs]).to.deep.equal([answer, 1]);
    });

    it("a duplicate that arrives while the original runs gets its answer", async () => {
        let finish: (value: BufferedResponse) => void = () => undefined;
        const first = entries.send("left", () =>
            new Promise((resolve) => {
                finish = resolve;
            }));
        await new Promise(setImmediate);
        const second = entries.send("right");
        await new Promise(setImmediate);
        finish(answer);
        expect(await Promise.all([first, second])).to.deep.equal([answer, answer]);
        expect(entries.runs).to.equal(1);
    });

    it("an entry that queries the claim between its commit and the run does not run the request", async () => {
        let release: () => void = () => undefined;
        entries.delayAnswer = (command) =>
            command.kind === "open-claim" && command.owner === "left"
                ? new Promise((resolve) => {
                    release = resolve;
                })
                : Promise.resolve();
        const first = entries.send("left");
        await new Promise(setImmediate);
        const second = entries.send("right");
        await new Promise((resolve) => setTimeout(resolve, 30));
        release();
        await Promise.all([first, second]);
        expect(entries.runs).to.equal(1);
    });

    it("a claim that was committed without a confirmation to its entry is released, and the request runs elsewhere", async () => {
        entries.delayAnswer = (command) =>
            command.kind === "open-claim" && command.owner === "left"
                ? Promise.reject(createCallerError("claim-unknown", { step: "claim", peer: "voters" }))
                : Promise.resolve();
        expect(await getFailure(entries.send("left"))).to.equal("claim-unknown");
        expect([await entries.send("right"), entries.runs]).to.deep.equal([answer, 1]);
    });

    it("after the loss of the owner the outcome stays unknown", async () => {
        void entries.send("left", () => new Promise(() => undefined));
        await new Promise(setImmediate);
        entries.dead.add("left");
        expect([await getFailure(entries.send("right")), entries.runs]).to.deep.equal(["owner-lost", 1]);
    });

    it("an unknown outcome is stored", async () => {
        const fail = (): Promise<BufferedResponse> =>
            Promise.reject(
                createCallerError("upstream-lost", { step: "service", peer: "p", values: { reason: "cut" } }),
            );
        expect(await getFailure(entries.send("left", fail))).to.equal("upstream-lost");
        expect((await entries.send("right")).status).to.equal(502);
        expect(entries.runs).to.equal(1);
    });

    it("a request that certainly did not run may run again", async () => {
        const fail = (): Promise<BufferedResponse> =>
            Promise.reject(
                createCallerError("upstream-not-reached", { step: "service", peer: "p", values: { reason: "down" } }),
            );
        expect(await getFailure(entries.send("left", fail))).to.equal("upstream-not-reached");
        expect([await entries.send("right"), entries.runs]).to.deep.equal([answer, 2]);
    });

    it("reusing the key for another request is refused", async () => {
        await entries.send("left");
        expect(await getFailure(entries.send("right", undefined, "another"))).to.equal("key-reused");
    });

    for (const [kind, id] of [["no-quorum", "no-quorum"], ["unknown", "claim-unknown"]] as const) {
        it(`without an answer of the voters the request does not run: ${kind}`, async () => {
            entries.votersAnswer = () => ({ kind });
            expect([await getFailure(entries.send("left")), entries.runs]).to.deep.equal([id, 0]);
        });
    }
});
