import { FleetState } from "@crankfork/coordination";
import {
    type FleetCommand,
    type RateLimitCursor,
    type RateLimitUpdates,
    type SynchroniseParameters,
    synchroniseParametersSchema,
    synchroniseResultSchema,
    type UpstreamLoads,
} from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { waitMs } from "../src/process/waitMs.js";
import { noRollout } from "./configurationFakes.js";
import type { InstalledClock } from "./installedClock.js";
import { noLimits } from "./limitFakes.js";

const self = { id: "v", address: "v" };
const LATENCY_MS = 1;
const CHANGE_MS = 10;
const STORM_MS = 1_000;

/** Creates the replica host of a leader that holds its lease. */
function createHost(
    state: FleetState,
    getTerm: () => number = () => 1,
    isLeading: boolean = true,
): FleetReplicaHost {
    return {
        state,
        self,
        replica: {
            hasLeaderLease: () => isLeading,
            getStatus: () => ({
                leader: self,
                term: getTerm(),
                commitIndex: 1,
                replicas: { voters: [self], learners: [] },
            }),
        },
    } as unknown as FleetReplicaHost;
}

/** Runs an entry that sends its next request as soon as it is answered. */
async function runEntry(
    register: EntryRegistry,
    instance: string,
    progress: {
        answers: number;
        readonly known: Map<string, number>;
        isOver: boolean;
        readonly recordAnswer?: (instance: string) => void;
    },
): Promise<void> {
    while (!progress.isOver) {
        await waitMs(LATENCY_MS);
        const known_index = progress.known.get(instance) ?? 0;
        const result = await register.synchronise({ instance, known_index, loads: {} });
        progress.answers += 1;
        progress.recordAnswer?.(instance);
        progress.known.set(instance, result.kind === "state" ? result.index : known_index);
    }
}

describe("changes in quick succession are batched into few answers", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install();
    });

    afterEach(() => {
        clock.uninstall();
    });

    // One answer at the first change and one per notification interval: entries x (1 + 1,000 ms / interval), plus a margin.
    const rows = [
        { title: "9 entries", entries: 9, maxAnswers: 1_100 },
        { title: "75 entries", entries: 75, maxAnswers: 1_100 },
        { title: "195 entries", entries: 195, maxAnswers: 1_200 },
        { title: "1,000 entries", entries: 1_000, maxAnswers: 3_100 },
    ];
    for (const { title, entries, maxAnswers } of rows) {
        it(title, async () => {
            const state = new FleetState();
            const host = createHost(state);
            const register = new EntryRegistry({
                host,
                getNowMs: () => performance.now(),
                rollout: noRollout,
                listSuspects: () => [],
                limits: noLimits,
            });
            let index = 0;
            const change = (): void => {
                index += 1;
                const facts = {
                    id: `u${String(index % 5)}`,
                    service: "s",
                    address: "a",
                    failure_domain: "d",
                    slots: 1,
                };
                state.apply({ kind: "put-upstream", facts, status: "ready" }, index);
                register.handleStateChange();
            };
            change();
            const progress = { answers: 0, known: new Map<string, number>(), isOver: false };
            for (let number = 0; number < entries; number += 1) {
                void runEntry(register, `e${String(number)}`, progress);
            }
            await clock.tickAsync(1_500);
            progress.answers = 0;
            for (let ms = 0; ms < STORM_MS; ms += CHANGE_MS) {
                change();
                await clock.tickAsync(CHANGE_MS);
            }
            const { answers } = progress;
            // The first change after an idle period answers all pending long polls immediately.
            await clock.tickAsync(entries + 200);
            change();
            await clock.tickAsync(LATENCY_MS + 1);
            const behind = [...progress.known.values()].filter((known) => known < index).length;
            progress.isOver = true;
            register.handleStateChange();
            await clock.tickAsync(2_000);
            expect(answers, "answers during one second of changes").to.be.below(maxAnswers);
            expect(behind, "entries that lack a change after an idle period").to.be.below(entries / 3);
        });
    }
});

