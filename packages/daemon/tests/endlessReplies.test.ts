import { expect } from "chai";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createAgent, ExchangeError, fetchJson, type TimeoutScope } from "../src/connection/httpClient.js";
import { createPeerClient } from "../src/connection/peerClient.js";
import { HybridClock } from "../src/process/hybridClock.js";
import { endlessReplies, EndlessServer } from "./endlessServer.js";

const MIB = 1_048_576;
const LIMIT_BYTES = MIB;
/** What the sockets of both sides may hold beyond the limit. */
const SOCKET_BYTES = 8 * MIB;
const MAX_SENT_BYTES = 128 * MIB;
const TIMEOUT_MS = 500;
/** A reply that makes progress may take several times the time-out of silence; the rest is for the machine's load. */
const END_MS: Readonly<Record<TimeoutScope, number>> = { exchange: TIMEOUT_MS + 500, silence: 4 * TIMEOUT_MS + 1_000 };

interface FailedCall {
    readonly error: unknown;
    readonly ms: number;
}

/** Awaits the failure of a call, for which it has up to twice its time. */
async function awaitFailure(call: Promise<unknown>, endMs: number): Promise<FailedCall> {
    const startMs = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const error = await Promise.race([
        call.then(() => "accepted", (reason: unknown) => reason),
        new Promise((resolve) => {
            timer = setTimeout(resolve, 2 * endMs, "still open");
        }),
    ]);
    clearTimeout(timer);
    return { error, ms: performance.now() - startMs };
}

describe("a reply that never ends fails in time, is not kept in memory, and its connection is closed", () => {
    for (const scope of ["exchange", "silence"] as const) {
        for (const reply of endlessReplies) {
            it(`${reply.title}, time-out of the ${scope}`, async () => {
                const server = await EndlessServer.open(reply, MAX_SENT_BYTES);
                const agent = createAgent();
                const options = {
                    agent,
                    peer: "p",
                    url: `http://${server.address}/report`,
                    method: "GET",
                    limitBytes: LIMIT_BYTES,
                } as const;
                try {
                    const { error, ms } = await awaitFailure(fetchJson(options, TIMEOUT_MS, scope), END_MS[scope]);
                    expect(error).to.be.instanceOf(ExchangeError);
                    expect((error as ExchangeError).failure).to.be.oneOf(["silent", "oversized", "lost"]);
                    expect(ms).to.be.below(END_MS[scope]);
                    await new Promise((resolve) => setTimeout(resolve, 50));
                    expect(server.openReplies).to.equal(0);
                    if (reply.opening.endsWith("\r\n\r\n") && reply.repeated.includes("x".repeat(9))) {
                        expect(server.sentBytes).to.be.below(LIMIT_BYTES + SOCKET_BYTES);
                        expect((error as ExchangeError).failure).to.equal("oversized");
                        expect((error as ExchangeError).message).to.match(/^body of the response: .*1048576/);
                    }
                }
                finally {
                    await agent.destroy();
                    server.close();
                }
            });
        }
    }
});

describe("a reply within its limit is accepted", () => {
    it("a body of exactly the limit", async () => {
        const text = JSON.stringify("x".repeat(LIMIT_BYTES - 2));
        const server = createServer((_request, response) => response.end(text));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const agent = createAgent();
        const url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}/`;
        const read = await fetchJson({ agent, peer: "p", url, method: "GET", limitBytes: LIMIT_BYTES }, 5_000);
        await agent.destroy();
        server.closeAllConnections();
        server.close();
        expect(read).to.have.lengthOf(LIMIT_BYTES - 2);
    });
});

describe("a call to a peer whose reply never ends fails", () => {
    for (const title of ["chunks", "a trickling body"]) {
        it(title, async () => {
            const reply = endlessReplies.find((one) => one.title === title);
            const server = await EndlessServer.open(reply ?? expect.fail(), MAX_SENT_BYTES);
            const agent = createAgent();
            const peers = createPeerClient({ agent, secret: undefined, clock: new HybridClock() });
            try {
                const call = peers.call(server.address, "synchronise", {}, TIMEOUT_MS);
                const { error, ms } = await awaitFailure(call, END_MS.silence);
                expect(error).to.be.instanceOf(ExchangeError);
                expect(ms).to.be.below(END_MS.silence);
                expect(server.sentBytes).to.be.below(16 * MIB + SOCKET_BYTES);
            }
            finally {
                await agent.destroy();
                server.close();
            }
        });
    }
});

describe("a call to a peer whose response holds no result of it fails", () => {
    for (const text of ['{"jsonrpc":"2.0","id":99,"result":{}}', "{}", "[]", "null", "1"]) {
        it(text, async () => {
            const server = createServer((_request, response) => response.end(text));
            await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
            const agent = createAgent();
            const peers = createPeerClient({ agent, secret: undefined, clock: new HybridClock() });
            const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
            const { error } = await awaitFailure(peers.call(address, "synchronise", {}, TIMEOUT_MS), TIMEOUT_MS);
            await agent.destroy();
            server.closeAllConnections();
            server.close();
            expect(error).to.be.instanceOf(ExchangeError);
            expect((error as ExchangeError).failure).to.equal("unreadable");
        });
    }
});
