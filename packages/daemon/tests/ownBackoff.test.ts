/**
 * Guards against ignoring a backoff on the product's own interface: a call that was rejected with status 503 and a
 * Retry-After of 3 s was not run, and the next one went to the same upstream; an engine that rejected two status
 * requests was considered lost.
 */
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Dispatcher } from "undici";
import { createAgent, fetchJson } from "../src/connection/httpClient.js";
import { callService } from "../src/connection/serviceClient.js";

describe("the product's own interface reads the backoff that upstreams ask for", () => {
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
        { title: "rejected", sent: { "retry-after": "3", "x-not-run": "true" }, kind: "not-run", retryAfterMs: 3_000 },
        { title: "an error", sent: { "retry-after": "0.5" }, kind: "answered", retryAfterMs: 500 },
        {
            title: "rejected without a backoff",
            sent: { "x-not-run": "true" },
            kind: "not-run",
            retryAfterMs: undefined,
        },
        { title: "an invalid backoff", sent: { "retry-after": "soon" }, kind: "answered", retryAfterMs: undefined },
    ];
    for (const { title, sent, kind, retryAfterMs } of rows) {
        it(`a plain service: ${title}`, async () => {
            headers = sent as unknown as Record<string, string>;
            const result = await callService(agent, "printer", getAddress(), {
                method: "GET",
                path: "/",
                contentType: undefined,
                body: Buffer.alloc(0),
                signal: new AbortController().signal,
                timeoutMs: 5_000,
                maxAnswerBytes: 64,
            });
            expect([result.kind, (result as { retryAfterMs?: number; }).retryAfterMs]).to.deep.equal([
                kind,
                retryAfterMs,
            ]);
        });
    }

    it("an engine's status", async () => {
        headers = { "retry-after": "3" };
        const url = `http://${getAddress()}/v1/status`;
        const error: unknown = await fetchJson({ agent, peer: "e", url, method: "GET" }, 5_000)
            .catch((thrown: unknown) => thrown);
        expect((error as { retryAfterMs?: number; }).retryAfterMs).to.equal(3_000);
    });
});
