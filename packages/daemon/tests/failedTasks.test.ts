/** Guards against loops and periodic tasks that end, or end the process, because one round of them failed. */
import type { RegisteredUpstream } from "@crankfork/schemas";
import { expect } from "chai";
import { DocumentLoader } from "../src/process/entry/documentLoader.js";
import { LeaderNotifier } from "../src/process/entry/leaderNotifier.js";
import { LeaderSync } from "../src/process/entry/leaderSync.js";
import { getPathKey } from "../src/process/entry/pathKey.js";
import { PathStallDetector } from "../src/process/entry/pathStallDetector.js";
import { ReachMonitor } from "../src/process/entry/reachMonitor.js";
import { StateWatch } from "../src/process/entry/stateWatch.js";
import { UpstreamContact } from "../src/process/entry/upstreamContact.js";
import { SlownessMonitor } from "../src/process/layers/slownessMonitor.js";
import { startPeriodicTask } from "../src/process/startPeriodicTask.js";
import { runForEach, startTimer } from "../src/process/startTask.js";
import { watchTaskFailures } from "../src/process/taskFailures.js";
import { VoterGroup } from "../src/process/voter/voterGroup.js";
import { waitMs } from "../src/process/waitMs.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { LeaderHarness, log } from "./leaderHarness.js";

const OBSERVED_MS = 10_000;
const MAX_TIMER_MS = 2 ** 31 - 1;

const peers = { call: () => Promise.reject(new Error("refused")), send: (): void => undefined };
const getNowMs = (): number => performance.now();
const random = (): number => 0;
const upstream = { id: "u", address: "u", failure_domain: "d" } as RegisteredUpstream;

/** Fails at its first call; the later ones are counted. */
class Fault {
    laterCalls = 0;
    private isFirst = true;

    readonly pass = <Value>(value: Value): Value => {
        if (this.isFirst) {
            this.isFirst = false;
            throw new Error("injected");
        }
        this.laterCalls += 1;
        return value;
    };
}

const rows: readonly {
    readonly title: string;
    readonly task: string;
    /** Starts the loop, and returns what ends it. */
    readonly start: (fault: Fault) => () => void;
}[] = [
    {
        title: "a periodic task that throws",
        task: "t",
        start: (fault) =>
            startPeriodicTask("t", 100, () => {
                fault.pass(0);
            }),
    },
    {
        title: "a periodic task that rejects",
        task: "t",
        start: (fault) =>
            startPeriodicTask("t", 100, async () => {
                await waitMs(1);
                fault.pass(0);
            }),
    },
    {
        title: "the synchronisation with the leader",
        task: "leader-sync",
        start: (fault) => {
            const sync = new LeaderSync({
                peers,
                log,
                getNowMs,
                getLastResumeMs: () => Number.NEGATIVE_INFINITY,
                getSeeds: () => fault.pass(["v1", "v2"]),
                instance: "e",
                createParameters: () => ({ instance: "e", known_index: 1, loads: {} }),
                takeSuspects: () => [],
                handleState: () => undefined,
                getAppliedVersion: () => undefined,
                handleDocument: () => undefined,
                random,
            });
            sync.start();
            return () => {
                sync.stop();
            };
        },
    },
    {
        title: "the watch of the state",
        task: "state-watch",
        start: (fault) => {
            const watch = new StateWatch({
                peers,
                log,
                getNowMs,
                listFollowers: () => ["v1", "v2"],
                createParameters: () => fault.pass({ instance: "e", known_index: 1 }),
                handleResult: () => undefined,
                random,
            });
            watch.start();
            return () => {
                watch.stop();
            };
        },
    },
    {
        title: "reports to the leader",
        task: "leader-notice",
        start: (fault) => {
            let isStopped = false;
            const notifier = new LeaderNotifier({
                hasPending: () => !isStopped,
                send: () => Promise.resolve(fault.pass(false)),
                batchMs: 10,
            });
            void notifier.run();
            return () => {
                isStopped = true;
            };
        },
    },
    {
        title: "the load of a document",
        task: "document-load",
        start: (fault) => {
            const loader = new DocumentLoader({
                peers,
                log,
                random: () => fault.pass(0),
                getAppliedVersion: () => undefined,
                handleDocument: () => undefined,
            });
            loader.setTarget(1, "v1", ["v1", "v2"]);
            return () => {
                loader.stop();
            };
        },
    },
    {
        title: "the check whether an entry is cut off",
        task: "reach-check",
        start: (fault) => {
            new ReachMonitor({
                getNowMs,
                log,
                metrics: { recordCutOff: () => undefined },
                random,
                listUpstreams: () => [upstream],
                probe: () => Promise.resolve(fault.pass(false)),
                queryOthers: () => Promise.resolve({ others: 0, reachedByOthers: 0 }),
                getSilentMs: () => OBSERVED_MS,
                handleChange: () => undefined,
            }).start();
            return () => undefined;
        },
    },
    {
        title: "the check of paths",
        task: "path-check",
        start: (fault) => {
            let isChecking = false;
            const detector = new PathStallDetector({
                getNowMs: () => isChecking ? fault.pass(performance.now()) : performance.now(),
                handleStall: () => undefined,
            });
            const tracker = detector.follow(getPathKey([]), 1_000, () => undefined);
            isChecking = true;
            return () => {
                tracker.close();
            };
        },
    },
    {
        title: "the report of contact with upstreams",
        task: "upstream-contact",
        start: (fault) => {
            const metrics = { recordUpstreamContact: () => fault.pass(undefined) };
            return new UpstreamContact({ getNowMs, log, metrics }).start();
        },
    },
    {
        title: "the check of the voters",
        task: "voter-group",
        start: (fault) => {
            const { host } = new LeaderHarness();
            const getStatus = host.replica.getStatus.bind(host.replica);
            host.replica.getStatus = () => fault.pass(getStatus());
            const group = new VoterGroup({ host, peers, log, getNowMs, getSeeds: () => [], toleratedLosses: 1 });
            group.start();
            return () => {
                group.stop();
            };
        },
    },
    {
        title: "a change of the voters",
        task: "voter-group",
        start: (fault) => {
            const { host } = new LeaderHarness();
            host.replica.changeReplicas = () =>
                fault.pass(Promise.resolve({ kind: "refused", reason: "another-change-is-open" }));
            const group = new VoterGroup({ host, peers, log, getNowMs, getSeeds: () => [], toleratedLosses: 1 });
            group.handleJoinRequest({ id: "joining", address: "joining" });
            group.start();
            return () => {
                group.stop();
            };
        },
    },
    {
        title: "placement",
        task: "placement",
        start: (fault) => {
            const { host, placement } = new LeaderHarness();
            host.state.listUpstreams = () => fault.pass([]);
            placement.start();
            return () => {
                placement.stop();
            };
        },
    },
    {
        title: "polls for slowness",
        task: "slowness-poll",
        start: (fault) => {
            const { host, upstreams, control } = new LeaderHarness();
            const monitor = new SlownessMonitor({ host, upstreams, control, takeLoopUse: () => fault.pass(0) });
            monitor.start();
            return () => {
                monitor.stop();
            };
        },
    },
];

