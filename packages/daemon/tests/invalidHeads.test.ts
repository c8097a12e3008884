/**
 * Guards against answers that are passed on although their head is none of HTTP/1.1, so that the body or a header that callers
 * get is not the upstream's.
 */
import { expect } from "chai";
import { createConnection } from "node:net";
import { createAgent, ExchangeError, fetchJson } from "../src/connection/httpClient.js";
import { UnreadBudget } from "../src/process/entry/unreadBudget.js";
import { waitMs } from "../src/process/waitMs.js";
import { createInvalidHeads, formatAnswer, formatLength, type Head } from "./invalidAnswers.js";
import { postToEntry } from "./postToEntry.js";
import { formatChunk, formatEvent, ScriptedUpstream, TestEntry } from "./routedHarness.js";
import { TestRelay, TestRelaySource } from "./testRelay.js";

const BODY = "id: 1\ndata: 1\n\n";
const LENGTH = formatLength(BODY);

const heads: readonly Head[] = [
    ...createInvalidHeads(BODY),
    { title: "a length of 2^60", lines: [`content-length: ${String(2 ** 60)}`] },
];

const ways = [
    { title: "a call", kind: "call", isRelayed: false },
    { title: "a stream", kind: "stream", isRelayed: false },
    { title: "a call through a relay", kind: "call", isRelayed: true },
] as const;

describe("an answer with an invalid head is not passed on", () => {
    for (const { title: way, kind, isRelayed } of ways) {
        for (const head of heads) {
            it(`${way}: ${head.title}`, async () => {
                const upstream = await ScriptedUpstream.open(
                    "u",
                    (socket, id) => socket.end(formatAnswer(id, head, BODY)),
                );
                const relay = await TestRelay.open([upstream]);
                const source = new TestRelaySource([relay]);
                const entry = await TestEntry.open({
                    upstreams: [upstream],
                    route: { kind, is_repeatable: false, most_attempts: 1 },
                    ...(isRelayed ? { getConnections: source.getConnections } : {}),
                });
                try {
                    expect((await postToEntry(entry.url)).status).to.be.oneOf([502, undefined]);
                }
                finally {
                    await entry.close();
                    await relay.close();
                    await source.connections.destroy();
                    upstream.close();
                }
            });
        }
    }
});

const validHeads: readonly Head[] = [
    { title: "blanks after the length", lines: [`${LENGTH}  `] },
    { title: "blanks after the transfer coding", lines: ["transfer-encoding:   chunked  "] },
    { title: "a transfer coding in capitals", lines: ["Transfer-Encoding: Chunked"] },
];

describe("an answer with an unusual but valid head is passed on", () => {
    for (const head of validHeads) {
        it(head.title, async () => {
            const upstream = await ScriptedUpstream.open("u", (socket, id) => socket.end(formatAnswer(id, head, BODY)));
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: { kind: "call", is_repeatable: false, most_attempts: 1 },
            });
            try {
                expect(await postToEntry(entry.url)).to.include({ status: 200, body: BODY });
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});

describe("a reply with an invalid head is an error", () => {
    for (const head of heads) {
        it(head.title, async () => {
            const server = await ScriptedUpstream.open("u", (socket) => {
                const text = formatAnswer("one", head, BODY).toString("latin1").replace(
                    BODY,
                    "[1]".padEnd(BODY.length),
                );
                socket.end(Buffer.from(text, "latin1"));
            });
            const agent = createAgent();
            try {
                const reply = fetchJson({ agent, peer: "u", url: `http://${server.address}/`, method: "GET" }, 2_000);
                expect(await reply.catch((error: unknown) => error)).to.be.instanceOf(ExchangeError);
            }
            finally {
                await agent.destroy();
                server.close();
            }
        });
    }
});

/** What a relay sends as the head of an upstream's answer; another build may not check it. */
function formatRelayedHead(status: string, framing: string, lines = ""): string {
    return `HTTP/1.1 200 OK\r\nx-id: one\r\nx-crankfork-relay-result: answer\r\nx-crankfork-relay-status: ${status}\r\n`
        + `x-crankfork-relay-framing: ${framing}\r\n${lines}transfer-encoding: chunked\r\ntrailer: x-crankfork-relay-end\r\n\r\n`;
}
const RELAYED_END = "0\r\nx-crankfork-relay-end: whole\r\n\r\n";

describe("an invalid answer that another entry relays is not passed on", () => {
    const rows = [
        ...["000", "099", "0", "-200", "2e2", "200.5", "", "abc", "NaN", "101", "600", "999", "1e300"].map((
            status,
        ) => ({
            status,
            framing: "4",
        })),
        ...["-4", "4, 4", "4x", "1e1", "gzip", "chunked, gzip"].map((framing) => ({ status: "200", framing })),
    ];
    for (const { status, framing } of rows) {
        for (const kind of ["call", "stream"] as const) {
            it(`a ${kind}: status "${status}", framing "${framing}"`, async () => {
                const relay = await ScriptedUpstream.open("r", (socket) => {
                    socket.write(formatRelayedHead(status, framing) + formatChunk("half") + RELAYED_END);
                });
                const source = new TestRelaySource([relay]);
                const entry = await TestEntry.open({
                    upstreams: [{ name: "u", address: "127.0.0.1:9" }],
                    route: { kind, is_repeatable: false, most_attempts: 1 },
                    getConnections: source.getConnections,
                });
                try {
                    expect((await postToEntry(entry.url)).status).to.be.oneOf([502, undefined]);
                }
                finally {
                    await entry.close();
                    await source.connections.destroy();
                    relay.close();
                }
            });
        }
    }
});

describe("a relay that resets a connection ends no entry", () => {
    for (const connection of ["close", "keep-alive"]) {
        it(`while the caller does not read, with connection: ${connection}`, async () => {
            const relay = await ScriptedUpstream.open("r", (socket) => {
                socket.write(formatRelayedHead("200", "chunked", `connection: ${connection}\r\n`));
                for (let event = 1; event <= 200; event += 1) {
                    socket.write(formatChunk(formatEvent(event).replace("token", "x".repeat(50_000))));
                }
                setTimeout(() => socket.resetAndDestroy(), 300);
            });
            const source = new TestRelaySource([relay]);
            const entry = await TestEntry.open({
                upstreams: [{ name: "u", address: "127.0.0.1:9" }],
                route: { kind: "stream", is_repeatable: false, most_attempts: 1, timeout_ms: 2_000 },
                getConnections: source.getConnections,
                unread: new UnreadBudget({
                    budgetBytes: 100_000,
                    getNowMs: () => performance.now(),
                    log: { record: () => undefined },
                    countPause: () => undefined,
                }),
            });
            const { hostname, port } = new URL(entry.url);
            const caller = createConnection(Number(port), hostname);
            try {
                caller.on("error", () => undefined);
                caller.pause();
                caller.write("POST / HTTP/1.1\r\nhost: h\r\nx-id: one\r\ncontent-length: 1\r\n\r\nb");
                await waitMs(800);
                caller.resume();
                await new Promise((resolve) => caller.once("close", resolve));
                expect(source.failures).not.to.deep.equal([]);
            }
            finally {
                caller.destroy();
                await entry.close();
                await source.connections.destroy();
                relay.close();
            }
        });
    }
});
