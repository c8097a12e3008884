import { CrashRegister } from "@crankfork/coordination";
import type { CrashesParameters, SynchronisedState } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { CrashWatch } from "../src/process/entry/crashWatch.js";
import { type AdmittedCall, RequestContext } from "../src/request/requestContext.js";
import { confirmedBasis } from "./configurationFakes.js";

const fakeTimers = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"] as const;

interface RequestParts {
    readonly organisation?: string;
    readonly method?: string;
    readonly target?: string;
    readonly body?: string;
    readonly requestId?: string;
}

function createAdmitted({ organisation, method, target, body, requestId }: RequestParts = {}): AdmittedCall {
    return {
        call: {
            requestId: requestId ?? "one",
            method: method ?? "POST",
            host: "h",
            target: target ?? "/t",
            path: target ?? "/t",
            key: "k",
            deadlineMs: undefined,
            size: undefined,
            lastEventId: undefined,
            rawHeaders: [],
        },
        route: {
            name: "r",
            host: "h",
            prefix: "/",
            kind: "call",
            is_repeatable: true,
            timeout_ms: 1_000,
            objective_ms: 100,
            priority: 1,
            most_attempts: 2,
            is_anonymous: false,
            targets: [{ service: "s", weight: 1 }],
        },
        service: { name: "s" },
        organisation: { name: organisation ?? "one", keys: ["k"] },
        body: Buffer.from(body ?? "crashing"),
        basis: confirmedBasis,
        arrivedMs: 0,
    };
}

/** Entries with a leader that adds up what they tell. */
class CrashStand {
    readonly register = new CrashRegister();
    readonly ended = new Set<string>();
    readonly entries: CrashWatch[];
    hasLeader = true;
    unixMs = 0;
    private index = 0;

    constructor(count: number) {
        this.entries = Array.from({ length: count }, () =>
            new CrashWatch({
                getNowMs: () => performance.now(),
                getUnixMs: () => this.unixMs,
                log: { record: () => undefined },
                askLeader: (method, parameters) => this.answer(method, parameters),
                hasEnded: (id) => this.ended.has(id),
            }));
    }

    /** An entry that has just started knows what the leader tells it, and nothing else. */
    addEntry(): CrashWatch {
        const entry = new CrashStand(1).entries[0]!;
        entry.applyState(this.createState(-1));
        return entry;
    }

