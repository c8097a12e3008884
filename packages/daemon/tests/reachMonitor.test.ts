import type { RegisteredUpstream } from "@crankfork/schemas";
import { expect } from "chai";
import { ReachMonitor } from "../src/process/entry/reachMonitor.js";
import type { OthersReach } from "../src/process/entry/relayPool.js";
import { installClock, type InstalledClock } from "./installedClock.js";

const DOMAINS = ["d1", "d2", "d3"];
const UPSTREAMS = 12;

/** An entry among twelve upstreams in three failure domains. */
class Scene {
    /** Upstreams that the entry reaches, by number. */
    isReached: (upstream: number) => boolean = () => true;
    /** Whether a connection that is not established is refused at once. */
    isRefused = false;
    others: OthersReach = { others: 3, reachedByOthers: 4 };
    silentMs = 0;
    /** Time for which the process stood still. */
    asleepMs = 0;
    probes = 0;
    readonly changes: boolean[] = [];
    readonly monitor: ReachMonitor;

    constructor(private readonly clock: InstalledClock) {
        let draws = 0;
        this.monitor = new ReachMonitor({
            getNowMs: () => performance.now() + this.asleepMs,
            log: { record: () => undefined },
            metrics: { recordCutOff: () => undefined },
            random: () => (draws++ * 0.37) % 1,
            listUpstreams: () =>
                Array.from({ length: UPSTREAMS }, (_unused, number) =>
                    ({
                        id: `u${String(number)}`,
                        address: String(number),
                        failure_domain: DOMAINS[number % DOMAINS.length],
                    }) as RegisteredUpstream),
            probe: async (address, timeoutMs) => {
                this.probes += 1;
                const isReached = this.isReached(Number(address));
                if (!isReached && !this.isRefused) {
                    await new Promise((resolve) => setTimeout(resolve, timeoutMs));
                }
                return isReached;
            },
            queryOthers: () => Promise.resolve(this.others),
            getSilentMs: () => this.silentMs,
            handleChange: (isCutOff) => this.changes.push(isCutOff),
        });
        this.monitor.start();
    }

    async pass(ms: number): Promise<void> {
        await this.clock.tickAsync(ms);
    }
}

describe("an entry takes itself for cut off only if it reaches no upstream and other entries do", () => {
    const isNone = (): boolean => false;
    const rows: readonly {
        readonly title: string;
        readonly set: (scene: Scene) => void;
        readonly isCutOff: boolean;
    }[] = [
        { title: "all connections hang", set: (scene) => (scene.isReached = isNone), isCutOff: true },
        {
            title: "all connections are refused",
            set: (scene) => {
                scene.isReached = isNone;
                scene.isRefused = true;
            },
            isCutOff: true,
        },
        { title: "one upstream failed", set: (scene) => (scene.isReached = (number) => number !== 0), isCutOff: false },
        {
            title: "two of three failure domains are out of reach",
            set: (scene) => (scene.isReached = (number) => number % DOMAINS.length === 0),
            isCutOff: false,
        },
        {
            title: "all upstreams failed, and nobody reaches them",
            set: (scene) => {
                scene.isReached = isNone;
                scene.others = { others: 3, reachedByOthers: 0 };
            },
            isCutOff: false,
        },
        {
            title: "no other entry answers",
            set: (scene) => {
                scene.isReached = isNone;
                scene.others = { others: 0, reachedByOthers: 0 };
            },
            isCutOff: false,
        },
        {
            title: "all upstreams are silent for a second and can be connected to",
            set: () => undefined,
            isCutOff: false,
        },
    ];
    let clock: InstalledClock;
    beforeEach(() => {
        clock = installClock();
    });
    afterEach(() => {
        clock.uninstall();
    });
    for (const { title, set, isCutOff } of rows) {
        it(`${title}: ${isCutOff ? "cut off" : "not cut off"}, within 1.5 s of silence`, async () => {
            const scene = new Scene(clock);
            set(scene);
            scene.silentMs = 300;
            await scene.pass(1_500);
            expect(scene.monitor.isCutOff).to.equal(isCutOff);
        });

        it(`${title}: ${isCutOff ? "cut off" : "not cut off"}, after a failed exchange`, async () => {
            const scene = new Scene(clock);
            set(scene);
            const check = scene.monitor.checkAfterFailure();
            await scene.pass(1_000);
            expect(await check).to.equal(isCutOff);
        });
    }

    it("nothing is probed while upstreams answer", async () => {
        const scene = new Scene(clock);
        scene.silentMs = 240;
        await scene.pass(10_000);
        expect(scene.probes).to.equal(0);
    });

    it("silence while the process itself stood still is not checked", async () => {
        const scene = new Scene(clock);
        await scene.pass(1_000);
        scene.asleepMs = 4_000;
        scene.silentMs = 4_000;
        scene.isReached = isNone;
        await scene.pass(100);
        expect(scene.probes).to.equal(0);
    });

    it("the end is noticed within two seconds of healing, and a link that comes back for half a second does not end it", async () => {
        const scene = new Scene(clock);
        scene.isReached = isNone;
        void scene.monitor.checkAfterFailure();
        await scene.pass(2_000);
        for (let times = 0; times < 5; times += 1) {
            scene.isReached = () => true;
            await scene.pass(500);
            scene.isReached = isNone;
            await scene.pass(1_000);
        }
        expect(scene.changes).to.deep.equal([true]);
        scene.isReached = () => true;
        await scene.pass(2_000);
        expect(scene.changes).to.deep.equal([true, false]);
    });
});
