import { expect } from "chai";
import { createPeerAgent } from "../src/connection/httpClient.js";
import { UpstreamConnections } from "../src/connection/upstreamConnections.js";
import { UpstreamLinks } from "../src/process/entry/upstreamLinks.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { FleetView } from "../src/version/fleetView.js";
import { postToEntry } from "./postToEntry.js";
import { installProcessorTimers } from "./processorTimers.js";
import { formatResponse, goneUpstream, ScriptedUpstream, TestEntry } from "./routedHarness.js";
import { type RelayBehaviour, TestRelay } from "./testRelay.js";

/** Creates the links of an entry that is not cut off and knows some relays. */
function createLinks(
    connections: UpstreamConnections,
    relayConnections: ReturnType<typeof createPeerAgent>,
    relays: readonly TestRelay[],
): UpstreamLinks {
    const links = new UpstreamLinks({
        view: new FleetView(),
        getNowMs: () => performance.now(),
        random: Math.random,
        log: { record: () => undefined },
        metrics: { countRelayedRequest: () => undefined } as unknown as FleetMetrics,
        connections,
        peers: { call: () => Promise.reject(new Error("not asked")) },
        relayConnections,
        ownAddress: "127.0.0.1:1",
        isStopping: () => false,
        handleBackoff: () => undefined,
        handleCutOff: () => undefined,
    });
    links.relays.applyRelays(relays.map(({ address }) => address));
    return links;
}

describe("a request to an upstream that refuses connections goes on to another one", () => {
    installProcessorTimers();

    const rows: readonly { readonly title: string; readonly relays: readonly RelayBehaviour[]; }[] = [
        { title: "no relay is known", relays: [] },
        { title: "the relay cannot connect either", relays: ["relay"] },
        { title: "the relay is stopping", relays: ["stopping"] },
        { title: "the relay is of a previous build", relays: ["previous-build"] },
    ];
    for (const { title, relays: behaviours } of rows) {
        it(title, async () => {
            const sound = await ScriptedUpstream.open(
                "sound",
                (socket, id) => socket.write(formatResponse(200, id, "good")),
            );
            const relays = await Promise.all(
                behaviours.map((behaviour) => TestRelay.open([goneUpstream, sound], behaviour)),
            );
            const connections = new UpstreamConnections();
            const relayConnections = createPeerAgent();
            const links = createLinks(connections, relayConnections, relays);
            const entry = await TestEntry.open({
                upstreams: [goneUpstream, sound],
                route: {},
                getConnections: (target) => links.getConnections(target),
            });
            try {
                expect(await postToEntry(entry.url)).to.include({ status: 200, body: "good" });
                expect(entry.suspects).to.deep.equal(["gone"]);
                expect(sound.requests.length).to.equal(1);
            }
            finally {
                await entry.close();
                await Promise.all(relays.map((relay) => relay.close()));
                await relayConnections.destroy();
                await connections.destroy();
                sound.close();
            }
        });
    }
});
