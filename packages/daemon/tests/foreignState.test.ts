import { computeChains, computeLayerPlan } from "@crankfork/decisions";
import { type EngineProfile, packDocument, type RoutingTable, type UpstreamFacts } from "@crankfork/schemas";
import { expect } from "chai";
import { describeChanges } from "../src/process/voter/describeState.js";
import { DocumentServices } from "../src/process/voter/documentServices.js";
import { UpstreamRegistry } from "../src/process/voter/upstreamRegistry.js";
import { FleetView } from "../src/version/fleetView.js";
import { log } from "./leaderHarness.js";
import { SingleReplica } from "./singleReplica.js";

const profile: EngineProfile = {
    layers: 8,
    layer_mb: 100,
    token_bytes: 0,
    capacity_tokens: 1,
    slots: 4,
    step_ms: 1,
    step_ms_a_request: 0,
    read_tokens_a_second: 1_000,
    load_ms: 1_000,
    usual_prompt_tokens: 1,
    usual_answer_tokens: 1,
    accelerators: [{ name: "x", memory_mb: 450, step_factor: 1, read_factor: 1 }],
};

function createTable(version: number, engine: Partial<EngineProfile> = {}): RoutingTable {
    return {
        version,
        routes: [],
        services: [{ name: "s", engine: { ...profile, ...engine } }],
        limits: { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1e20, idle_timeout_ms: 2.5e20 },
    };
}

function createFacts(id: string, more: Partial<UpstreamFacts> = {}): UpstreamFacts {
    return { id, service: "s", address: `${id}:1`, failure_domain: "d", slots: 1, accelerator: "x", ...more };
}

/** Values that the build before accepted at its ports and committed. */
const strangeUpstreams: readonly UpstreamFacts[] = [
    createFacts("million", { held: { first: 0, end: 1_000_000 } }),
    createFacts("huge", { held: { first: 5, end: Number.MAX_SAFE_INTEGER } }),
    createFacts("reversed", { held: { first: 7, end: 2 } }),
    createFacts("port", { address: "127.0.0.1:99999" }),
    createFacts("slots", { slots: Number.MAX_SAFE_INTEGER }),
    createFacts("__proto__@5", { life: { name: "__proto__", started_at_ms: 5 } }),
    createFacts("a00% \u0000\ud800", { failure_domain: "__proto__" }),
    createFacts("slow", { held: { first: 0, end: 8 }, slowness: 1e308 }),
];
const soundUpstreams = [
    createFacts("a", { held: { first: 0, end: 4 } }),
    createFacts("b", { held: { first: 4, end: 8 } }),
    createFacts("c"),
];

const rows = [
    { title: "from the log", snapshotThreshold: 1_000, engine: {} },
    { title: "from a snapshot", snapshotThreshold: 5, engine: {} },
    { title: "from the log, a model of 1e15 layers", snapshotThreshold: 1_000, engine: { layers: 1e15 } },
    { title: "from a snapshot, a model of 1e9 layers", snapshotThreshold: 5, engine: { layers: 1e9 } },
    { title: "from a snapshot, a model of half a layer", snapshotThreshold: 5, engine: { layers: 0.5 } },
];

describe("a voter starts with what the log holds, serves the sound upstreams and accepts a repair", () => {
    let replica: SingleReplica | undefined;

    afterEach(async () => {
        await replica?.close();
        replica = undefined;
    });

    for (const { title, snapshotThreshold, engine } of rows) {
        it(title, async () => {
            replica = await SingleReplica.open(snapshotThreshold);
            const put = (facts: UpstreamFacts): Promise<unknown> =>
                replica!.host.replica.propose({ kind: "put-upstream", facts, status: "ready" });
            await Promise.all([...strangeUpstreams, ...soundUpstreams].map(put));
            await put(createFacts("refused", { slots: 1e300 }));
            await replica.host.propose({
                kind: "put-document",
                version: 1,
                packed: packDocument(createTable(1, engine)),
            });
            const before = JSON.stringify(replica.host.state.getState());
            await replica.restart();
            const { host } = replica;
            expect(JSON.stringify(host.state.getState())).to.equal(before);
            expect(host.state.listUpstreams()).to.have.length(strangeUpstreams.length + soundUpstreams.length);

            const decodeDocument = (content: unknown): RoutingTable => content as RoutingTable;
            const services = new DocumentServices({ host, log, decodeDocument });
            expectPlanned(services);
            await host.propose({ kind: "put-document", version: 2, packed: packDocument(createTable(2)) });
            expectPlanned(services);
            const view = new FleetView();
            view.applyTable(createTable(2));
            view.applyUpstreams(describeChanges(host.state, 0));
            const chains = view.getChains(services.list()[0]!, (id) => id !== "slow", "");
            expect(chains.map(({ id }) => id)).to.deep.equal(["a+b"]);

            const upstreams = new UpstreamRegistry({
                host,
                log,
                getNowMs: () => performance.now(),
                heartbeatMs: 1_000,
                isServiceNamed: (service) => services.mayRegister(service),
            });
            for (const { id, life } of strangeUpstreams) {
                expect(await upstreams.removeUpstream(life?.name ?? id, life?.started_at_ms)).to.include({
                    kind: "done",
                });
            }
            await replica.restart();
            expect(replica.host.state.listUpstreams().map(({ id }) => id)).to.deep.equal(["a", "b", "c"]);
        });
    }

    function expectPlanned(services: DocumentServices): void {
        const { state } = replica!.host;
        const [service] = services.list();
        const engines = state.listUpstreams().map(({ id, failure_domain, held, slowness = 1 }) => ({
            id,
            address: id,
            failureDomain: failure_domain,
            accelerator: "x",
            span: held,
            slowness,
            mayBeOrdered: true,
        }));
        const named = computeLayerPlan(engines, service!.engine!).map(({ id }) => id);
        expect(named).to.not.include.members(["million"]).and.not.include.members(["huge"]);
        computeChains(
            engines.flatMap((one) => one.span === undefined ? [] : [{ ...one, span: one.span }]),
            service!.engine!,
        );
    }
});
