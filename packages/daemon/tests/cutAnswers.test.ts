import { expect } from "chai";
import type { Socket } from "node:net";
import { createAgent, ExchangeError, fetchJson } from "../src/connection/httpClient.js";
import { postToEntry } from "./postToEntry.js";
import {
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    ScriptedUpstream,
    TestEntry,
} from "./routedHarness.js";
import { TestRelay, TestRelaySource } from "./testRelay.js";

/** What an upstream sends before it ends the connection; none of it is a whole answer. */
const beginnings: Readonly<Record<string, (id: string) => string>> = {
    "nothing": () => "",
    "a part of the status line": () => "HTTP/1.1 20",
    "the status line": () => "HTTP/1.1 200 OK\r\n",
    "a part of a header": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconte`,
    "headers without a length": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n`,
    "headers with a length of 0": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 0\r\n`,
    "a part of the blank line": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r`,
    "an interim response": () => "HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n",
    "an interim response and headers": (id) =>
        `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\nHTTP/1.1 200 OK\r\nx-id: ${id}\r\n`,
    "a head with a length": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 9\r\n\r\n`,
    "a part of a body with a length": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 9\r\n\r\nhalf`,
    "a part of a body with a length, and the close announced": (id) =>
        `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf`,
    "a part of a chunk": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf`,
    "a whole chunk": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
    "a part of the last chunk": (id) =>
        `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n`,
};
/** An orderly end makes these whole. */
const unframedBeginnings: Readonly<Record<string, (id: string) => string>> = {
    "a head without a length": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\n`,
    "a part of a body without a length": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nhalf`,
};

const endings: Readonly<Record<string, (socket: Socket, text: string) => void>> = {
    "closed": (socket, text) => {
        socket.end(text);
    },
    "closed later": (socket, text) => {
        socket.write(text);
        setTimeout(() => socket.end(), 10);
    },
    "reset": (socket, text) => {
        socket.write(text);
        socket.resetAndDestroy();
    },
    "reset later": (socket, text) => {
        socket.write(text);
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
};

interface Row {
    readonly title: string;
    readonly begin: (id: string) => string;
    readonly end: (socket: Socket, text: string) => void;
}

const rows: readonly Row[] = Object.entries(endings).flatMap(([ending, end]) =>
    Object.entries(ending.startsWith("reset") ? { ...beginnings, ...unframedBeginnings } : beginnings).map((
        [title, begin],
    ) => ({ title: `${title}, ${ending}`, begin, end }))
);

const ways = [
    { title: "a call", kind: "call", isRepeatable: false, isRelayed: false },
    { title: "a repeatable call", kind: "call", isRepeatable: true, isRelayed: false },
    { title: "a stream", kind: "stream", isRepeatable: false, isRelayed: false },
    { title: "a call through a relay", kind: "call", isRepeatable: false, isRelayed: true },
    { title: "a stream through a relay", kind: "stream", isRepeatable: false, isRelayed: true },
] as const;

/** Guards against answers that break off and reach their callers as whole ones. */
describe("an answer that ends early does not look complete", () => {
    for (const { title: way, kind, isRepeatable, isRelayed } of ways) {
        for (const { title, begin, end } of rows) {
            it(`${way}: ${title}`, async () => {
                let requests = 0;
                const upstream = await ScriptedUpstream.open("u", (socket, id) => {
                    requests += 1;
                    if (requests === 1) {
                        socket.write(
                            kind === "call"
                                ? formatResponse(200, id, "good")
                                : formatStreamHead(id) + formatChunk(formatEvent(1)) + formatChunk(""),
                        );
                    }
                    else {
                        end(socket, begin(id));
                    }
                });
                const relay = await TestRelay.open([upstream]);
                const source = new TestRelaySource([relay]);
                const entry = await TestEntry.open({
                    upstreams: [upstream],
                    mayRepeatUpstream: true,
                    route: { kind, is_repeatable: isRepeatable, most_attempts: 2 },
                    ...(isRelayed ? { getConnections: source.getConnections } : {}),
                });
                try {
                    expect((await postToEntry(entry.url)).status).to.equal(200);
                    // On the connection that is kept after the whole answer, and on new ones.
                    for (let call = 0; call < 2; call += 1) {
                        const { status } = await postToEntry(entry.url);
                        expect(status, "status of a response that looks complete").to.be.oneOf([502, undefined]);
                    }
                    expect(requests).to.be.greaterThan(2);
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

describe("a reply that ends early is an error", () => {
    for (const { title, begin, end } of rows) {
        it(title, async () => {
            const server = await ScriptedUpstream.open("u", (socket) => {
                end(socket, begin("one"));
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
