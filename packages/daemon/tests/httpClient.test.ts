import { expect } from "chai";
import { ExchangeError, fetchJson, openConnections } from "../src/connection/httpClient.js";

/** Takes longer to connect to than any test waits: no connection is ever made through it. */
function openHangingConnections(): ReturnType<typeof openConnections> {
    const agent = openConnections();
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
