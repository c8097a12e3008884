/** Guards against entries that ask voters without pause, or stop relying on their watch, while a leader is late or missing. */
import { expect } from "chai";
import { StateWatch } from "../src/process/entry/stateWatch.js";
import { waitMs } from "../src/process/waitMs.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { log } from "./leaderHarness.js";

const FOLLOWERS = ["v1", "v2", "v3", "v4"];
const OBSERVED_MS = 20_000;
/** As many requests as to a leader at its shortest hold. */
const MAX_REQUESTS = 100;
const HOLD_MS = 600;

interface Voter {
    readonly address: string;
    readonly staleMs: number | "unreachable";
    /** Time from which on it is reachable and fresh. */
    readonly freshFromMs?: number;
}

const rows: readonly {
    readonly title: string;
    readonly voters: readonly Voter[];
    readonly isActive: boolean;
    /** Voter that is watched in the end; any if absent. */
    readonly source?: string;
}[] = [
    { title: "all are fresh", voters: FOLLOWERS.map((address) => ({ address, staleMs: 0 })), isActive: true },
    { title: "all are stale", voters: FOLLOWERS.map((address) => ({ address, staleMs: 3_000 })), isActive: true },
    {
        title: "none is reachable",
        voters: FOLLOWERS.map((address) => ({ address, staleMs: "unreachable" as const })),
        isActive: false,
    },
    {
        title: "one is fresh",
        voters: FOLLOWERS.map((address) => ({ address, staleMs: address === "v4" ? 0 : 3_000 })),
        isActive: true,
        source: "v4",
    },
    {
        title: "one is stale, the others are unreachable",
        voters: FOLLOWERS.map((address) => ({ address, staleMs: address === "v2" ? 3_000 : "unreachable" as const })),
        isActive: true,
        source: "v2",
    },
    {
        title: "one is stale, and another one becomes reachable",
        voters: FOLLOWERS.map((address) => ({
            address,
            staleMs: address === "v2" ? 3_000 : "unreachable" as const,
            ...(address === "v3" ? { freshFromMs: 5_000 } : {}),
        })),
        isActive: true,
        source: "v3",
    },
];

describe("an entry watches the freshest voter that it reaches, with a bounded number of requests", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    for (const { title, voters, isActive, source } of rows) {
        it(title, async () => {
            const asked: string[] = [];
            const watch = new StateWatch({
                peers: {
                    call: async (address, _method, parameters) => {
                        asked.push(address);
                        const voter = voters.find((one) => one.address === address);
                        const isFresh = performance.now() >= (voter?.freshFromMs ?? Number.POSITIVE_INFINITY);
                        const staleMs = isFresh ? 0 : voter?.staleMs ?? "unreachable";
                        if (staleMs === "unreachable") {
                            throw new Error("refused");
                        }
                        await waitMs("may_wait" in parameters ? 1 : HOLD_MS);
                        return { index: 1, is_whole: false, upstreams: [], removed: [], stale_ms: staleMs };
                    },
                },
                log,
                getNowMs: () => performance.now(),
                listFollowers: () => FOLLOWERS,
                createParameters: () => ({ instance: "e", known_index: 1 }),
                handleResult: () => undefined,
                random: () => 0,
            });
            watch.start();
            await clock.tickAsync(OBSERVED_MS);
            const wasActive = watch.isActive;
            watch.stop();
            await clock.tickAsync(5_000);
            expect(asked.length).to.be.at.most(MAX_REQUESTS);
            expect(wasActive).to.equal(isActive);
            if (source !== undefined) {
                expect(asked.at(-1)).to.equal(source);
            }
        });
    }
});