/** Guards against a leader that answers each entry at each change, although the entries learn of changes from followers. */
describe("entries that watch the state at a follower are answered early for requests that may be quarantined alone", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const ENTRIES = 195;
    const origin = { host: "h", method: "POST", target: "/", organisation: "o" };
    const crash = (upstream: string): FleetCommand => ({
        kind: "record-crashes",
        crashes: [{ fingerprint: "f", upstream, had_progress: false, origin, segments: [], is_late: false }],
        at_ms: 0,
    });
    const facts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1 };
    const rows: readonly {
        title: string;
        isWatching: boolean;
        known?: number;
        changes: readonly FleetCommand[];
        isEarly: boolean;
    }[] = [
        {
            title: "an upstream, entry without a watch",
            isWatching: false,
            changes: [{ kind: "put-upstream", facts, status: "ready" }],
            isEarly: true,
        },
        {
            title: "an upstream",
            isWatching: true,
            changes: [{ kind: "put-upstream", facts, status: "ready" }],
            isEarly: false,
        },
        { title: "a first crash of a request", isWatching: true, changes: [crash("u1")], isEarly: false },
        { title: "a second crash of it", isWatching: true, changes: [crash("u1"), crash("u2")], isEarly: true },
        {
            title: "a second crash of it, entry that names an index that the log has not reached",
            isWatching: true,
            known: Number.MAX_SAFE_INTEGER,
            changes: [crash("u1"), crash("u2")],
            isEarly: true,
        },
    ];
    for (const { title, isWatching, known = 0, changes, isEarly } of rows) {
        it(title, async () => {
            const state = new FleetState();
            const register = new EntryRegistry({
                host: createHost(state),
                getNowMs: () => performance.now(),
                rollout: noRollout,
                listSuspects: () => [],
                limits: noLimits,
            });
            let answers = 0;
            for (let number = 0; number < ENTRIES; number += 1) {
                const parameters = {
                    instance: `e${String(number)}`,
                    known_index: known,
                    loads: {},
                    is_watching: isWatching,
                };
                void register.synchronise(parameters).then(() => {
                    answers += 1;
                });
            }
            await clock.tickAsync(50);
            changes.forEach((command, at) => {
                state.apply(command, at + 1);
                register.handleReplicatedChange();
            });
            await clock.tickAsync(50);
            const early = answers;
            await clock.tickAsync(1_000);
            expect(early).to.equal(isEarly ? ENTRIES : 0);
            expect(answers).to.equal(ENTRIES);
        });
    }
});

/** Guards against a leader that spends all of its processor time on notifications, so that entries wait in vain for leases and documents. */
describe("a busy leader notifies entries less often, and still within the time for which they wait", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const ENTRIES = 59;
    /** An entry gives up after 1.2 s. */
    const MAX_GAP_MS = 1_200;
    const rows = [
        { title: "idle", loopUse: 0.3, minAnswers: 900, maxAnswers: 1_100 },
        // Twice a second each.
        { title: "busy", loopUse: 1, minAnswers: 1, maxAnswers: 2 * ENTRIES + ENTRIES },
    ];
    for (const { title, loopUse, minAnswers, maxAnswers } of rows) {
        it(title, async () => {
            const state = new FleetState();
            const register = new EntryRegistry({
                host: createHost(state),
                getNowMs: () => performance.now(),
                rollout: noRollout,
                listSuspects: () => [],
                limits: noLimits,
                takeLoopUse: () => loopUse,
            });
            const answeredMs = new Map<string, number>();
            let longestGapMs = 0;
            const progress = {
                answers: 0,
                known: new Map<string, number>(),
                isOver: false,
                recordAnswer: (instance: string) => {
                    const nowMs = performance.now();
                    longestGapMs = Math.max(longestGapMs, nowMs - (answeredMs.get(instance) ?? nowMs));
                    answeredMs.set(instance, nowMs);
                },
            };
            for (let number = 0; number < ENTRIES; number += 1) {
                void runEntry(register, `e${String(number)}`, progress);
            }
            const facts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1 };
            let index = 0;
            const changeFor = async (durationMs: number): Promise<void> => {
                for (let ms = 0; ms < durationMs; ms += CHANGE_MS) {
                    index += 1;
                    state.apply({ kind: "put-upstream", facts, status: "ready" }, index);
                    register.handleStateChange();
                    await clock.tickAsync(CHANGE_MS);
                }
            };
            await changeFor(2_000);
            progress.answers = 0;
            await changeFor(STORM_MS);
            const { answers } = progress;
            progress.isOver = true;
            register.handleStateChange();
            await clock.tickAsync(2_000);
            expect(answers).to.be.within(minAnswers, maxAnswers);
            expect(longestGapMs).to.be.below(MAX_GAP_MS);
        });
    }
});

