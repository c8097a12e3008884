import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAgent, ExchangeError, fetchJson, type TimeoutScope } from "../src/connection/httpClient.js";

/** Creates an agent through which no connection is ever established. */
function createHangingAgent(): ReturnType<typeof createAgent> {
    const agent = createAgent();
    // Dispatched requests wait for a connection forever, as for an isolated peer.
    agent.dispatch = () => true;
    return agent;
}

describe("a request to an isolated peer ends within its time-out", () => {
    it("fails as silent before a connection is established", async () => {
        const agent = createHangingAgent();
        const url = "http://127.0.0.1:9/rpc";
        const error: unknown = await fetchJson({ agent, peer: "p", url, method: "GET" }, 30).catch((one: unknown) =>
            one
        );
        expect(error).to.be.instanceOf(ExchangeError);
        expect((error as ExchangeError).failure).to.equal("silent");
        await agent.destroy();
    });
});

/** A server that responds in pieces with a pause after each; `stopsEarly` leaves the response incomplete. */
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

describe("a response that makes progress is not aborted if the time-out applies to silence", () => {
    const rows: readonly {
        readonly title: string;
        readonly scope: TimeoutScope;
        readonly stopsEarly: boolean;
        readonly found: number | string;
    }[] = [
        { title: "a slow response, time-out of silence", scope: "silence", stopsEarly: false, found: 40 },
        { title: "a slow response, time-out of the exchange", scope: "exchange", stopsEarly: false, found: "silent" },
        {
            title: "a response that stops midway, time-out of silence",
            scope: "silence",
            stopsEarly: true,
            found: "silent",
        },
    ];
    for (const { title, scope, stopsEarly, found } of rows) {
        it(title, async () => {
            const server = await openSlowServer(40, 25, stopsEarly);
            const agent = createAgent();
            const url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}/`;
            const ended: unknown = await fetchJson({ agent, peer: "p", url, method: "GET" }, 600, scope).then(
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
