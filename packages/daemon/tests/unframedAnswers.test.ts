import { expect } from "chai";
import { createConnection } from "node:net";
import {
    type EntryOptions,
    formatChunk,
    formatEvent,
    formatStreamHead,
    ScriptedUpstream,
    TestEntry,
    type UpstreamScript,
} from "./routedHarness.js";
import { TestRelay, TestRelaySource } from "./testRelay.js";

type HttpVersion = "1.0" | "1.1";

/** What a caller received: the ids of whole events or the body, and whether the end can be taken for that of a whole answer. */
interface Received {
    readonly content: string;
    readonly isComplete: boolean;
}

function formatUnframedHead(id: string): string {
    return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n`;
}

const scripts = {
    answer: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the end`),
    stream: (socket, id) => socket.end(formatUnframedHead(id) + [1, 2, 3].map(formatEvent).join("")),
    withinEvent: (socket, id) => socket.end(`${formatUnframedHead(id)}${formatEvent(1)}id: 2\nda`),
    reset: (socket, id) => {
        socket.write(formatUnframedHead(id) + formatEvent(1));
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
    framedReset: (socket, id) => {
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)));
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
    rest: (socket, id) => socket.end(formatUnframedHead(id) + [2, 3].map(formatEvent).join("")),
    framedRest: (socket, id) =>
        socket.write(formatStreamHead(id) + formatChunk([2, 3].map(formatEvent).join("")) + formatChunk("")),
    crashInAnswer: (socket, id) => socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the`),
    crashBetweenEvents: (socket, id) => socket.write(formatUnframedHead(id) + [1, 2].map(formatEvent).join("")),
} satisfies Readonly<Record<string, UpstreamScript>>;
const crashing = new Set<UpstreamScript>([scripts.crashInAnswer, scripts.crashBetweenEvents]);

/** Sends a request on a connection of its own and reads to the end of the connection. */
function receive(url: string, version: HttpVersion): Promise<Received> {
    const { hostname, port } = new URL(url);
    return new Promise((resolve) => {
        let text = "";
        const caller = createConnection(Number(port), hostname);
        const finish = (wasReset: boolean): void => {
            const [head = "", body = ""] = text.split("\r\n\r\n", 2);
            const isChunked = /transfer-encoding: chunked/i.test(head);
            const content = isChunked ? body.replace(/(?:^|\r\n)[0-9a-f]+(?:\r\n|$)/g, "") : body;
            const ids = [...text.matchAll(/id: (\d+)\ndata: token\d+\n\n/g)].map((match) => match[1]);
            resolve({
                content: ids.length > 0 ? ids.join(" ") : content,
                isComplete: !wasReset
                    && (isChunked ? text.endsWith("0\r\n\r\n") : ids.length === 0 || text.endsWith("\n\n")),
            });
        };
        caller.on("data", (chunk) => {
            text += chunk.toString();
            if (text.endsWith("\r\n0\r\n\r\n")) {
                caller.end();
            }
        });
        caller.once("end", () => {
            finish(false);
        });
        caller.once("error", () => {
            finish(true);
        });
        caller.write(`POST / HTTP/${version}\r\nhost: h\r\nx-id: one\r\ncontent-length: 1\r\n\r\nb`);
    });
}

async function receiveFrom(
    scriptsInOrder: readonly UpstreamScript[],
    kind: "stream" | "call",
    isRelayed: boolean,
    version: HttpVersion = "1.1",
): Promise<Received> {
    const upstreams: ScriptedUpstream[] = [];
    for (const [at, script] of scriptsInOrder.entries()) {
        upstreams.push(
            await ScriptedUpstream.open(`u${String(at)}`, (socket, id, request) => {
                script(socket, id, request);
                if (crashing.has(script)) {
                    upstreams[at]?.crash();
                }
            }),
        );
    }
    const relay = await TestRelay.open(upstreams);
    const source = new TestRelaySource([relay]);
    const options: EntryOptions = { upstreams, route: { kind, most_attempts: upstreams.length } };
    const entry = await TestEntry.open(
        isRelayed ? { ...options, getConnections: source.getConnections } : options,
    );
    try {
        return await receive(entry.url, version);
    }
    finally {
        await entry.close();
        await relay.close();
        await source.connections.destroy();
        upstreams.forEach((upstream) => {
            upstream.close();
        });
    }
}

describe("an answer without framing is passed on whole, and one that ends early is not presented as whole", () => {
    const rows: readonly {
        readonly title: string;
        readonly kind?: "call";
        readonly version?: HttpVersion;
        readonly scripts: readonly UpstreamScript[];
        readonly received: Received;
    }[] = [
        {
            title: "an answer",
            kind: "call",
            scripts: [scripts.answer],
            received: { content: "to the end", isComplete: true },
        },
        { title: "a stream", scripts: [scripts.stream], received: { content: "1 2 3", isComplete: true } },
        {
            title: "an answer whose upstream crashes",
            kind: "call",
            scripts: [scripts.crashInAnswer, scripts.answer],
            received: { content: "to the end", isComplete: true },
        },
        {
            title: "a stream whose upstream crashes between two events",
            scripts: [scripts.crashBetweenEvents],
            received: { content: "1 2", isComplete: false },
        },
        {
            title: "a stream whose upstream crashes between two events, to a caller of HTTP/1.0",
            version: "1.0",
            scripts: [scripts.crashBetweenEvents],
            received: { content: "1 2", isComplete: false },
        },
        {
            title: "a stream to a caller of HTTP/1.0",
            version: "1.0",
            scripts: [scripts.stream],
            received: { content: "1 2 3", isComplete: true },
        },
        {
            title: "a stream that ends within an event",
            scripts: [scripts.withinEvent],
            received: { content: "1", isComplete: false },
        },
        { title: "a stream that is reset", scripts: [scripts.reset], received: { content: "1", isComplete: false } },
        {
            title: "a stream that ends within an event and is resumed",
            scripts: [scripts.withinEvent, scripts.rest],
            received: { content: "1 2 3", isComplete: true },
        },
        {
            title: "a stream that ends within an event and is resumed with framing",
            scripts: [scripts.withinEvent, scripts.framedRest],
            received: { content: "1 2 3", isComplete: true },
        },
        {
            // The caller was promised framing, whose end would claim more than the upstream said.
            title: "a framed stream that is resumed without framing",
            scripts: [scripts.framedReset, scripts.rest],
            received: { content: "1 2 3", isComplete: false },
        },
    ];
    for (const isRelayed of [false, true]) {
        for (const { title, kind = "stream", version, scripts: scriptsInOrder, received } of rows) {
            it(`${title}, ${isRelayed ? "through a relay" : "directly"}`, async () => {
                expect(await receiveFrom(scriptsInOrder, kind, isRelayed, version)).to.deep.equal(received);
            });
        }
    }
});

describe("the connection of a caller that does not read is closed", () => {
    it("after a stream without framing broke off", async () => {
        // More than the kernel buffers, so that the end of the stream does not get through.
        const events = [1, 2, 3, 4, 5, 6, 7, 8].map((id) => `id: ${String(id)}\ndata: ${"x".repeat(1_000_000)}\n\n`);
        const upstream = await ScriptedUpstream.open("u", (socket, id) => {
            socket.end(`${formatUnframedHead(id)}${events.join("")}id: 9\nda`);
        });
        const entry = await TestEntry.open({ upstreams: [upstream], route: { kind: "stream", most_attempts: 1 } });
        const { hostname, port } = new URL(entry.url);
        const caller = createConnection(Number(port), hostname);
        try {
            caller.pause();
            caller.on("error", () => undefined);
            caller.write("POST / HTTP/1.1\r\nhost: h\r\nx-id: one\r\ncontent-length: 1\r\n\r\nb");
            const endMs = performance.now() + 5_000;
            while (await entry.countConnections() > 0 || entry.ends.length === 0) {
                expect(performance.now(), "the connection is still open").to.be.below(endMs);
                await new Promise((resolve) => setTimeout(resolve, 50));
            }
        }
        finally {
            caller.destroy();
            await entry.close();
            upstream.close();
        }
    });
});
