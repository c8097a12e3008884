import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAgent, ExchangeError, fetchJson, type TimeoutScope } from "../src/connection/httpClient.js";

/** Takes longer to connect to than any test waits: no connection is ever made through it. */
function openHangingConnections(): ReturnType<typeof createAgent> {
    const agent = createAgent();
    // What is dispatched waits for a connection that never comes, as it does for a peer that is cut off.
    agent.dispatch = () => true;
    return agent;
}

describe("a question to a peer that is cut off ends in its own time", () => {
    it("ends as silent, before a connection is there", async () => {
        const agent = openHangingConnections();
        const url = "http://127.0.0.1:9/rpc";
        const error: unknown = await fetchJson({ agent, peer: "p", url, method: "GET" }, 30).catch((one: unknown) =>
            one
        );
        expect(error).to.be.instanceOf(ExchangeError);
        expect((error as ExchangeError).failure).to.equal("silent");
        await agent.destroy();
    });
});

/** An answer in pieces with a pause after each; it never ends where it stops early. */
async function openSlowServer(pieces: number, pauseMs: number, stopsEarly: boolean): Promise<Server> {
    const server = createServer((_request, response) => {
        let sent = 0;
        const timer = setInterval(() => {
            sent += 1;
            response.write(sent === 1 ? "[0" : ",0");
            if (sent === pieces) {
                clearInterval(timer);
                if (!stopsEarly) {
                    response.end("]");
                }
            }
        }, pauseMs);
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return server;
}

describe("an answer that moves is not thrown away where silence counts", () => {
    const rows: readonly {
        readonly title: string;
        readonly counts: TimeoutScope;
        readonly stopsEarly: boolean;
        readonly found: number | string;
    }[] = [
        { title: "slow as a whole, silence counts", counts: "silence", stopsEarly: false, found: 40 },
        { title: "slow as a whole, all of it counts", counts: "exchange", stopsEarly: false, found: "silent" },
        { title: "it stops in the middle, silence counts", counts: "silence", stopsEarly: true, found: "silent" },
    ];
    for (const { title, counts, stopsEarly, found } of rows) {
        it(title, async () => {
            const server = await openSlowServer(40, 25, stopsEarly);
            const agent = createAgent();
            const url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}/`;
            const ended: unknown = await fetchJson({ agent, peer: "p", url, method: "GET" }, 600, counts).then(
                (list) => (list as unknown[]).length,
                (error: unknown) => (error as ExchangeError).failure,
            );
            await agent.destroy();
            server.closeAllConnections();
            server.close();
            expect(ended).to.equal(found);
        });
    }
});
