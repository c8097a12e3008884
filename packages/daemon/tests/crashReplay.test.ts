/**
 * Guards against a request that is sent on after it crashed three workers: the record of a crash is lost where its entry
 * restarts before the voters have stored it, and an entry does not know the crashes at others for some time.
 */
import { expect } from "chai";
import { waitMs } from "../src/process/waitMs.js";
import { CrashReplay, type CrashReplayOptions } from "./crashReplay.js";
import { installClock, type InstalledClock } from "./installedClock.js";

/** Time from the third crash until all entries must refuse the request, and the sends tolerated after that. */
const PROPAGATION_MS = 3_000;
const MAX_LATER_SENDS = 3;
/** Time for which callers go on; shorter than the time to a trial. */
const RUN_MS = 20_000;

const steady: Omit<CrashReplayOptions, "seed" | "injectFaults"> = {
    entries: 3,
    callers: 1,
    maxCommitMs: 30,
    maxPushMs: 60,
};
/** Processes that wait for the processor. */
const starved = { ...steady, maxCommitMs: 400, maxPushMs: 1_000 };

describe("a request that crashes workers is not sent on while leaders change and entries restart", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    async function run(options: CrashReplayOptions): Promise<CrashReplay> {
        const replay = new CrashReplay(options);
        const running = replay.run(RUN_MS);
        for (let ms = 0; ms < RUN_MS + 5_000; ms += 1_000) {
            await clock.tickAsync(1_000);
        }
        await running;
        return replay;
    }

    const all = ({ entries }: { readonly entries: number; }): readonly number[] =>
        Array.from({ length: entries }, (_one, entry) => entry);

    const rows: readonly {
        readonly title: string;
        readonly load: Omit<CrashReplayOptions, "seed" | "injectFaults">;
        /** Faults at a moment, in milliseconds from the first request. */
        readonly injectFaults: (replay: CrashReplay, momentMs: number) => Promise<void>;
        readonly momentsMs: readonly number[];
    }[] = [
        {
            title: "no fault",
            load: starved,
            injectFaults: () => Promise.resolve(),
            momentsMs: listMoments(0, 40),
        },
        {
            title: "no fault, callers at all entries at once",
            load: { ...starved, entries: 9, callers: 6 },
            injectFaults: () => Promise.resolve(),
            momentsMs: listMoments(0, 20),
        },
        {
            title: "all entries restart between crash and commit",
            load: starved,
            injectFaults: async (replay, momentMs) => {
                await waitMs(momentMs);
                await replay.restart(all(starved), 300);
            },
            momentsMs: listMoments(25, 60),
        },
        {
            title: "one entry after another restarts",
            load: starved,
            injectFaults: async (replay, momentMs) => {
                for (const entry of [0, 1, 2, 0, 1, 2]) {
                    await waitMs(momentMs);
                    await replay.restart([entry], 300);
                }
            },
            momentsMs: listMoments(25, 40),
        },
        {
            title: "no leader for eight seconds, and all entries restart meanwhile",
            load: starved,
            injectFaults: async (replay, momentMs) => {
                const isBack = replay.loseLeader(8_000);
                await waitMs(momentMs);
                await replay.restart(all(starved), 300);
                await isBack;
            },
            momentsMs: listMoments(100, 80),
        },
        {
            title: "no leader for four seconds, all entries restart, and no leader again",
            load: starved,
            injectFaults: async (replay, momentMs) => {
                const isBack = replay.loseLeader(4_000);
                await waitMs(momentMs);
                await replay.restart(all(starved), 300);
                await isBack;
                await waitMs(momentMs / 8);
                await replay.loseLeader(4_000);
            },
            momentsMs: listMoments(100, 60),
        },
        {
            title: "a new leader every half second",
            load: starved,
            injectFaults: async (replay, momentMs) => {
                await waitMs(momentMs);
                for (let change = 0; change < 12; change += 1) {
                    await replay.loseLeader(200);
                    await waitMs(300);
                }
            },
            momentsMs: listMoments(25, 40),
        },
    ];
    for (const { title, load, injectFaults, momentsMs } of rows) {
        it(title, async () => {
            const later: Record<string, number> = {};
            for (const [number, momentMs] of momentsMs.entries()) {
                const replay = await run({
                    ...load,
                    seed: number + 1,
                    injectFaults: (one) => injectFaults(one, momentMs),
                });
                expect(replay.arrivalsMs.length).to.be.at.least(3);
                const count = replay.countLater(PROPAGATION_MS);
                if (count > MAX_LATER_SENDS) {
                    later[`seed ${String(number + 1)} at ${String(momentMs)} ms`] = count;
                }
            }
            expect(later).to.deep.equal({});
        });
    }

    it("a request in one crash by chance is sent again at its next attempt", async () => {
        const refused: Record<string, number> = {};
        for (let seed = 1; seed <= 40; seed += 1) {
            const injectFaults = (): Promise<void> => Promise.resolve();
            const replay = await run({ ...steady, entries: 9, seed, injectFaults, crashingSends: 1 });
            if (replay.refused > 0) {
                refused[`seed ${String(seed)}`] = replay.refused;
            }
        }
        expect(refused).to.deep.equal({});
    });
});

function listMoments(stepMs: number, count: number): readonly number[] {
    return Array.from({ length: count }, (_one, number) => number * stepMs);
}
