/**
 * Guards against a part of an answer that reaches its caller as a complete one, where the upstream ends the connection at any
 * place and while the request is still being written.
 */
import { expect } from "chai";
import fc from "fast-check";
import { type AddressInfo, createConnection, createServer, type Socket } from "node:net";
import { createAgent, fetchJson, readText, sendRequest } from "../src/connection/httpClient.js";
import { callService } from "../src/connection/serviceClient.js";
import { waitMs } from "../src/process/waitMs.js";
import { formatChunk, formatEvent, TestEntry } from "./routedHarness.js";
import { TestRelay, TestRelaySource } from "./testRelay.js";

const SEED = 1;
const TIMEOUT_MS = 2_000;
const MIB = 1_024 * 1_024;
/** The kernel does not accept an upload of this size before the upstream reads; the default body limit of a relay is as large. */
const UNSENT_BYTES = 4_190_000;
/** The id of every request. */
const ID = "one";
const EVENTS = [1, 2, 3].map(formatEvent).join("");

const framings = {
    "no length": { version: "1.1", header: "" },
    "no length, close announced": { version: "1.1", header: "connection: close\r\n" },
    "no length, HTTP/1.0": { version: "1.0", header: "" },
    "another transfer coding": { version: "1.1", header: "transfer-encoding: gzip\r\n" },
    "a length": { version: "1.1", header: "content-length: BYTES\r\n" },
    "a length, close announced": { version: "1.1", header: "connection: close\r\ncontent-length: BYTES\r\n" },
    "chunks": { version: "1.1", header: "transfer-encoding: chunked\r\n" },
    "chunks, close announced": { version: "1.1", header: "connection: close\r\ntransfer-encoding: chunked\r\n" },
} as const;

/** How the upstream ends the connection after a part of its answer. */
const endings = {
    "reset": (socket: Socket) => socket.resetAndDestroy(),
    // With unread bytes, the kernel sends a reset.
    "closed": (socket: Socket) => socket.destroy(),
    "ended, then reset": (socket: Socket) => {
        socket.end();
        setImmediate(() => socket.resetAndDestroy());
    },
} as const;

const ways = [
    "call",
    "repeatable call",
    "stream",
    "relayed call",
    "relayed stream",
    "report",
    "order",
    "service",
] as const;

const caseArbitrary = fc.record({
    way: fc.constantFrom(...ways),
    framing: fc.constantFrom(...Object.keys(framings) as (keyof typeof framings)[]),
    ending: fc.constantFrom(...Object.keys(endings) as (keyof typeof endings)[]),
    uploadBytes: fc.constantFrom(1, 600_000, 3 * MIB, UNSENT_BYTES),
    reads: fc.constantFrom("nothing", "first", "all"),
    /** Where the answer is cut: in the head, or in the part of the body. */
    cut: fc.record({ isInBody: fc.boolean(), share: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }) }),
    beforeMs: fc.constantFrom(1, 3, 10, 30),
    isSplit: fc.boolean(),
    afterMs: fc.constantFrom(undefined, 0, 1, 5, 20),
});
type Case = typeof caseArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Whether the connection may have ended in order after all of the request was sent: what came then is the whole answer. */
function mayBeWhole({ framing, cut, ending, reads, uploadBytes }: Case): boolean {
    const isOrderly = ending === "closed" && reads !== "nothing"
        || ending === "ended, then reset" && (reads === "all" || uploadBytes < UNSENT_BYTES);
    return framing.startsWith("no length") && cut.isInBody && isOrderly;
}

function formatAnswer({ framing, way }: Case): { readonly head: string; readonly body: string; } {
    const content = way === "report" || way === "order" ? "1".repeat(60) : EVENTS;
    const { version, header } = framings[framing];
    const isChunked = framing.startsWith("chunks");
    const body = isChunked
        ? formatChunk(content) + formatChunk("")
        : content;
    const type = way.endsWith("stream") ? "text/event-stream" : "text/plain";
    return {
        head: `HTTP/${version} 200 OK\r\nx-id: ${ID}\r\ncontent-type: ${type}\r\n${
            header.replace("BYTES", String(content.length))
        }\r\n`,
        body,
    };
}

/** An upstream that sends a part of its answer and ends the connection. */
async function openUpstream(one: Case): Promise<{ readonly address: string; readonly close: () => void; }> {
    const sockets = new Set<Socket>();
    const server = createServer({ pauseOnConnect: true }, (socket) => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        void play(socket, one);
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
        close: () => {
            server.close();
            sockets.forEach((socket) => socket.destroy());
        },
    };
}

async function play(socket: Socket, one: Case): Promise<void> {
    if (one.reads === "all") {
        socket.resume();
    }
    else if (one.reads === "first") {
        socket.once("data", () => socket.pause()).resume();
    }
    const { head, body } = formatAnswer(one);
    const { isInBody, share } = one.cut;
    const part = isInBody ? head + body.slice(0, share * body.length) : head.slice(0, share * head.length);
    await waitMs(one.beforeMs);
    if (one.isSplit) {
        socket.write(part.slice(0, part.length / 2));
        await waitMs(1);
        socket.write(part.slice(part.length / 2));
    }
    else {
        socket.write(part);
    }
    if (one.afterMs !== undefined) {
        await waitMs(one.afterMs);
    }
    endings[one.ending](socket);
}

