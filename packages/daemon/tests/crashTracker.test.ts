import { CrashRegister } from "@crankfork/coordination";
import type { CrashesParameters, SynchronisedState } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { CrashTracker } from "../src/process/entry/crashTracker.js";
import { RequestContext } from "../src/request/requestContext.js";
import { createAdmitted, type RequestParts } from "./createAdmitted.js";

const fakeTimers = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"] as const;

/** Entries, and a leader that aggregates their reports. */
class CrashHarness {
    readonly register = new CrashRegister();
    readonly ended = new Set<string>();
    readonly entries: CrashTracker[];
    hasLeader = true;
    unixMs = 0;
    private index = 0;

    constructor(count: number) {
        this.entries = Array.from({ length: count }, () =>
            new CrashTracker({
                getNowMs: () => performance.now(),
                getUnixMs: () => this.unixMs,
                log: { record: () => undefined },
                askLeader: (method, parameters) => this.answer(method, parameters),
                hasEnded: (id) => this.ended.has(id),
                isLeaving: () => false,
            }));
    }

    /** Adds an entry that has just started and knows only the leader's state. */
    addEntry(): CrashTracker {
        const entry = new CrashHarness(1).entries[0]!;
        entry.applyState(this.createState(-1));
        return entry;
    }

    private answer(method: "crashes" | "trial" | "resend", parameters: object): Promise<unknown> {
        if (!this.hasLeader) {
            return Promise.reject(new Error("no leader is known"));
        }
        const before = this.index;
        this.index += 1;
        let isAccepted = true;
        if (method === "trial") {
            const { fingerprint } = parameters as { fingerprint: string; };
            isAccepted = this.register.claimTrial(fingerprint, this.unixMs, this.index);
        }
        else {
            const { crashes, ran_well } = parameters as CrashesParameters;
            this.register.add(crashes, this.unixMs, this.index);
            this.index += 1;
            this.register.forget(ran_well, this.index);
        }
        const state = this.createState(before);
        queueMicrotask(() => {
            this.entries.forEach((entry) => {
                entry.applyState(state);
            });
        });
        return Promise.resolve({ is_taken: isAccepted });
    }

    private createState(after: number): Pick<SynchronisedState, "is_whole" | "crashes" | "crashes_forgotten"> {
        const { records, forgotten } = this.register.getChanges(after);
        return { is_whole: after < 0, crashes: [...records], crashes_forgotten: [...forgotten] };
    }
}

function createRun(parts?: RequestParts): RequestContext {
    const run = new RequestContext(createAdmitted(parts), () => 0);
    run.close();
    return run;
}