describe("a failed round does not end its loop", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    for (const { title, task, start } of rows) {
        it(title, async () => {
            const failed: string[] = [];
            const stopWatch = watchTaskFailures((name, error) => failed.push(`${name} ${(error as Error).message}`));
            const fault = new Fault();
            const stop = start(fault);
            await clock.tickAsync(OBSERVED_MS);
            stop();
            await clock.tickAsync(OBSERVED_MS);
            stopWatch();
            expect(failed).to.deep.equal([`${task} injected`]);
            expect(fault.laterCalls).to.be.at.least(3);
        });
    }
});

describe("a failure of one item leaves the others as they are", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const collect = (run: () => void): readonly string[] => {
        const failed: string[] = [];
        const stop = watchTaskFailures((task) => failed.push(task));
        run();
        stop();
        return failed;
    };

    it("in general", () => {
        const done: number[] = [];
        const failed = collect(() => {
            runForEach("t", [1, 2, 3], (item) => {
                if (item === 2) {
                    throw new Error("injected");
                }
                done.push(item);
            });
        });
        expect([done, failed]).to.deep.equal([[1, 3], ["t"]]);
    });

    it("silent upstreams of which one can't be marked lost", async () => {
        const harness = new LeaderHarness();
        await harness.register("u1");
        await harness.register("u2");
        await harness.register("u3");
        await clock.tickAsync(60_000);
        const lost: string[] = [];
        harness.upstreams.markLost = ({ id }) => {
            if (id === "u1") {
                throw new Error("injected");
            }
            lost.push(id);
        };
        const failed = collect(() => {
            harness.upstreams.markSilentUpstreams();
        });
        expect([lost, failed]).to.deep.equal([["u2", "u3"], ["silence-check"]]);
    });
});

describe("a time beyond the range of timers does not fire at once", () => {
    const durations = [MAX_TIMER_MS, MAX_TIMER_MS + 1, 2.5e20, Number.MAX_VALUE, Number.POSITIVE_INFINITY, Number.NaN];
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    for (const durationMs of durations) {
        it(String(durationMs), async () => {
            let fired = 0;
            const count = (): number => fired += 1;
            startTimer("t", durationMs, count);
            startPeriodicTask("t", durationMs, count);
            void waitMs(durationMs).then(count);
            await clock.tickAsync(MAX_TIMER_MS - 1);
            const early = fired;
            await clock.tickAsync(1);
            expect([early, fired]).to.deep.equal([0, 3]);
        });
    }
});