/** Sends a request to an entry on a connection of its own; returns whether the answer is a success with a proper end. */
function callEntry(url: string, body: Buffer): Promise<{ readonly isComplete: boolean; readonly text: string; }> {
    const { hostname, port } = new URL(url);
    return new Promise((resolve) => {
        let text = "";
        const caller = createConnection(Number(port), hostname);
        const finish = (hasEnded: boolean): void => {
            const [head = "", received = ""] = text.split(/\r\n\r\n(.*)/s, 2);
            const length = /content-length: (\d+)/i.exec(head)?.[1];
            const isWhole = length !== undefined
                ? received.length >= Number(length)
                : /transfer-encoding: chunked/i.test(head)
                ? received.endsWith("0\r\n\r\n")
                : hasEnded && (!head.includes("event-stream") || received.endsWith("\n\n") || received === "");
            caller.destroy();
            resolve({ isComplete: isWhole && /^HTTP\/1.1 2/.test(head), text });
        };
        caller.on("data", (chunk) => {
            text += chunk.toString();
        });
        caller.once("end", () => {
            finish(true);
        });
        caller.once("error", () => {
            finish(false);
        });
        caller.write(
            `POST / HTTP/1.1\r\nhost: h\r\nx-id: ${ID}\r\nconnection: close\r\ncontent-length: ${
                String(body.length)
            }\r\n\r\n`,
        );
        caller.write(body);
    });
}

const upload = Buffer.alloc(UNSENT_BYTES, "b");

/** Plays a case; returns what was received as a complete success, or undefined. */
async function receive(one: Case): Promise<string | undefined> {
    const upstream = await openUpstream(one);
    const { address } = upstream;
    const body = upload.subarray(0, one.uploadBytes);
    const agent = createAgent();
    const close: (() => Promise<void>)[] = [() => agent.destroy()];
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const exchange = { agent, peer: "u", url: `http://${address}/`, method: "POST", body } as const;
    try {
        switch (one.way) {
            case "report":
                return await fetchJson(exchange, TIMEOUT_MS).then(String, () => undefined);
            case "order": {
                const text = async (): Promise<string> =>
                    await readText(await sendRequest({ ...exchange, signal }), { peer: "u", signal });
                return await text().catch(() => undefined);
            }
            case "service": {
                const answer = await callService(agent, "u", address, {
                    method: "POST",
                    path: "/",
                    contentType: undefined,
                    body,
                    signal,
                    timeoutMs: TIMEOUT_MS,
                    maxAnswerBytes: MIB,
                }).catch(() => undefined);
                return answer?.kind === "answered" ? answer.answer.body : undefined;
            }
            case "call":
            case "repeatable call":
            case "stream":
            case "relayed call":
            case "relayed stream": {
                const isRelayed = one.way.startsWith("relayed");
                const upstreams = [{ name: "u", address }];
                const relay = await TestRelay.open(upstreams);
                const source = new TestRelaySource([relay]);
                const entry = await TestEntry.open({
                    upstreams,
                    route: {
                        kind: one.way.endsWith("stream") ? "stream" : "call",
                        is_repeatable: one.way === "repeatable call",
                        most_attempts: 1,
                        timeout_ms: TIMEOUT_MS,
                    },
                    ...(isRelayed ? { getConnections: source.getConnections } : {}),
                });
                close.push(() => entry.close(), () => relay.close(), () => source.connections.destroy());
                const { isComplete, text } = await callEntry(entry.url, body);
                expect(text, "a promise that the request has not run").not.to.match(/^HTTP\/1.1 (429|503|408|421)/);
                return isComplete ? text : undefined;
            }
        }
    }
    finally {
        upstream.close();
        for (const one of close) {
            await one();
        }
    }
}

/** Only parts whose end is no orderly one. */
const partArbitrary = caseArbitrary.filter((one) => !mayBeWhole(one));

describe("a part of an answer does not look complete", () => {
    const unsentArbitrary = fc.record({
        way: fc.constantFrom(...ways),
        ending: fc.constantFrom(...Object.keys(endings) as (keyof typeof endings)[]),
    }).map((fixed): Case => ({
        ...fixed,
        framing: "no length, close announced",
        uploadBytes: UNSENT_BYTES,
        reads: "nothing",
        cut: { isInBody: true, share: 0.5 },
        beforeMs: 3,
        isSplit: false,
        afterMs: undefined,
    }));
    const rows = [
        { title: "wherever the upstream ends the connection", arbitrary: partArbitrary, numRuns: 150 },
        { title: "while the upstream does not read the request", arbitrary: unsentArbitrary, numRuns: 100 },
    ];
    for (const { title, arbitrary, numRuns } of rows) {
        it(title, async () => {
            const found: unknown[] = [];
            for (const one of fc.sample(arbitrary, { seed: SEED, numRuns })) {
                const received = await receive(one);
                found.push(...received === undefined ? [] : [{ ...one, received }]);
            }
            expect(found).to.deep.equal([]);
        });
    }
});
