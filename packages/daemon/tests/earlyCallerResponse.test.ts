/** Guards against responses that callers lose because they are still sending the body. */
import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { readCallerBody } from "../src/process/callerBody.js";
import { type CallerServer, type CallerServerOptions, createCallerServer } from "../src/process/daemon/callerServer.js";
import { CallerPort } from "../src/process/entry/callerPort.js";
import { type OpenServer, openServer } from "../src/process/httpServer.js";
import { refusals } from "../src/request/routedRefusal.js";
import { RoutedResponse } from "../src/request/routedResponse.js";
import { testCodec } from "./routedHarness.js";

const LIMIT_BYTES = 64 * 1_024;
const LARGE_BYTES = 10_000_000;
const PIECE_BYTES = 32 * 1_024;
const MAX_CLOSE_MS = 8_000;
/** Longer than the rest of a request is read. */
const SLOW_MS = 6_000;
const MAX_MEMORY_BYTES = 64 * 1_024 * 1_024;
const SOUND_REQUEST = "GET /health HTTP/1.1\r\nhost: a\r\n\r\n";

/** Opens a port that serves /health, and refuses other requests: with 413 once it has read too much, or with 503 before it reads. */
type OpenPort = (isReading: boolean) => Promise<OpenServer>;

const ports: readonly { readonly name: string; readonly path: string; readonly open: OpenPort; }[] = [
    {
        name: "an entry",
        path: "/a",
        open: (isReading) =>
            CallerPort.open("127.0.0.1:0", (request, response) => {
                const answer = new RoutedResponse(response, testCodec, () => !isReading);
                const call = testCodec.parseCall(request);
                if (request.url === "/health") {
                    response.end();
                    return;
                }
                if (!isReading) {
                    answer.sendRefusal(call, refusals.stopping, { remainingMs: 1_000 });
                    return;
                }
                void readCallerBody(request, LIMIT_BYTES).then(() => {
                    answer.sendRefusal(call, refusals["body-too-large"], { remainingMs: 1_000 });
                });
            }),
    },
    {
        name: "the product's own interface",
        path: "/v1/completions",
        open: (isReading) => openServer("127.0.0.1:0", createOwnServer(isReading).handle),
    },
];

function createOwnServer(isReading: boolean): CallerServer {
    const options: Partial<CallerServerOptions> = {
        instance: "i",
        bodyLimit: LIMIT_BYTES,
        answerLimits: { maxBufferedBytes: 1_024, stallTimeoutMs: 1_000 },
        getState: () => "ready",
        acceptsRequests: () => isReading,
        scopeFunctions: { record: () => undefined, count: () => undefined, recordMs: () => undefined },
    };
    return createCallerServer(options as CallerServerOptions);
}

const rows = [
    { size: "just above the limit", bytes: LIMIT_BYTES + 1 },
    { size: "10 MB", bytes: LARGE_BYTES },
    { size: "endless", bytes: Number.POSITIVE_INFINITY },
].flatMap(({ size, bytes }) =>
    [{ speed: "fast", ms: 0 }, { speed: "slow", ms: 2_000 }].flatMap(({ speed, ms }) =>
        ["with a length", "in chunks"].flatMap((framing) =>
            [false, true].map((isKept) => ({
                title: `${size}, ${speed}, ${framing}, on a ${isKept ? "kept" : "new"} connection`,
                bytes,
                ms,
                framing,
                isKept,
            }))
        )
    )
);

interface Upload {
    readonly path: string;
    readonly framing: string;
    readonly bytes: number;
    /** Time of the whole body, or of 10 MB of an endless one. */
    readonly ms: number;
}

class Caller {
    received = "";
    isClosed = false;

    private constructor(private readonly socket: Socket) {
        socket.setMaxListeners(0).on("error", () => undefined).on("close", () => {
            this.isClosed = true;
        });
    }

    static async open({ address }: OpenServer): Promise<Caller> {
        const socket = connect({ host: "127.0.0.1", port: Number(address.split(":")[1]) });
        await new Promise((resolve) => socket.once("connect", resolve));
        return new Caller(socket);
    }

