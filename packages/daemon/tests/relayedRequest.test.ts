import { expect } from "chai";
import { createConnection } from "node:net";
import { Agent, request } from "undici";
import { UnreadBudget } from "../src/process/entry/unreadBudget.js";
import { postToEntry } from "./postToEntry.js";
import {
    type EntryOptions,
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    goneUpstream,
    ScriptedUpstream,
    TestEntry,
    type UpstreamScript,
} from "./routedHarness.js";
import { type RelayBehaviour, TestRelay, TestRelaySource } from "./testRelay.js";

const scripts = {
    good: (socket, id) => socket.write(formatResponse(200, id, "good")),
    failing: (socket, id) => socket.write(formatResponse(500, id, "bad")),
    declining: (socket, id) => socket.write(formatResponse(503, id, "", "x-not-run: 1\r\n")),
    empty: (socket, id) => socket.write(`HTTP/1.1 204 No Content\r\nx-id: ${id}\r\n\r\n`),
    rubbish: (socket) => socket.write("what?\r\n\r\n"),
    reset: (socket) => socket.resetAndDestroy(),
    short: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 100\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    closeDelimited: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the end`),
    closeDelimitedReset: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    stream: (socket, id) => socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)) + formatChunk("")),
    streamReset: (socket, id) => {
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)));
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
    slowStream: (socket, id) => {
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)));
        setTimeout(() => socket.write(formatChunk(formatEvent(2)) + formatChunk("")), 300);
    },
} satisfies Readonly<Record<string, UpstreamScript>>;

interface Testbed {
    readonly upstream: ScriptedUpstream;
    readonly relays: readonly TestRelay[];
    readonly source: TestRelaySource;
    readonly entry: TestEntry;
    readonly crashes: string[];
}

/** Runs a check with an entry that is cut off from an upstream, and relays. */
/** Time in which nothing more is sent to a caller that does not read. */
const HELD_MS = 300;

async function withTestbed(
    { script = scripts.good, relays: behaviours = ["relay"], name = "u", ...options }: Partial<EntryOptions> & {
        readonly script?: UpstreamScript;
        readonly relays?: readonly RelayBehaviour[];
        readonly name?: string;
    },
    check: (testbed: Testbed) => Promise<void>,
): Promise<void> {
    const upstream = await ScriptedUpstream.open(name, script);
    const relays = await Promise.all(behaviours.map((behaviour) => TestRelay.open([upstream], behaviour)));
    const source = new TestRelaySource(relays);
    const crashes: string[] = [];
    const entry = await TestEntry.open({
        upstreams: [upstream],
        route: { most_attempts: 1 },
        getConnections: source.getConnections,
        crashes: {
            recordCrash: (_run, id, { hadProgress }) => crashes.push(`${id} ${hadProgress ? "midway" : "silent"}`),
        },
        ...options,
    });
    try {
        await check({ upstream, relays, source, entry, crashes });
    }
    finally {
        await entry.close();
        await Promise.all(relays.map((relay) => relay.close()));
        await source.connections.destroy();
        upstream.close();
    }
}

describe("a relayed request gets the answer of its upstream, and what is known about the attempt", () => {
    const unsafe = { is_repeatable: false, most_attempts: 1 };
    const stream = { kind: "stream", most_attempts: 1 } as const;
    const rows: readonly {
        readonly title: string;
        readonly script?: UpstreamScript;
        readonly relays?: readonly RelayBehaviour[];
        readonly route?: EntryOptions["route"];
        readonly status: number | undefined;
        readonly body?: string;
        readonly crashes?: readonly string[];
        readonly suspects?: readonly string[];
        readonly arrivals?: number;
    }[] = [
        { title: "a complete answer", status: 200, body: "good" },
        { title: "an answer without a body", script: scripts.empty, status: 204, body: "" },
        { title: "a failure", script: scripts.failing, status: 500, body: "bad" },
        { title: "a rejection as not run", script: scripts.declining, status: 503 },
        { title: "a close-delimited answer", script: scripts.closeDelimited, status: 200, body: "to the end" },
        {
            title: "a close-delimited answer that is reset",
            script: scripts.closeDelimitedReset,
            status: 502,
            crashes: ["u silent"],
        },
        { title: "a reset before the answer", script: scripts.reset, status: 502, crashes: ["u silent"] },
        { title: "a reset within the answer", script: scripts.short, status: 502, crashes: ["u silent"] },
        { title: "bytes that are no answer", script: scripts.rubbish, status: 502 },
        { title: "a stream", script: scripts.stream, route: stream, status: 200, body: formatEvent(1) },
        {
            title: "a stream that is reset",
            script: scripts.streamReset,
            route: stream,
            status: undefined,
            crashes: ["u midway"],
        },
        {
            title: "no relay",
            relays: [],
            status: 503,
            arrivals: 0,
        },
        {
            title: "the first relay stops, the second takes it",
            relays: ["stopping", "relay"],
            status: 200,
            body: "good",
        },
        {
            title: "the first relay is of a previous build",
            relays: ["previous-build", "relay"],
            status: 200,
            body: "good",
        },
        {
            title: "a relay fails before the answer: an unsafe request is not sent again",
            relays: ["closes-before-answer", "relay"],
            route: unsafe,
            status: 502,
            arrivals: 0,
        },
        {
            title: "a relay fails within a stream: it is broken off, and the upstream did not crash",
            script: scripts.slowStream,
            relays: ["closes-within-answer"],
            route: stream,
            status: undefined,
        },
        {
            title: "a relay whose own links were reset: the upstream did not crash",
            script: scripts.reset,
            relays: ["cut-off"],
            status: 502,
        },
    ];
    for (const row of rows) {
        it(row.title, async () => {
            const { script = scripts.good, relays = ["relay"], route = unsafe } = row;
            await withTestbed({ script, relays, route }, async ({ entry, upstream, crashes }) => {
                const answer = await postToEntry(entry.url);
                expect(answer.status).to.equal(row.status);
                if (row.body !== undefined) {
                    expect(answer.body).to.equal(row.body);
                }
                expect(crashes).to.deep.equal(row.crashes ?? []);
                expect(entry.suspects).to.deep.equal(row.suspects ?? []);
                expect(upstream.requests.length).to.equal(row.arrivals ?? 1);
            });
        });
    }

    it("an upstream that no relay reaches is suspected, and the request was not sent", async () => {
        await withTestbed({ upstreams: [goneUpstream] }, async ({ entry, relays }) => {
            const relay = await TestRelay.open([goneUpstream]);
            const source = new TestRelaySource([relay]);
            const other = await TestEntry.open({
                upstreams: [goneUpstream],
                route: { most_attempts: 1 },
                getConnections: source.getConnections,
            });
            try {
                expect((await postToEntry(other.url)).status).to.equal(503);
                expect(other.suspects).to.deep.equal(["gone"]);
                expect([entry.suspects.length, relays[0]?.received]).to.deep.equal([0, 0]);
            }
            finally {
                await other.close();
                await relay.close();
                await source.connections.destroy();
            }
        });
    });

    it("an upstream in backoff at the relay gets nothing, and the entry learns of it", async () => {
        await withTestbed({ backoffMs: 700 }, async ({ entry, relays, source, upstream }) => {
            relays[0]!.backoffMs = 700;
            expect((await postToEntry(entry.url)).status).to.equal(503);
            expect([upstream.requests.length, source.backoffs]).to.deep.equal([0, ["u 700"]]);
        });
    });

    for (const name of ["u@1", "a%2Fb@1", "é@1", "名@1", "名".repeat(200), 'a"b@1']) {
        it(`the upstream is named ${name.slice(0, 9)}`, async () => {
            await withTestbed({ name }, async ({ entry }) => {
                expect((await postToEntry(entry.url)).status).to.equal(200);
            });
        });
    }

    it("the relay receives the notices in the answer", async () => {
        await withTestbed({ script: scripts.declining }, async ({ entry, relays }) => {
            await postToEntry(entry.url);
            expect(relays[0]?.heads).to.deep.equal([503]);
        });
    });

    for (const headBytes of [24 * 1_024, 32_700]) {
        it(`a head of ${String(headBytes)} bytes arrives whole`, async () => {
            const value = "v".repeat(headBytes - "x-idonex-largecontent-length2".length);
            const script: UpstreamScript = (socket, id) =>
                socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-large: ${value}\r\ncontent-length: 2\r\n\r\nok`);
            await withTestbed({ script }, async ({ entry, source }) => {
                const dispatcher = new Agent({ maxHeaderSize: 2 * headBytes });
                const response = await request(entry.url, { method: "POST", headers: { "x-id": "one" }, dispatcher });
                expect(source.failures).to.deep.equal([]);
                expect([response.statusCode, await response.body.text()]).to.deep.equal([200, "ok"]);
                expect(response.headers["x-large"]).to.equal(value);
                await dispatcher.close();
            });
        });
    }

    it("method, path, body and headers arrive unchanged, without headers that a caller made up for relays", async () => {
        await withTestbed({}, async ({ entry, upstream }) => {
            await request(`${entry.url}/a/b?c=d%20e`, {
                method: "PUT",
                headers: { "x-id": "one", "x-crankfork-relay-upstream": "other", "x-some": "thing" },
                body: "the body",
            });
            const [received = ""] = upstream.requests;
            expect(received).to.match(/^PUT \/a\/b\?c=d%20e HTTP\/1.1\r\n/);
            expect(received).to.match(/\r\nx-some: thing\r\n/);
            expect(received).to.match(/\r\n\r\nthe body$/);
            expect(received).not.to.match(/x-crankfork-relay/);
        });
    });

    it("a caller that leaves is noticed by the upstream within half a second", async () => {
        let closedMs: number | undefined;
        const script: UpstreamScript = (socket) => {
            socket.once("close", () => {
                closedMs = performance.now();
            });
        };
        await withTestbed({ script }, async ({ entry, upstream, relays }) => {
            const { host, port } = parseUrl(entry.url);
            const caller = createConnection(port, host);
            caller.write("POST / HTTP/1.1\r\nhost: h\r\nx-id: one\r\ncontent-length: 1\r\n\r\nb");
            await waitFor(() => upstream.requests.length === 1);
            const leftMs = performance.now();
            caller.destroy();
            await waitFor(() => closedMs !== undefined);
            expect((closedMs ?? Infinity) - leftMs).to.be.lessThan(500);
            await waitFor(() => relays[0]?.relayServer.openRequests === 0);
        });
    });

    it("a caller that does not read holds up the upstream, so that the relay buffers little", async () => {
        const total = 40_000_000;
        let written = 0;
        const script: UpstreamScript = (socket, id) => {
            socket.write(formatStreamHead(id));
            const event = formatChunk(`data: ${"x".repeat(100_000)}\n\n`);
            const write = (): void => {
                while (written < total) {
                    written += event.length;
                    if (!socket.write(event)) {
                        socket.once("drain", write);
                        return;
                    }
                }
            };
            write();
        };
        const unread = new UnreadBudget({
            budgetBytes: 100_000,
            getNowMs: () => performance.now(),
            log: { record: () => undefined },
            countPause: () => undefined,
        });
        await withTestbed({ script, route: { kind: "stream", timeout_ms: 20_000 }, unread }, async ({ entry }) => {
            const { host, port } = parseUrl(entry.url);
            const caller = createConnection(port, host);
            caller.pause();
            caller.write("POST / HTTP/1.1\r\nhost: h\r\nx-id: one\r\ncontent-length: 1\r\n\r\nb");
            // On a busy machine the buffers on the way take longer to fill.
            for (let heldAt = 0; written === 0 || written !== heldAt;) {
                heldAt = written;
                await new Promise((resolve) => setTimeout(resolve, HELD_MS));
            }
            expect(written).to.be.lessThan(total);
            caller.destroy();
        });
    });
});

function parseUrl(url: string): { readonly host: string; readonly port: number; } {
    const { hostname, port } = new URL(url);
    return { host: hostname, port: Number(port) };
}

async function waitFor(isDone: () => boolean): Promise<void> {
    const endMs = performance.now() + 2_000;
    while (!isDone() && performance.now() < endMs) {
        await new Promise((resolve) => setTimeout(resolve, 10));
    }
}
