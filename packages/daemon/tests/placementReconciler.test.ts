import { emptyConfiguration, type Order, upstreamSchema } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { EngineClient } from "../src/connection/engineClient.js";
import { PlacementReconciler, type PlacementReconcilerOptions } from "../src/process/daemon/placementReconciler.js";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";
import { ActiveConfiguration } from "../src/version/activeConfiguration.js";

const LEASE_MS = 700;
const ORDER_TTL_MS = 1_000;
const RECONCILE_INTERVAL_MS = 200;

const wanted = { model: "m", version: "v1", first_layer: 0, end_layer: 4 };
const placement = { upstream: "e", ...wanted };

/** A leader, one engine, and the orders sent to it. */
class ReconcilerSetup {
    readonly orders: Order[] = [];
    hasLease = true;
    term = 3;
    readonly state: UpstreamState;
    readonly reconciler: PlacementReconciler;

    constructor(checks_fence: boolean) {
        const upstream = upstreamSchema.parse({ name: "e", kind: "engine", address: "127.0.0.1:1", checks_fence });
        const sendOrder = (order: Order): Promise<{ kind: "accepted"; }> => {
            this.orders.push(order);
            return Promise.resolve({ kind: "accepted" });
        };
        this.state = new UpstreamState(upstream, { sendOrder } as unknown as EngineClient);
        this.reportHolds([]);
        const inForce = new ActiveConfiguration();
        inForce.apply({ ...emptyConfiguration, version: 1, upstreams: [upstream], placements: [placement] });
        this.reconciler = new PlacementReconciler({
            host: {
                replica: {
                    getStatus: () => ({ term: this.term, commitIndex: 9 }),
                    hasLeaderLease: () => this.hasLease,
                },
            } as unknown as PlacementReconcilerOptions["host"],
            upstreams: { getAll: () => [this.state] } as unknown as PlacementReconcilerOptions["upstreams"],
            getView: () => inForce.get(),
            leaseMs: LEASE_MS,
            record: () => undefined,
        });
    }

    reportHolds(holds: readonly typeof wanted[]): void {
        const load = { running: 0, waiting: 0, kv_used: 0, kv_total: 1, age_ms: 0 };
        this.state.receiveStatus({ holds: [...holds], load, is_leaving: false }, 0);
    }
}

describe("orders are sent only within the lease, with a fencing token of the current term", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let setup: ReconcilerSetup;

    const start = (checksFence: boolean): void => {
        setup = new ReconcilerSetup(checksFence);
        setup.reconciler.start();
    };

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setInterval", "clearInterval", "performance"] });
    });

    afterEach(() => {
        setup.reconciler.stop();
        clock.uninstall();
    });

    it("sends an order to an engine that holds other layers", async () => {
        start(true);
        await clock.tickAsync(RECONCILE_INTERVAL_MS);
        expect(setup.orders).to.deep.equal([{
            fence: { term: 3, index: 9 },
            life_ms: ORDER_TTL_MS,
            holds: [wanted],
        }]);
    });

    it("sends nothing to an engine that already holds the wanted layers", async () => {
        start(true);
        setup.reportHolds([wanted]);
        await clock.tickAsync(RECONCILE_INTERVAL_MS * 5);
        expect(setup.orders).to.deep.equal([]);
    });

    it("sends nothing without a lease", async () => {
        start(true);
        setup.hasLease = false;
        await clock.tickAsync(RECONCILE_INTERVAL_MS * 5);
        expect(setup.orders).to.deep.equal([]);
    });

    it("waits until older orders have expired if the engine does not check fencing tokens", async () => {
        start(false);
        await clock.tickAsync(LEASE_MS + ORDER_TTL_MS);
        expect(setup.orders).to.deep.equal([]);
        await clock.tickAsync(RECONCILE_INTERVAL_MS * 2);
        expect(setup.orders).to.have.length.above(0);
    });

    it("waits again after the next leader change", async () => {
        start(false);
        await clock.tickAsync(LEASE_MS + ORDER_TTL_MS + RECONCILE_INTERVAL_MS * 2);
        setup.orders.length = 0;
        setup.term = 5;
        await clock.tickAsync(LEASE_MS + ORDER_TTL_MS - RECONCILE_INTERVAL_MS);
        expect(setup.orders).to.deep.equal([]);
    });
});
