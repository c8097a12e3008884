/**
 * The product's own interface read neither what a plain service nor what an engine says of rest: a call that was turned away with
 * 503 and `Retry-After: 3` was "not run", and the next one went there as before; an engine that turned two questions for its
 * status away was taken for lost.
 */
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Dispatcher } from "undici";
import { createAgent, fetchJson } from "../src/connection/httpClient.js";
import { callService } from "../src/connection/serviceClient.js";

describe("the product's own interface reads what its upstreams say of rest", () => {
    let server: Server;
    let agent: Dispatcher;
    let headers: Readonly<Record<string, string>> = {};

    const getAddress = (): string => `127.0.0.1:${String((server.address() as AddressInfo).port)}`;

    before((done) => {
        agent = createAgent();
        server = createServer((message, response) => {
            message.resume();
            response.writeHead(503, headers).end();
        }).listen(0, "127.0.0.1", done);
    });

    after(async () => {
        await agent.destroy();
        server.close();
    });

    const rows = [
        { title: "turned away", said: { "retry-after": "3", "x-not-run": "true" }, kind: "not-run", restMs: 3_000 },
        { title: "a failure", said: { "retry-after": "0.5" }, kind: "answered", restMs: 500 },
        { title: "turned away without a notice", said: { "x-not-run": "true" }, kind: "not-run", restMs: undefined },
        { title: "a notice that makes no sense", said: { "retry-after": "soon" }, kind: "answered", restMs: undefined },
    ];
    for (const { title, said, kind, restMs } of rows) {
        it(`a plain service: ${title}`, async () => {
            headers = said as unknown as Record<string, string>;
            const result = await callService(agent, "printer", getAddress(), {
                method: "GET",
                path: "/",
                contentType: undefined,
                body: Buffer.alloc(0),
                signal: new AbortController().signal,
                timeoutMs: 5_000,
                maxAnswerBytes: 64,
            });
            expect([result.kind, (result as { retryAfterMs?: number; }).retryAfterMs]).to.deep.equal([kind, restMs]);
        });
    }

    it("an engine's steps, status and orders", async () => {
        headers = { "retry-after": "3" };
        const url = `http://${getAddress()}/v1/status`;
        const error: unknown = await fetchJson({ agent, peer: "e", url, method: "GET" }, 5_000)
            .catch((thrown: unknown) => thrown);
        expect((error as { retryAfterMs?: number; }).retryAfterMs).to.equal(3_000);
    });
});