    private answer(method: "crashes" | "trial", parameters: object): Promise<unknown> {
        if (!this.hasLeader) {
            return Promise.reject(new Error("no leader is known"));
        }
        const before = this.index;
        this.index += 1;
        let isTaken = true;
        if (method === "trial") {
            const { fingerprint } = parameters as { fingerprint: string; };
            isTaken = this.register.claimTrial(fingerprint, this.unixMs, this.index);
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
        return Promise.resolve({ is_taken: isTaken });
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

describe("an entry holds a request under which upstreams ended, and nothing else", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let stand: CrashStand;

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: [...fakeTimers] });
        stand = new CrashStand(3);
    });

    afterEach(() => {
        clock.uninstall();
    });

    async function crash(lives: readonly string[], parts?: RequestParts, hadProgress: boolean = false): Promise<void> {
        for (const [at, life] of lives.entries()) {
            stand.entries[at % 3]!.recordCrash(createRun(parts), life, hadProgress);
            await clock.tickAsync(50);
        }
    }

    const isHeldEverywhere = (parts?: RequestParts): readonly boolean[] =>
        stand.entries.map((entry) => entry.isHeld(createAdmitted(parts)));

    const rows: readonly {
        readonly title: string;
        readonly play: () => Promise<void>;
        readonly asked?: RequestParts;
        readonly isHeld: boolean;
    }[] = [
        { title: "after two crashes", play: () => crash(["a", "b"]), isHeld: false },
        { title: "after three, one at each entry", play: () => crash(["a", "b", "c"]), isHeld: true },
        {
            title: "under another id of an attempt",
            play: () => crash(["a", "b", "c"]),
            asked: { requestId: "two" },
            isHeld: true,
        },
        { title: "with another body", play: () => crash(["a", "b", "c"]), asked: { body: "other" }, isHeld: false },
        { title: "with an empty body", play: () => crash(["a", "b", "c"]), asked: { body: "" }, isHeld: false },
        {
            title: "by another organisation",
            play: () => crash(["a", "b", "c"]),
            asked: { organisation: "two" },
            isHeld: false,
        },
        { title: "at another path", play: () => crash(["a", "b", "c"]), asked: { target: "/u" }, isHeld: false },
        { title: "by another method", play: () => crash(["a", "b", "c"]), asked: { method: "PUT" }, isHeld: false },
        {
            title: "three in the middle of its answer",
            play: () => crash(["a", "b", "c"], {}, true),
            isHeld: false,
        },
        {
            title: "that ran well at another entry meanwhile",
            play: async () => {
                await crash(["a", "b"]);
                stand.entries[2]!.recordRanWell(createAdmitted());
                await clock.tickAsync(50);
                await crash(["c"]);
            },
            isHeld: false,
        },
        {
            title: "that everybody asks for, in three crashes at one moment",
            play: async () => {
                stand.entries[1]!.recordRanWell(createAdmitted());
                ["a", "b", "c"].forEach((life, at) => {
                    stand.entries[at]!.recordCrash(createRun(), life, false);
                });
                await clock.tickAsync(100);
            },
            isHeld: false,
        },
        {
            title: "that ran well long before",
            play: async () => {
                stand.entries[1]!.recordRanWell(createAdmitted());
                await clock.tickAsync(20_000);
                await crash(["a", "b", "c"]);
            },
            isHeld: true,
        },
        {
            title: "while there is no leader for a second",
            play: async () => {
                stand.hasLeader = false;
                await crash(["a", "b", "c"]);
                stand.hasLeader = true;
                await clock.tickAsync(1_000);
            },
            isHeld: true,
        },
        {
            title: "by silence: upstreams are found to have ended later",
            play: async () => {
                for (const life of ["a", "b", "c"]) {
                    stand.entries[0]!.recordUnanswered(createRun(), { upstreams: ["z", life], hadProgress: false });
                    stand.ended.add(life);
                    stand.entries[0]!.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                    await clock.tickAsync(50);
                }
            },
            isHeld: true,
        },
        {
            title: "by silence, at upstreams that end much later",
            play: async () => {
                for (const life of ["a", "b", "c"]) {
                    stand.entries[0]!.recordUnanswered(createRun(), { upstreams: [life], hadProgress: false });
                    await clock.tickAsync(10_000);
                    stand.ended.add(life);
                }
                stand.entries[0]!.applyState({ is_whole: false, crashes: [], crashes_forgotten: [] });
                await clock.tickAsync(100);
            },
            isHeld: false,
        },
    ];
    for (const { title, play, asked, isHeld } of rows) {
        it(`${title}: ${isHeld ? "held" : "not held"}`, async () => {
            await play();
            expect(isHeldEverywhere(asked)).to.deep.equal([isHeld, isHeld, isHeld]);
            expect(stand.addEntry().isHeld(createAdmitted(asked)), "an entry that has just started").to.equal(isHeld);
        });
    }

    it("one entry that knows no leader holds what it saw itself", async () => {
        stand.hasLeader = false;
        ["a", "b", "c"].forEach((life) => {
            stand.entries[0]!.recordCrash(createRun(), life, false);
        });
        await clock.tickAsync(50);
        expect(isHeldEverywhere()).to.deep.equal([true, false, false]);
    });

    it("a trial comes half a minute later, and one that runs well lets the request go everywhere", async () => {
        await crash(["a", "b", "c"]);
        expect(await stand.entries[0]!.claimTrial(createAdmitted())).to.equal(false);
        stand.unixMs = 30_000;
        const claims = await Promise.all(stand.entries.map((entry) => entry.claimTrial(createAdmitted())));
        expect(claims).to.deep.equal([true, false, false]);
        stand.entries[0]!.recordRanWell(createAdmitted());
        await clock.tickAsync(100);
        expect(isHeldEverywhere()).to.deep.equal([false, false, false]);
    });

    it("parts of a request can't run into each other", () => {
        const one = stand.entries[0]!.describe(createAdmitted({ target: "/a", body: "bc" })).fingerprint;
        const other = stand.entries[0]!.describe(createAdmitted({ target: "/ab", body: "c" })).fingerprint;
        expect(one).to.not.equal(other);
    });
});
