import { emptyConfiguration, type Order, upstreamSchema } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { EngineFunctions } from "../src/connection/engineClient.js";
import { PlacementReconciler, type PlacementReconcilerOptions } from "../src/process/daemon/placementReconciler.js";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";
import { ConfigurationInForce } from "../src/version/configurationInForce.js";

const LEASE_MS = 700;
const ORDER_LIFE_MS = 1_000;
const ROUND_MS = 200;

const wanted = { model: "m", version: "v1", first_layer: 0, end_layer: 4 };
const placement = { upstream: "e", ...wanted };

/** A leader, one engine, and what is sent to it. */
class LeaderAndEngine {
    readonly orders: Order[] = [];
    hasLease = true;
    term = 3;
    readonly state: UpstreamState;
    readonly sender: PlacementReconciler;

    constructor(checks_fence: boolean) {
        const upstream = upstreamSchema.parse({ name: "e", kind: "engine", address: "127.0.0.1:1", checks_fence });
        const sendOrder = (order: Order): Promise<{ kind: "accepted"; }> => {
            this.orders.push(order);
            return Promise.resolve({ kind: "accepted" });
        };
        this.state = new UpstreamState(upstream, { sendOrder } as unknown as EngineFunctions);
        this.report([]);
        const inForce = new ConfigurationInForce();
        inForce.apply({ ...emptyConfiguration, version: 1, upstreams: [upstream], placements: [placement] });
        this.sender = new PlacementReconciler({
            host: {
                replica: {
                    getStatus: () => ({ term: this.term, commitIndex: 9 }),
                    hasNewestState: () => this.hasLease,
                },
            } as unknown as PlacementReconcilerOptions["host"],
            upstreams: { getAll: () => [this.state] } as unknown as PlacementReconcilerOptions["upstreams"],
            getView: () => inForce.get(),
            leaseMs: LEASE_MS,
            record: () => undefined,
        });
    }

    report(holds: readonly typeof wanted[]): void {
        const load = { running: 0, waiting: 0, kv_used: 0, kv_total: 1, age_ms: 0 };
        this.state.receiveStatus({ holds: [...holds], load, is_leaving: false }, 0);
    }
}

describe("orders leave only inside the lease, with the fence of the term", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let setup: LeaderAndEngine;

    const start = (checksFence: boolean): void => {
        setup = new LeaderAndEngine(checksFence);
        setup.sender.start();
    };

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setInterval", "clearInterval", "performance"] });
    });

    afterEach(() => {
        setup.sender.stop();
        clock.uninstall();
    });

    it("an engine that holds other layers is told what to hold", async () => {
        start(true);
        await clock.tickAsync(ROUND_MS);
        expect(setup.orders).to.deep.equal([{
            fence: { term: 3, index: 9 },
            life_ms: ORDER_LIFE_MS,
            holds: [wanted],
        }]);
    });

    it("one that holds them already is left alone", async () => {
        start(true);
        setup.report([wanted]);
        await clock.tickAsync(ROUND_MS * 5);
        expect(setup.orders).to.deep.equal([]);
    });

    it("without a lease nothing is sent", async () => {
        start(true);
        setup.hasLease = false;
        await clock.tickAsync(ROUND_MS * 5);
        expect(setup.orders).to.deep.equal([]);
    });

    it("an engine that does not check fences gets nothing before all older orders are void", async () => {
        start(false);
        await clock.tickAsync(LEASE_MS + ORDER_LIFE_MS);
        expect(setup.orders).to.deep.equal([]);
        await clock.tickAsync(ROUND_MS * 2);
        expect(setup.orders).to.have.length.above(0);
    });

    it("and again waits after the next change of leader", async () => {
        start(false);
        await clock.tickAsync(LEASE_MS + ORDER_LIFE_MS + ROUND_MS * 2);
        setup.orders.length = 0;
        setup.term = 5;
        await clock.tickAsync(LEASE_MS + ORDER_LIFE_MS - ROUND_MS);
        expect(setup.orders).to.deep.equal([]);
    });
});