    /** Sends a request; reads nothing before all of it is sent, unless it has no end. */
    async upload({ path, framing, bytes, ms }: Upload): Promise<void> {
        const length = Math.min(bytes, Number.MAX_SAFE_INTEGER);
        const isChunked = framing === "in chunks";
        if (bytes === Number.POSITIVE_INFINITY) {
            this.read();
        }
        const header = isChunked ? "transfer-encoding: chunked" : `content-length: ${String(length)}`;
        await this.write(`POST ${path} HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n`);
        const untilMs = performance.now() + MAX_CLOSE_MS;
        const pauseMs = ms * PIECE_BYTES / Math.min(length, LARGE_BYTES);
        for (let sent = 0; sent < length && !this.isClosed && performance.now() < untilMs; sent += PIECE_BYTES) {
            const piece = "x".repeat(Math.min(PIECE_BYTES, length - sent));
            await this.write(isChunked ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece);
            await sleep(pauseMs);
        }
        await this.write(isChunked ? "0\r\n\r\n" : "");
    }

    /** Also resolves if the connection is closed. */
    async write(text: string): Promise<void> {
        await new Promise((resolve) => {
            this.socket.write(text, resolve);
        });
    }

    /** Reads until a number of responses has arrived or the connection is closed, and returns their statuses. */
    async readStatuses(count: number): Promise<string[]> {
        this.read();
        const untilMs = performance.now() + MAX_CLOSE_MS;
        const list = (): string[] => [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1] ?? "");
        while (list().length < count && !this.isClosed && performance.now() < untilMs) {
            await sleep(5);
        }
        return list();
    }

    close(): void {
        this.socket.destroy();
    }

    private read(): void {
        if (this.socket.listenerCount("data") === 0) {
            this.socket.on("data", (data: Buffer) => {
                this.received += data.toString("latin1");
            });
        }
    }
}

describe("a caller that is still sending its body receives the response", () => {
    for (const port of ports) {
        for (const { status, isReading } of [{ status: "413", isReading: true }, { status: "503", isReading: false }]) {
            it(`${status} of ${port.name}`, async () => {
                const server = await port.open(isReading);
                const run = async ({ title, isKept, ...row }: typeof rows[number]) => {
                    const caller = await Caller.open(server);
                    await caller.write(isKept ? SOUND_REQUEST : "");
                    await caller.upload({ ...row, path: port.path });
                    const isEndless = row.bytes === Number.POSITIVE_INFINITY;
                    const hasNext = isKept && isReading && !isEndless;
                    await caller.write(hasNext ? SOUND_REQUEST : "");
                    const expected = [...(isKept ? ["200"] : []), status, ...(hasNext ? ["200"] : [])];
                    const statuses = await caller.readStatuses(expected.length);
                    const found = `${statuses.join()}${isEndless && !caller.isClosed ? ", open" : ""}`;
                    caller.close();
                    return found === expected.join() ? [] : [`${title}: ${found}`];
                };
                let peakBytes = 0;
                const timer = setInterval(() => {
                    peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers);
                }, 20);
                const lost = await Promise.all(rows.map(run));
                clearInterval(timer);
                await server.close();
                expect(peakBytes).to.be.below(MAX_MEMORY_BYTES);
                expect(lost.flat()).to.deep.equal([]);
            });
        }
    }

    it("503 of the product's own interface, whose stop waits for it", async () => {
        const callerServer = createOwnServer(false);
        const server = await openServer("127.0.0.1:0", callerServer.handle);
        const caller = await Caller.open(server);
        const upload = caller.upload({ path: "/v1/completions", framing: "in chunks", bytes: LIMIT_BYTES, ms: 400 });
        await sleep(200);
        const whileSending = callerServer.countOpenRequests();
        await upload;
        const statuses = await caller.readStatuses(1);
        const afterwards = callerServer.countOpenRequests();
        caller.close();
        await server.close();
        expect({ whileSending, statuses, afterwards }).to.deep.equal({
            whileSending: 1,
            statuses: ["503"],
            afterwards: 0,
        });
    });

    it("413 behind another response, which is not cut off", async () => {
        const server = await CallerPort.open("127.0.0.1:0", (request, response) => {
            if (request.url === "/health") {
                setTimeout(() => response.end("late"), SLOW_MS);
                return;
            }
            const answer = new RoutedResponse(response, testCodec, () => false);
            answer.sendRefusal(testCodec.parseCall(request), refusals["body-too-large"], { remainingMs: 1_000 });
        });
        const caller = await Caller.open(server);
        await caller.write(SOUND_REQUEST);
        await caller.upload({ path: "/a", framing: "in chunks", bytes: Number.POSITIVE_INFINITY, ms: 2_000 });
        expect(await caller.readStatuses(2)).to.deep.equal(["200", "413"]);
        expect(caller.received).to.include("late").and.to.include("body");
        expect(caller.isClosed).to.equal(true);
        await server.close();
    });
});