describe("an entry receives the request counts of the other entries", () => {
    let nowMs: number;
    let term: number;
    let register: EntryRegistry;

    beforeEach(() => {
        nowMs = 50_000;
        term = 3;
        const state = new FleetState();
        const facts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1 };
        state.apply({ kind: "put-upstream", facts, status: "ready" }, 7);
        const host = createHost(state, () => term);
        register = new EntryRegistry({
            host,
            getNowMs: () => nowMs,
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
    });

    /** Synchronises an entry that lacks the last change, so that it is answered immediately. */
    async function syncEntry(
        instance: string,
        requests: number,
        repeats: number,
        known_index: number = 6,
    ): Promise<object> {
        const spending = { s: { requests, repeats } };
        nowMs += 600;
        const result = await register.synchronise({ instance, known_index, loads: {}, spending });
        return result.kind === "state" ? result : {};
    }

    it("summed, without its own count", async () => {
        await syncEntry("one", 30, 2);
        await syncEntry("two", 40, 5);
        expect(await syncEntry("three", 9, 9)).to.deep.include({
            spending_elsewhere: { s: { requests: 70, repeats: 7 } },
        });
    });

    it("including restarted entries, until the budget window has passed", async () => {
        await syncEntry("one", 30, 2);
        await syncEntry("one", 1, 0, 0);
        expect(await syncEntry("two", 0, 0)).to.deep.include({
            spending_elsewhere: { s: { requests: 31, repeats: 2 } },
        });
        nowMs += 11_000;
        await syncEntry("one", 20, 1);
        expect(await syncEntry("two", 0, 0)).to.deep.include({
            spending_elsewhere: { s: { requests: 20, repeats: 1 } },
        });
    });

    const lostRows: readonly { readonly title: string; readonly own: object; readonly seen: object; }[] = [
        {
            title: "with the retries that restarted entries may have lost, by themselves",
            own: { s: { requests: 1, repeats: 0, lost: 0 } },
            seen: { s: { requests: 30, repeats: 2, lost: 4 } },
        },
        {
            title: "with the retries that restarted entries may have lost, to an entry that has sent nothing yet",
            own: {},
            seen: { s: { requests: 30, repeats: 2, lost: 4 } },
        },
        {
            title: "with lost retries as sent ones, to an entry of an older build",
            own: { s: { requests: 1, repeats: 0 } },
            seen: { s: { requests: 30, repeats: 6 } },
        },
    ];
    for (const { title, own, seen } of lostRows) {
        it(title, async () => {
            const spending = { s: { requests: 30, repeats: 2, lost: 4 } };
            await register.synchronise({ instance: "one", known_index: 6, loads: {}, spending });
            const asked = { instance: "two", known_index: 6, loads: {}, spending: own as typeof spending };
            expect(await register.synchronise(asked)).to.deep.include({ spending_elsewhere: seen });
        });
    }

    const appliedRows: readonly {
        readonly title: string;
        /** Log index that the second entry has, and how long ago it asked. */
        readonly known: number;
        readonly silentMs: number;
        readonly leadingMs: number;
        readonly haveApplied: boolean;
    }[] = [
        { title: "all have it", known: 6, silentMs: 0, leadingMs: 2_000, haveApplied: true },
        { title: "one has an earlier one", known: 5, silentMs: 0, leadingMs: 2_000, haveApplied: false },
        { title: "the one that has not is gone", known: 5, silentMs: 1_600, leadingMs: 2_000, haveApplied: true },
        { title: "the leader is new", known: 6, silentMs: 0, leadingMs: 0, haveApplied: false },
        {
            title: "one names an index that the log has not reached",
            known: Number.MAX_SAFE_INTEGER,
            silentMs: 0,
            leadingMs: 2_000,
            haveApplied: false,
        },
    ];
    for (const { title, known, silentMs, leadingMs, haveApplied } of appliedRows) {
        it(`whether entries have applied an index: ${title}`, async () => {
            await syncEntry("one", 0, 0);
            nowMs += leadingMs;
            await syncEntry("two", 0, 0, known);
            nowMs += silentMs;
            await syncEntry("one", 0, 0);
            expect(register.haveApplied(6)).to.equal(haveApplied);
        });
    }

    it("with the time since this leader began to collect them in its term", async () => {
        await syncEntry("one", 1, 0);
        nowMs += 4_000;
        expect(await syncEntry("two", 1, 0)).to.deep.include({ spending_known_ms: 4_600 });
        term += 1;
        await syncEntry("one", 1, 0);
        expect(await syncEntry("two", 1, 0)).to.deep.include({ spending_known_ms: 600 });
    });

    it("without counts from before another voter led, so that entries can tell how many are missing", async () => {
        await syncEntry("one", 30, 2);
        await syncEntry("two", 40, 5);
        nowMs += 5_000;
        term += 2;
        expect(await syncEntry("three", 9, 9)).to.deep.include({ entries: 1, spending_elsewhere: {} });
        await syncEntry("one", 80, 40);
        expect(await syncEntry("three", 9, 9)).to.deep.include({
            entries: 2,
            spending_elsewhere: { s: { requests: 80, repeats: 40 } },
        });
    });

    it("with the counts from just before its own re-election", async () => {
        await syncEntry("one", 30, 2);
        term += 1;
        expect(await syncEntry("two", 0, 0)).to.deep.include({
            entries: 2,
            spending_elsewhere: { s: { requests: 30, repeats: 2 } },
        });
    });
});

describe("an entry that lacks a rate limit is answered immediately", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const rows = [
        { title: "lacks a limit", known: { term: 0, change: 0 }, isImmediate: true },
        { title: "knows all limits", known: { term: 3, change: 7 }, isImmediate: false },
    ];
    for (const { title, known, isImmediate } of rows) {
        it(title, async () => {
            const state = new FleetState();
            const host = createHost(state, () => 3);
            const limits = {
                hasUpdates: ({ change }: RateLimitCursor): boolean => change < 7,
                listUpdates: (): RateLimitUpdates => ({ term: 3, change: 7, limits: [] }),
            };
            const register = new EntryRegistry({
                host,
                getNowMs: () => performance.now(),
                rollout: noRollout,
                listSuspects: () => [],
                limits,
            });
            let isAnswered = false;
            void register.synchronise({
                instance: "e",
                known_index: state.lastChangeIndex,
                loads: {},
                limits_known: known,
            })
                .then(() => {
                    isAnswered = true;
                });
            await clock.tickAsync(LATENCY_MS);
            expect(isAnswered).to.equal(isImmediate);
            await clock.tickAsync(1_000);
            expect(isAnswered).to.equal(true);
        });
    }
});

