import { FleetState } from "@crankfork/coordination";
import type { LimitsKnown, ReportedLimits } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { waitMs } from "../src/process/waitMs.js";
import { noRollout } from "./configurationFakes.js";
import { noLimits } from "./limitFakes.js";

const self = { id: "v", address: "v" };
const LATENCY_MS = 1;
const CHANGE_MS = 10;
const STORM_MS = 1_000;

/** A leader that holds its lease. */
function createHost(state: FleetState, getTerm: () => number = () => 1): FleetReplicaHost {
    return {
        state,
        self,
        replica: {
            hasNewestState: () => true,
            getStatus: () => ({
                leader: self,
                term: getTerm(),
                commitIndex: 1,
                replicas: { voters: [self], learners: [] },
            }),
        },
    } as unknown as FleetReplicaHost;
}

/** An entry that asks again as soon as it was answered. */
async function runEntry(
    register: EntryRegistry,
    instance: string,
    heard: { answers: number; readonly known: Map<string, number>; isOver: boolean; },
): Promise<void> {
    while (!heard.isOver) {
        await waitMs(LATENCY_MS);
        const known_index = heard.known.get(instance) ?? 0;
        const result = await register.synchronise({ instance, known_index, loads: {} });
        heard.answers += 1;
        heard.known.set(instance, result.kind === "state" ? result.index : known_index);
    }
}

describe("changes in quick succession are told to many entries together", () => {
    // Once at the first change, then once in each gap: entries x (1 + 1,000 ms / gap), and some more.
    const rows = [
        { title: "9 entries", entries: 9, mostAnswers: 1_100 },
        { title: "75 entries", entries: 75, mostAnswers: 1_100 },
        { title: "195 entries", entries: 195, mostAnswers: 1_200 },
        { title: "1,000 entries", entries: 1_000, mostAnswers: 3_100 },
    ];
    for (const { title, entries, mostAnswers } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
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
            const heard = { answers: 0, known: new Map<string, number>(), isOver: false };
            for (let number = 0; number < entries; number += 1) {
                void runEntry(register, `e${String(number)}`, heard);
            }
            await clock.tickAsync(1_500);
            heard.answers = 0;
            for (let ms = 0; ms < STORM_MS; ms += CHANGE_MS) {
                change();
                await clock.tickAsync(CHANGE_MS);
            }
            const { answers } = heard;
            // A change after a quiet time is told at once: whoever waits is answered in the same turn.
            await clock.tickAsync(entries + 200);
            change();
            await clock.tickAsync(LATENCY_MS + 1);
            const behind = [...heard.known.values()].filter((known) => known < index).length;
            heard.isOver = true;
            register.handleStateChange();
            await clock.tickAsync(2_000);
            clock.uninstall();
            expect(answers, "answers in a second of changes").to.be.below(mostAnswers);
            expect(behind, "entries that lack a change after a quiet time").to.be.below(entries / 3);
        });
    }
});

describe("an entry is told what the others sent", () => {
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

    /** Asks as an entry that lacks the last change, so that it is answered at once. */
    async function tell(instance: string, requests: number, repeats: number, known_index: number = 6): Promise<object> {
        const spending = { s: { requests, repeats } };
        nowMs += 600;
        const told = await register.synchronise({ instance, known_index, loads: {}, spending });
        return told.kind === "state" ? told : {};
    }

    it("summed, without its own", async () => {
        await tell("one", 30, 2);
        await tell("two", 40, 5);
        expect(await tell("three", 9, 9)).to.deep.include({ spending_elsewhere: { s: { requests: 70, repeats: 7 } } });
    });

    it("also by those that have started anew since, until the window is over", async () => {
        await tell("one", 30, 2);
        await tell("one", 1, 0, 0);
        expect(await tell("two", 0, 0)).to.deep.include({ spending_elsewhere: { s: { requests: 31, repeats: 2 } } });
        nowMs += 11_000;
        await tell("one", 20, 1);
        expect(await tell("two", 0, 0)).to.deep.include({ spending_elsewhere: { s: { requests: 20, repeats: 1 } } });
    });

    it("with the time for which this leader has heard of it, which begins with its term", async () => {
        await tell("one", 1, 0);
        nowMs += 4_000;
        expect(await tell("two", 1, 0)).to.deep.include({ spending_known_ms: 4_600 });
        term += 1;
        await tell("one", 1, 0);
        expect(await tell("two", 1, 0)).to.deep.include({ spending_known_ms: 600 });
    });
});

describe("an entry that lacks a limit is answered at once", () => {
    const rows = [
        { title: "it lacks one", known: { term: 0, change: 0 }, isAtOnce: true },
        { title: "it knows all", known: { term: 3, change: 7 }, isAtOnce: false },
    ];
    for (const { title, known, isAtOnce } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
            const state = new FleetState();
            const host = createHost(state, () => 3);
            const limits = {
                hasUpdates: ({ change }: LimitsKnown): boolean => change < 7,
                listUpdates: (): ReportedLimits => ({ term: 3, change: 7, limits: [] }),
            };
            const register = new EntryRegistry({
                host,
                getNowMs: () => performance.now(),
                rollout: noRollout,
                listSuspects: () => [],
                limits,
            });
            let isAnswered = false;
            void register.synchronise({ instance: "e", known_index: state.lastChange, loads: {}, limits_known: known })
                .then(() => {
                    isAnswered = true;
                });
            await clock.tickAsync(LATENCY_MS);
            expect(isAnswered).to.equal(isAtOnce);
            await clock.tickAsync(1_000);
            clock.uninstall();
            expect(isAnswered).to.equal(true);
        });
    }
});
