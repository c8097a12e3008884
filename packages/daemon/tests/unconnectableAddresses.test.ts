/** Guards against an upstream whose address can't be connected ending entries, or passing for a failure of their links. */
import { expect } from "chai";
import fc from "fast-check";
import { createPeerAgent } from "../src/connection/httpClient.js";
import { isConnectable } from "../src/connection/isConnectable.js";
import { probeConnection } from "../src/connection/probeConnection.js";
import { UpstreamConnections } from "../src/connection/upstreamConnections.js";
import { UpstreamLinks } from "../src/process/entry/upstreamLinks.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { FleetView } from "../src/version/fleetView.js";
import { createFullState } from "./fullState.js";
import { postToEntry } from "./postToEntry.js";
import { formatResponse, ScriptedUpstream, TestEntry } from "./routedHarness.js";

const PROBE_MS = 100;
const SEED = 82;

const rows: readonly { readonly title: string; readonly address: string; }[] = [
    { title: "a port above 65535", address: "127.0.0.1:99999" },
    { title: "port 0", address: "127.0.0.1:0" },
    { title: "no port", address: "127.0.0.1" },
    { title: "an octet above 255", address: "999.1.2.3:8080" },
    { title: "an empty address", address: "" },
    { title: "no host", address: ":8080" },
    { title: "a blank in the host", address: "127.0. 0.1:8080" },
    { title: "a path in the host", address: "127.0.0.1/x:8080" },
    { title: "credentials", address: "x@127.0.0.1:8080" },
    { title: "an open bracket", address: "[::1:8080" },
];

describe("an address that can't be connected is an unreachable upstream", () => {
    for (const { title, address } of rows) {
        it(title, async () => {
            expect(await probeConnection(address, PROBE_MS)).to.equal(false);
            const sound = await ScriptedUpstream.open("sound", (socket, id) => {
                socket.write(formatResponse(200, id, "good"));
            });
            const view = new FleetView();
            const bad = { id: "bad", service: "s", address, failure_domain: "d", slots: 1, status: "ready" as const };
            view.applyUpstreams(createFullState(1, [bad]));
            const asked: string[] = [];
            const connections = new UpstreamConnections();
            const relayConnections = createPeerAgent();
            const links = new UpstreamLinks({
                view,
                getNowMs: () => performance.now(),
                random: Math.random,
                log: { record: (_level, event) => asked.push(event) },
                metrics: {} as FleetMetrics,
                connections,
                peers: { call: (_to, method) => Promise.resolve(asked.push(method)) },
                relayConnections,
                ownAddress: "127.0.0.1:1",
                isStopping: () => false,
                handleBackoff: () => undefined,
                handleCutOff: () => undefined,
            });
            links.relays.applyRelays(["127.0.0.1:1"]);
            const entry = await TestEntry.open({
                upstreams: [{ name: "bad", address }, sound],
                route: {},
                getConnections: (target) => links.getConnections(target),
            });
            try {
                expect(await postToEntry(entry.url)).to.include({ status: 200, body: "good" });
                expect(entry.suspects).to.deep.equal(["bad"]);
                expect(await links.checkAfterFailure("bad")).to.equal(false);
                expect(await links.checkAfterClose()).to.equal(false);
                expect(asked).to.deep.equal([]);
            }
            finally {
                await entry.close();
                await relayConnections.destroy();
                await connections.destroy();
                sound.close();
            }
        });
    }

    it("whatever the address", async () => {
        const part = fc.oneof(fc.nat(1_000).map(String), fc.string({ maxLength: 3 }));
        const addresses = fc.oneof(
            fc.tuple(part, part, part, part, fc.nat(100_000)).map(([a, b, c, d, port]) =>
                `${a}.${b}.${c}.${d}:${String(port)}`
            ),
            fc.string(),
        );
        await fc.assert(
            fc.asyncProperty(addresses, async (address) => {
                // Others are not probed, since the test connects to this machine only.
                if (!isConnectable(address)) {
                    expect(await probeConnection(address, PROBE_MS)).to.equal(false);
                }
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });
});