describe("the loads of the other entries are summed for each answer", () => {
    const ENTRIES = 69;
    const ENGINES = 9;
    const createRegistry = async (load: UpstreamLoads[string]): Promise<EntryRegistry> => {
        const registry = new EntryRegistry({
            host: createHost(new FleetState()),
            getNowMs: () => 0,
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        for (let entry = 0; entry < ENTRIES; entry += 1) {
            const loads = Object.fromEntries(Array.from({ length: ENGINES }, (_, engine) => [`e${engine}`, load]));
            await registry.synchronise({ instance: `i${entry}`, known_index: 0, loads, may_wait: false });
        }
        return registry;
    };
    const ask = async (registry: EntryRegistry): Promise<UpstreamLoads> => {
        const result = await registry.synchronise({ instance: "i0", known_index: 0, loads: {}, may_wait: false });
        return result.kind === "state" ? result.loads_elsewhere : {};
    };
    const unranked = { open: 2, unstarted: 1 };
    const ranked = { ...unranked, unstarted_by_rank: [0, 0, 1], open_by_rank: [1, 0, 1] };

    it("and the sum doesn't change the reports", async () => {
        const registry = await createRegistry(ranked);
        const sum = { open: 136, unstarted: 68, unstarted_by_rank: [0, 0, 68], open_by_rank: [68, 0, 68] };
        expect((await ask(registry)).e0).to.deep.equal(sum);
        expect((await ask(registry)).e0).to.deep.equal(sum);
    });

    // At 1,000 answers a second a leader has 1 ms for each. New lists for each addition took six times the time of loads
    // without ranks, 1.6 ms.
    it("and counts by rank take less than three times the time of loads without", async () => {
        const registries = [await createRegistry(unranked), await createRegistry(ranked)];
        const shortest = [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY];
        for (let round = 0; round < 20; round += 1) {
            for (const [index, registry] of registries.entries()) {
                // Other test files in the same process may pause the monotonic clock.
                const before = process.cpuUsage();
                for (let answer = 0; answer < 10; answer += 1) {
                    await ask(registry);
                }
                const { user, system } = process.cpuUsage(before);
                shortest[index] = Math.min(shortest[index] ?? 0, user + system);
            }
        }
        expect((shortest[1] ?? 0) / (shortest[0] ?? 1)).to.be.below(3);
    });
});

/** Guards against answers that no other entry can read: all of them would lose the leader by one report. */
describe("the counts that one entry reports leave the answers to the others readable", () => {
    const FAR = Number.MAX_SAFE_INTEGER;
    const sound = {
        loads: { u: { open: 2, unstarted: 1, tokens: 5, open_by_rank: [2], unstarted_by_rank: [1] } },
        spending: { s: { requests: 5, repeats: 3, lost: 1 } },
    };
    const rows: readonly {
        readonly title: string;
        readonly report: Pick<SynchroniseParameters, "loads" | "spending">;
    }[] = [
        { title: "open requests", report: { loads: { u: { open: FAR, unstarted: 0 } } } },
        { title: "unstarted requests", report: { loads: { u: { open: 0, unstarted: FAR } } } },
        { title: "sized requests", report: { loads: { u: { open: 0, unstarted: 0, tokens: 1, sized_open: FAR } } } },
        {
            title: "requests by rank",
            report: { loads: { u: { open: 0, unstarted: 0, open_by_rank: [FAR], unstarted_by_rank: [FAR] } } },
        },
        { title: "requests sent", report: { loads: {}, spending: { s: { requests: FAR, repeats: 0, lost: 0 } } } },
        { title: "retries", report: { loads: {}, spending: { s: { requests: 0, repeats: FAR, lost: 0 } } } },
        { title: "lost retries", report: { loads: {}, spending: { s: { requests: 0, repeats: 0, lost: FAR } } } },
    ];
    for (const { title, report } of rows) {
        it(title, async () => {
            const registry = new EntryRegistry({
                host: createHost(new FleetState()),
                getNowMs: () => 0,
                rollout: noRollout,
                listSuspects: () => [],
                limits: noLimits,
            });
            const ask = async (instance: string, reported: typeof report): Promise<unknown> => {
                const parameters = { instance, known_index: 0, may_wait: false, ...reported };
                const result = await registry.synchronise(synchroniseParametersSchema.parse(parameters));
                return synchroniseResultSchema.parse(JSON.parse(JSON.stringify(result)));
            };
            await ask("far", report);
            for (const instance of ["a", "b", "c"]) {
                await ask(instance, sound);
            }
            await ask("far", { loads: {}, spending: {} });
            expect(await ask("a", sound)).to.deep.include({
                loads_elsewhere: {
                    u: { open: 4, unstarted: 2, tokens: 10, open_by_rank: [4], unstarted_by_rank: [2] },
                },
            });
        });
    }
});

/** Guards against a leader without processor time left, which confirmed nothing for seconds while changes came in quick succession. */
describe("the work for an answer does not grow with the number of entries", () => {
    /** A record, its replacement, and the answer. */
    const MAX_READS_PER_ANSWER = 4;
    const ROUNDS = 5;
    for (const entries of [9, 59, 195]) {
        it(`${String(entries)} entries`, async () => {
            let reads = 0;
            const observe = <Report extends object>(report: Report): Report =>
                new Proxy(report, {
                    ownKeys: (target) => {
                        reads += 1;
                        return Reflect.ownKeys(target);
                    },
                });
            let nowMs = 0;
            const registry = new EntryRegistry({
                host: createHost(new FleetState()),
                getNowMs: () => nowMs,
                rollout: noRollout,
                listSuspects: () => [],
                limits: noLimits,
            });
            let answers = 0;
            for (let round = 0; round < ROUNDS; round += 1) {
                for (let entry = 0; entry < entries; entry += 1) {
                    nowMs += 1;
                    answers += 1;
                    await registry.synchronise({
                        instance: `i${String(entry)}`,
                        // 0 would mean that the entry has restarted.
                        known_index: round,
                        may_wait: false,
                        loads: observe({ u: { open: 2, unstarted: 1 } }),
                        spending: observe({ s: { requests: 1, repeats: 0, lost: 0 } }),
                    });
                }
            }
            // Loads and spending are two reports.
            expect(reads / answers).to.be.at.most(2 * MAX_READS_PER_ANSWER);
        });
    }
});

describe("a follower tells entries which document it has applied", () => {
    it("with its age, and for how long the entry lacks it", async () => {
        const state = new FleetState();
        state.apply({ kind: "put-document", version: 7, packed: "" }, 1);
        const registry = new EntryRegistry({
            host: createHost(state, () => 1, false),
            getNowMs: () => 0,
            rollout: { ageMs: 300, getBehindMs: () => 400, recordApplied: () => undefined },
            listSuspects: () => [],
            limits: noLimits,
        });
        const result = await registry.synchronise({ instance: "i", known_index: 0, loads: {}, applied_version: 5 });
        expect(result).to.deep.equal({
            kind: "not-leader",
            document_version: 7,
            document_age_ms: 300,
            behind_ms: 400,
        });
    });
});

/** Guards against entries that repeat their requests while no voter leads. */
describe("a voter holds the request of an entry that waits for a leader", () => {
    const other = { id: "w", address: "w" };
    const HELD_MS = 800;
    const rows: readonly {
        readonly title: string;
        readonly awaitsLeader: boolean;
        readonly lateLeader?: string;
        /** Version that the entry knows of, where the voter has a newer one. */
        readonly knownVersion?: number;
        readonly leaderMs: number;
        readonly minMs: number;
        readonly maxMs: number;
    }[] = [
        { title: "until it follows one", awaitsLeader: true, leaderMs: 300, minMs: 300, maxMs: 350 },
        {
            title: "no longer than an entry waits",
            awaitsLeader: true,
            leaderMs: 5_000,
            minMs: HELD_MS,
            maxMs: HELD_MS + 50,
        },
        { title: "not if it follows one already", awaitsLeader: true, leaderMs: 0, minMs: 0, maxMs: 0 },
        {
            title: "while it follows one that does not answer the entry",
            awaitsLeader: true,
            lateLeader: "w",
            leaderMs: 0,
            minMs: HELD_MS,
            maxMs: HELD_MS + 50,
        },
        {
            title: "not if it has a newer version than the entry knows of",
            awaitsLeader: true,
            lateLeader: "w",
            knownVersion: 1,
            leaderMs: 0,
            minMs: 0,
            maxMs: 0,
        },
        { title: "not if the entry does not ask for it", awaitsLeader: false, leaderMs: 5_000, minMs: 0, maxMs: 0 },
    ];
    for (const { title, awaitsLeader, lateLeader, knownVersion, leaderMs, minMs, maxMs } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
            try {
                const startMs = performance.now();
                const replica = {
                    hasLeaderLease: () => false,
                    getStatus: () => ({
                        leader: performance.now() - startMs >= leaderMs ? other : undefined,
                        term: 1,
                        commitIndex: 1,
                        replicas: { voters: [self, other], learners: [] },
                    }),
                };
                const state = new FleetState();
                if (knownVersion !== undefined) {
                    state.apply({ kind: "put-document", version: knownVersion + 1, packed: "" }, 1);
                }
                const registry = new EntryRegistry({
                    host: { state, self, replica } as unknown as FleetReplicaHost,
                    getNowMs: () => performance.now(),
                    rollout: noRollout,
                    listSuspects: () => [],
                    limits: noLimits,
                });
                const parameters = {
                    instance: "e",
                    known_index: 0,
                    loads: {},
                    awaits_leader: awaitsLeader,
                    ...(lateLeader === undefined ? {} : { late_leader: lateLeader }),
                    ...(knownVersion === undefined ? {} : { known_version: knownVersion }),
                };
                let answeredMs: number | undefined;
                const result = registry.synchronise(parameters).finally(() => {
                    answeredMs = performance.now() - startMs;
                });
                await clock.tickAsync(leaderMs + HELD_MS);
                expect(answeredMs).to.be.within(minMs, maxMs);
                expect(await result).to.include({ kind: "not-leader" });
            }
            finally {
                clock.uninstall();
            }
        });
    }
});