describe("an entry quarantines requests that crash upstreams, and no others", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let harness: CrashHarness;

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: [...fakeTimers] });
        harness = new CrashHarness(3);
    });

    afterEach(() => {
        clock.uninstall();
    });

    async function crash(
        upstreams: readonly string[],
        parts?: RequestParts,
        hadProgress: boolean = false,
    ): Promise<void> {
        for (const [at, upstream] of upstreams.entries()) {
            harness.entries[at % 3]!.recordCrash(createRun(parts), upstream, { hadProgress, outputMs: 0 });
            await clock.tickAsync(50);
        }
    }

    const isQuarantinedEverywhere = (parts?: RequestParts): readonly boolean[] =>
        harness.entries.map((entry) => entry.isQuarantined(createAdmitted(parts)));

    const rows: readonly {
        readonly title: string;
        readonly run: () => Promise<void>;
        readonly checked?: RequestParts;
        readonly isQuarantined: boolean;
    }[] = [
        { title: "after two crashes", run: () => crash(["a", "b"]), isQuarantined: false },
        { title: "after three, one at each entry", run: () => crash(["a", "b", "c"]), isQuarantined: true },
        {
            title: "with another request id",
            run: () => crash(["a", "b", "c"]),
            checked: { requestId: "two" },
            isQuarantined: true,
        },
        {
            title: "with another body",
            run: () => crash(["a", "b", "c"]),
            checked: { body: "other" },
            isQuarantined: false,
        },
        { title: "with an empty body", run: () => crash(["a", "b", "c"]), checked: { body: "" }, isQuarantined: false },
        {
            title: "from another organisation",
            run: () => crash(["a", "b", "c"]),
            checked: { organisation: "two" },
            isQuarantined: false,
        },
        {
            title: "to another path",
            run: () => crash(["a", "b", "c"]),
            checked: { target: "/u" },
            isQuarantined: false,
        },
        {
            title: "with another method",
            run: () => crash(["a", "b", "c"]),
            checked: { method: "PUT" },
            isQuarantined: false,
        },
        {
            title: "after three crashes in the middle of the answer",
            run: () => crash(["a", "b", "c"], {}, true),
            isQuarantined: false,
        },
        {
            title: "that completed at another entry in between",
            run: async () => {
                await crash(["a", "b"]);
                harness.entries[2]!.recordCompletion(createAdmitted());
                await clock.tickAsync(50);
                await crash(["c"]);
            },
            isQuarantined: false,
        },
        {
            title: "that is popular and in three simultaneous crashes",
            run: async () => {
                harness.entries[1]!.recordCompletion(createAdmitted());
                ["a", "b", "c"].forEach((upstream, at) => {
                    harness.entries[at]!.recordCrash(createRun(), upstream, { hadProgress: false, outputMs: 0 });
                });
                await clock.tickAsync(100);
            },
            isQuarantined: false,
        },
        {
            title: "that completed long before",
            run: async () => {
                harness.entries[1]!.recordCompletion(createAdmitted());
                await clock.tickAsync(20_000);
                await crash(["a", "b", "c"]);
            },
            isQuarantined: true,
        },
        {
            title: "while there is no leader for a second",
            run: async () => {
                harness.hasLeader = false;
                await crash(["a", "b", "c"]);
                harness.hasLeader = true;
                await clock.tickAsync(1_000);
            },
            isQuarantined: true,
        },
        {
            title: "after silent attempts, whose upstreams are soon found to have ended",
            run: async () => {
                for (const upstream of ["a", "b", "c"]) {
                    harness.entries[0]!.recordUnanswered(createRun(), {
                        upstreams: ["z", upstream],
                        hadProgress: false,
                        outputMs: 0,
                    });
                    harness.ended.add(upstream);
                    harness.entries[0]!.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                    await clock.tickAsync(50);
                }
            },
            isQuarantined: true,
        },
        {
            title: "after silent attempts, and hundreds of others at upstreams that fell silent, too",
            run: async () => {
                const entry = harness.entries[0]!;
                const silent = (upstream: string, parts?: RequestParts): void => {
                    entry.recordUnanswered(createRun(parts), {
                        upstreams: [upstream],
                        hadProgress: false,
                        outputMs: 0,
                    });
                };
                ["a", "b", "c"].forEach((upstream) => {
                    silent(upstream);
                });
                Array.from({ length: 600 }, (_none, at) => String(at)).forEach((at) => {
                    silent(`other-${at}`, { body: at });
                });
                ["a", "b", "c"].forEach((upstream) => harness.ended.add(upstream));
                entry.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                await clock.tickAsync(100);
            },
            isQuarantined: true,
        },
        ...[
            { title: "whose upstreams have ended", outputMs: 100, isQuarantined: true },
            { title: "whose upstreams have ended, after long responses", outputMs: 600, isQuarantined: false },
            {
                title: "whose upstreams respond once more before they end",
                outputMs: 100,
                hasResponded: true,
                isQuarantined: false,
            },
            { title: "whose upstreams end much later", outputMs: 100, endsAfterMs: 4_000, isQuarantined: false },
        ].map(({ title, outputMs, hasResponded = false, endsAfterMs = 500, isQuarantined }) => ({
            title: `after responses that end with their connection, ${title}`,
            run: async () => {
                for (const upstream of ["a", "b", "c"]) {
                    const entry = harness.entries[0]!;
                    entry.recordUnconfirmed(createRun(), { upstreams: [upstream], hadProgress: false, outputMs });
                    await clock.tickAsync(endsAfterMs);
                    if (hasResponded) {
                        entry.recordResponse(upstream);
                    }
                    entry.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                    harness.ended.add(upstream);
                    entry.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                    await clock.tickAsync(50);
                }
            },
            isQuarantined,
        })),
        {
            title: "after silent attempts, whose upstreams end much later",
            run: async () => {
                for (const upstream of ["a", "b", "c"]) {
                    harness.entries[0]!.recordUnanswered(createRun(), {
                        upstreams: [upstream],
                        hadProgress: false,
                        outputMs: 0,
                    });
                    await clock.tickAsync(10_000);
                    harness.ended.add(upstream);
                }
                harness.entries[0]!.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                await clock.tickAsync(100);
            },
            isQuarantined: false,
        },
    ];
    for (const { title, run, checked, isQuarantined } of rows) {
        it(`${title}: ${isQuarantined ? "quarantined" : "not quarantined"}`, async () => {
            await run();
            expect(isQuarantinedEverywhere(checked)).to.deep.equal([isQuarantined, isQuarantined, isQuarantined]);
            expect(harness.addEntry().isQuarantined(createAdmitted(checked)), "at an entry that has just started").to
                .equal(
                    isQuarantined,
                );
        });
    }

    it("an entry without a leader quarantines by the crashes it saw itself", async () => {
        harness.hasLeader = false;
        ["a", "b", "c"].forEach((upstream) => {
            harness.entries[0]!.recordCrash(createRun(), upstream, { hadProgress: false, outputMs: 0 });
        });
        await clock.tickAsync(50);
        expect(isQuarantinedEverywhere()).to.deep.equal([true, false, false]);
    });

    it("a trial is granted after 30 s, and its success releases the request at all entries", async () => {
        await crash(["a", "b", "c"]);
        expect(await harness.entries[0]!.claimTrial(createAdmitted())).to.equal(false);
        harness.unixMs = 30_000;
        const claims = await Promise.all(harness.entries.map((entry) => entry.claimTrial(createAdmitted())));
        expect(claims).to.deep.equal([true, false, false]);
        harness.entries[0]!.recordCompletion(createAdmitted());
        await clock.tickAsync(100);
        expect(isQuarantinedEverywhere()).to.deep.equal([false, false, false]);
    });

    it("the fingerprint keeps the parts of a request apart", () => {
        const one = harness.entries[0]!.describe(createAdmitted({ target: "/a", body: "bc" })).fingerprint;
        const other = harness.entries[0]!.describe(createAdmitted({ target: "/ab", body: "c" })).fingerprint;
        expect(one).to.not.equal(other);
    });
});
