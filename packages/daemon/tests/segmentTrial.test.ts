import { FleetState } from "@crankfork/coordination";
import { formatSegmentKey, type ReportedCrash } from "@crankfork/schemas";
import { expect } from "chai";
import { CrashRegistry } from "../src/process/voter/crashRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";

const KEY = formatSegmentKey("a");
const CRASH_INTERVAL_MS = 100;

describe("a trial of a quarantined segment is granted once it has caused no crash for some time", () => {
    const rows = [
        { title: "9 s after the last crash", claimsMs: [9_000], granted: [false] },
        { title: "10 s after it, to one of two at once", claimsMs: [10_000, 10_000], granted: [true, false] },
        { title: "a second one later", claimsMs: [10_000, 20_000, 60_000], granted: [true, false, true] },
        { title: "not a third one", claimsMs: [10_000, 60_000, 900_000], granted: [true, true, false] },
    ];
    for (const { title, claimsMs, granted } of rows) {
        it(title, async () => {
            let nowMs = 0;
            let index = 0;
            const state = new FleetState();
            const registry = new CrashRegistry({
                host: {
                    state,
                    replica: { hasLeaderLease: () => true },
                    propose: (command: object) => {
                        index += 1;
                        return Promise.resolve({ kind: "applied", result: state.apply(command, index) });
                    },
                } as unknown as FleetReplicaHost,
                log: { record: () => undefined },
                getNowMs: () => nowMs,
                getUnixMs: () => nowMs,
                haveEntriesApplied: () => true,
            });
            for (let crash = 1; crash <= 5; crash += 1) {
                index += 1;
                const reported: ReportedCrash = {
                    fingerprint: `f${String(crash)}`,
                    upstream: `u${String(crash)}`,
                    had_progress: false,
                    origin: { host: "h", target: "/" },
                    segments: ["a"],
                };
                nowMs = crash * CRASH_INTERVAL_MS;
                state.apply({ kind: "record-crashes", crashes: [reported], at_ms: nowMs }, index);
            }
            const lastCrashMs = nowMs;
            const results: boolean[] = [];
            for (const claimMs of claimsMs) {
                nowMs = lastCrashMs + claimMs;
                results.push((await registry.claimTrial({ fingerprint: KEY })).is_taken);
            }
            expect(results).to.deep.equal(granted);
        });
    }
});
