import { FleetState } from "@crankfork/coordination";
import { type FleetCommand, formatSegmentKey, type ReportedCrash } from "@crankfork/schemas";
import { expect } from "chai";
import { CrashRegistry } from "../src/process/voter/crashRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";

const KEY = formatSegmentKey("a");
const CRASH_INTERVAL_MS = 100;

/** A leader whose log has five crashes under some segments. */
class TestVoter {
    nowMs = 0;
    readonly registry: CrashRegistry;
    private index = 0;
    private readonly state = new FleetState();

    constructor(segments: readonly string[]) {
        this.registry = new CrashRegistry({
            host: {
                state: this.state,
                replica: { hasLeaderLease: () => true },
                propose: (command: FleetCommand) => Promise.resolve({ kind: "applied", result: this.apply(command) }),
            } as unknown as FleetReplicaHost,
            log: { record: () => undefined },
            getNowMs: () => this.nowMs,
            getUnixMs: () => this.nowMs,
            haveEntriesApplied: () => true,
        });
        for (let crash = 1; crash <= 5; crash += 1) {
            this.nowMs = crash * CRASH_INTERVAL_MS;
            const crashes = [createCrash(`f${String(crash)}`, `u${String(crash)}`, segments)];
            this.apply({ kind: "record-crashes", crashes, at_ms: this.nowMs });
        }
    }

    private apply(command: FleetCommand): unknown {
        this.index += 1;
        return this.state.apply(command, this.index);
    }
}

function createCrash(fingerprint: string, upstream: string, segments: readonly string[]): ReportedCrash {
    const origin = { host: "h", target: "/" };
    return { fingerprint, upstream, had_progress: false, origin, segments: [...segments] };
}

describe("a trial of a quarantined segment is granted once it has caused no crash for some time", () => {
    const rows = [
        { title: "9 s after the last crash", claimsMs: [9_000], granted: [false] },
        { title: "10 s after it, to one of two at once", claimsMs: [10_000, 10_000], granted: [true, false] },
        { title: "a second one later", claimsMs: [10_000, 20_000, 60_000], granted: [true, false, true] },
        { title: "not a third one", claimsMs: [10_000, 60_000, 900_000], granted: [true, true, false] },
    ];
    for (const { title, claimsMs, granted } of rows) {
        it(title, async () => {
            const voter = new TestVoter(["a"]);
            const lastCrashMs = voter.nowMs;
            const results: boolean[] = [];
            for (const claimMs of claimsMs) {
                voter.nowMs = lastCrashMs + claimMs;
                results.push((await voter.registry.claimTrial({ fingerprint: KEY })).is_taken);
            }
            expect(results).to.deep.equal(granted);
        });
    }
});

// Otherwise both trials of a sound segment run beside prompts that still crash upstreams, and it stays quarantined.
describe("the second trial of one of two quarantined segments waits for the first", () => {
    const rows = [
        { title: "that has not ended", crashed: [], outcome: "pending" },
        {
            title: "while earlier attempts of other prompts are reported as crashed",
            crashed: ["f0"],
            outcome: "pending",
        },
        { title: "that has crashed", crashed: ["first"], outcome: "granted" },
    ];
    for (const { title, crashed, outcome } of rows) {
        it(`${title}: ${outcome}`, async () => {
            const { registry } = new TestVoter(["a", "dead"]);
            const first = await registry.grantResend({ fingerprint: "first", segments: ["a"] });
            const crashes = crashed.map((fingerprint) => createCrash(fingerprint, "u0", ["a", "dead"]));
            await registry.record({ crashes, ran_well: [] });
            const second = await registry.grantResend({ fingerprint: "second", segments: ["a"] });
            expect([first.outcome, second.outcome]).to.deep.equal(["granted", outcome]);
        });
    }
});
