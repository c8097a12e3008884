import type { RegisteredUpstream } from "@crankfork/schemas";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createRelayAgent } from "../src/connection/httpClient.js";
import { createRelayDispatcher, type RelaySource } from "../src/connection/relayDispatcher.js";
import { UpstreamConnections } from "../src/connection/upstreamConnections.js";
import { RelayServer, type RelayServerOptions } from "../src/process/entry/relayServer.js";
import type { RoutedRequestFunctions } from "../src/request/requestFunctions.js";
import { createProcessorClock, getThreadId } from "./processorWait.js";
import type { ScriptedUpstream } from "./routedHarness.js";

/** How an entry answers requests that are to be relayed. */
export type RelayBehaviour =
    | "relay"
    | "stopping"
    | "cut-off"
    | "closes-before-answer"
    | "closes-within-answer"
    | "previous-build"
    | "frozen";

/** An entry that relays requests to stub upstreams. */
export class TestRelay {
    readonly heads: number[] = [];
    backoffMs = 0;
    received = 0;
    readonly relayServer: RelayServer;
    private readonly connections = new UpstreamConnections();

    private constructor(
        private readonly server: Server,
        readonly address: string,
        upstreams: readonly Pick<ScriptedUpstream, "name" | "address">[],
        behaviour: RelayBehaviour,
    ) {
        const options: RelayServerOptions = {
            view: {
                getUpstream: (id) => upstreams.find(({ name }) => name === id) as RegisteredUpstream | undefined,
                routing: undefined,
            },
            // A relay refuses if its timers are late; a wait of the test for a processor does not count.
            getNowMs: createProcessorClock([getThreadId()]),
            metrics: { countRelayedRequest: () => undefined, recordRelayedRequestMs: () => undefined },
            getConnections: (endpoint) => this.connections.get(endpoint),
            probe: () => Promise.resolve(behaviour !== "cut-off"),
            getBackoffMs: () => this.backoffMs,
            handleHead: (_id, { status }) => this.heads.push(status),
            checkAfterClose: () => Promise.resolve(behaviour === "cut-off"),
            isStopping: () => behaviour === "stopping",
            memoryMb: undefined,
        };
        this.relayServer = new RelayServer(options);
    }

    static async open(
        upstreams: readonly Pick<ScriptedUpstream, "name" | "address">[],
        behaviour: RelayBehaviour = "relay",
    ): Promise<TestRelay> {
        const server = createServer();
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
        const relay = new TestRelay(server, address, upstreams, behaviour);
        server.on("request", (request, response: ServerResponse) => {
            relay.received += 1;
            switch (behaviour) {
                case "relay":
                case "stopping":
                case "cut-off":
                    relay.relayServer.handle(request, response);
                    break;
                case "closes-before-answer":
                    request.resume().once("end", () => response.destroy());
                    break;
                case "closes-within-answer":
                    relay.relayServer.handle(request, response);
                    setTimeout(() => response.destroy(), 100);
                    break;
                case "previous-build":
                    request.resume();
                    response.writeHead(200).end('{"jsonrpc":"2.0","error":{"code":-32700}}');
                    break;
                case "frozen":
                    break;
            }
        });
        return relay;
    }

    async close(): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
        await this.connections.destroy();
    }
}

/** The relays of an entry that is cut off. */
export class TestRelaySource implements RelaySource {
    readonly connections = createRelayAgent();
    readonly backoffs: string[] = [];
    readonly failures: string[] = [];
    private readonly addresses: readonly string[];

    constructor(relays: readonly Pick<TestRelay, "address">[]) {
        this.addresses = relays.map(({ address }) => address);
    }

    readonly getConnections: RoutedRequestFunctions["getConnections"] = (target) =>
        createRelayDispatcher({ endpoint: target, relays: this, maxRelays: 3, handleRelay: () => undefined });

    choose(tried: ReadonlySet<string>): string | undefined {
        return this.addresses.find((address) => !tried.has(address));
    }

    recordStart(): void {
        // Not observed.
    }

    recordEnd(): void {
        // Not observed.
    }

    handleSilence(): void {
        // Not observed.
    }

    recordFailure(_relay: string, reason: string): void {
        this.failures.push(reason);
    }

    handleBackoff(upstreamId: string, backoffMs: number): void {
        this.backoffs.push(`${upstreamId} ${String(backoffMs)}`);
    }
}
