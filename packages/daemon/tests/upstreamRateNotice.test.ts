/**
 * Guards against ignored rate limits at upstreams of the product's own interface: the notices were not parsed, so callers at each entry
 * went on at their own rate.
 */
import type { LimitNotice } from "@crankfork/decisions";
import { upstreamSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAgent } from "../src/connection/httpClient.js";
import { callService } from "../src/connection/serviceClient.js";
import { UpstreamRateLimiter } from "../src/process/daemon/upstreamRateLimiter.js";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";

const limit = (requestsPerSecond: number): LimitNotice => ({ kind: "limit", requestsPerSecond });

describe("an entry of the product's own interface keeps to its equal share of a limit", () => {
    const rows: readonly {
        readonly title: string;
        readonly notices: readonly LimitNotice[];
        readonly sentMs: readonly number[];
        readonly dueMs: number;
    }[] = [
        { title: "no limit", notices: [{ kind: "none" }], sentMs: [100], dueMs: 100 },
        { title: "4 requests per second for two entries", notices: [limit(4)], sentMs: [1_000], dueMs: 1_400 },
        { title: "lowered to 2", notices: [limit(4), limit(2)], sentMs: [1_000], dueMs: 1_900 },
        { title: "lifted", notices: [limit(4), { kind: "none" }], sentMs: [1_000], dueMs: 1_000 },
        {
            title: "followed by an invalid notice",
            notices: [limit(4), { kind: "unreadable", text: "-1" }],
            sentMs: [1_000],
            dueMs: 1_400,
        },
        { title: "0 requests per second: one in ten seconds", notices: [limit(0)], sentMs: [1_000], dueMs: 20_900 },
    ];
    for (const { title, notices, sentMs, dueMs } of rows) {
        it(title, () => {
            const pace = new UpstreamRateLimiter();
            notices.forEach((notice, index) => {
                pace.receiveLimit(notice, { requestSentMs: index, nowMs: index, entries: 2, randomValue: 0 });
            });
            sentMs.forEach((nowMs) => {
                pace.recordSend(nowMs);
            });
            expect([pace.maySend(dueMs - 1) && dueMs > 1_000, pace.maySend(dueMs)]).to.deep.equal([false, true]);
        });
    }

    it("a run in progress continues, a new one waits", () => {
        const upstream = upstreamSchema.parse({ name: "e", kind: "engine", address: "127.0.0.1:1" });
        const state = new UpstreamState(upstream, undefined);
        state.rateLimiter.receiveLimit(limit(4), { requestSentMs: 0, nowMs: 0, entries: 2, randomValue: 0 });
        expect(state.maySend("one", 1_000)).to.equal(true);
        state.recordStart("one", 1_000);
        expect([state.maySend("one", 1_001), state.maySend("two", 1_001)]).to.deep.equal([true, false]);
    });
});

describe("the response header of a plain service reports its limit", () => {
    let server: Server;
    let headers: Record<string, string> = {};

    before((done) => {
        server = createServer((message, response) => {
            message.resume();
            response.writeHead(200, headers).end("done");
        }).listen(0, "127.0.0.1", done);
    });

    after(() => {
        server.close();
    });

    const rows: readonly { readonly responseHeaders: Record<string, string>; readonly expected: LimitNotice; }[] = [
        { responseHeaders: {}, expected: { kind: "none" } },
        { responseHeaders: { "x-requests-a-second": "2.5" }, expected: limit(2.5) },
        { responseHeaders: { "x-requests-a-second": "soon" }, expected: { kind: "unreadable", text: "soon" } },
    ];
    for (const { responseHeaders, expected } of rows) {
        it(JSON.stringify(responseHeaders), async () => {
            headers = responseHeaders;
            const agent = createAgent();
            const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
            const result = await callService(agent, "printer", address, {
                method: "GET",
                path: "/",
                contentType: undefined,
                body: Buffer.alloc(0),
                signal: new AbortController().signal,
                timeoutMs: 5_000,
                maxAnswerBytes: 64,
            });
            await agent.destroy();
            expect(result.limit).to.deep.equal(expected);
        });
    }
});
