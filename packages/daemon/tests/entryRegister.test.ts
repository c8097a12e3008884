import { FleetState } from "@crankfork/coordination";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { EntryRegister } from "../src/process/voter/entryRegister.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { waitMs } from "../src/process/waitMs.js";

const self = { id: "v", address: "v" };
const LATENCY_MS = 1;
const CHANGE_MS = 10;
const STORM_MS = 1_000;

/** An entry that asks again as soon as it was answered. */
async function runEntry(
    register: EntryRegister,
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
            const host = {
                state,
                self,
                replica: {
                    hasNewestState: () => true,
                    getStatus: () => ({ leader: self, replicas: { voters: [self], learners: [] } }),
                },
            } as unknown as FleetReplicaHost;
            const register = new EntryRegister({ host, getNowMs: () => performance.now(), listSuspects: () => [] });
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
                register.handleState();
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
            register.handleState();
            await clock.tickAsync(2_000);
            clock.uninstall();
            expect(answers, "answers in a second of changes").to.be.below(mostAnswers);
            expect(behind, "entries that lack a change after a quiet time").to.be.below(entries / 3);
        });
    }
});
