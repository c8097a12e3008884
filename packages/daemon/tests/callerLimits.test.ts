import { expect } from "chai";
import { connect } from "node:net";
import { readCallerBody } from "../src/process/callerBody.js";
import { CallerPort } from "../src/process/entry/callerPort.js";

const limits = { header_bytes: 4_096, body_bytes: 100, header_timeout_ms: 600, idle_timeout_ms: 900 };
/** The port checks four times a second; the rest is for the machine's load. */
const CHECK_MS = 1_000;
const HEAD = "POST /a HTTP/1.1\r\nhost: a\r\n";

/** Sends text, then repeats more of it, and returns what came back and when the connection closed. */
async function send(
    address: string,
    text: string,
    repeated: string,
    pauseMs: number,
): Promise<{ readonly received: string; readonly sentBytes: number; readonly ms: number; }> {
    const startMs = performance.now();
    const socket = connect({ host: "127.0.0.1", port: Number(address.split(":")[1]) });
    socket.on("error", () => undefined);
    let received = "";
    let sentBytes = text.length;
    socket.on("data", (data: Buffer) => {
        received += data.toString("latin1");
    });
    socket.write(text);
    const timer = setInterval(() => {
        sentBytes += repeated.length;
        socket.write(repeated);
    }, pauseMs);
    const limit = setTimeout(() => socket.destroy(), 4_000);
    await new Promise((resolve) => socket.once("close", resolve));
    clearInterval(timer);
    clearTimeout(limit);
    return { received, sentBytes, ms: performance.now() - startMs };
}

describe("a caller's request stays within the operator's limits", () => {
    const rows: readonly {
        readonly title: string;
        readonly text: string;
        readonly repeated: string;
        readonly found: RegExp;
        readonly maxMs: number;
    }[] = [
        {
            title: "a head within the limit",
            text: `${HEAD}a: ${"x".repeat(4_096 - HEAD.length - 50)}\r\nconnection: close\r\n\r\n`,
            repeated: "",
            found: /^HTTP\/1.1 200 /,
            maxMs: CHECK_MS,
        },
        {
            title: "a head above the limit",
            text: `${HEAD}a: ${"x".repeat(4_096)}\r\n\r\n`,
            repeated: "",
            found: /^HTTP\/1.1 431 /,
            maxMs: CHECK_MS,
        },
        {
            title: "a head without an end",
            text: `${HEAD}a: `,
            repeated: "x".repeat(16_384),
            found: /^HTTP\/1.1 431 /,
            maxMs: CHECK_MS,
        },
        {
            title: "headers without an end",
            text: HEAD,
            repeated: "a: b\r\n".repeat(20_000),
            found: /^HTTP\/1.1 431 /,
            maxMs: CHECK_MS,
        },
        {
            title: "a head that trickles",
            text: HEAD,
            repeated: "a: b\r\n",
            found: /^HTTP\/1.1 408 /,
            maxMs: limits.header_timeout_ms + CHECK_MS,
        },
        {
            title: "a connection without a request",
            text: "",
            repeated: "",
            found: /^$/,
            maxMs: limits.idle_timeout_ms + CHECK_MS,
        },
        {
            title: "a body that stops",
            text: `${HEAD}content-length: 10\r\n\r\nabc`,
            repeated: "",
            found: /^$/,
            maxMs: limits.idle_timeout_ms + CHECK_MS,
        },
        {
            title: "a body that takes longer than the head and the idle time, but does not stop",
            text: `${HEAD}connection: close\r\ncontent-length: 20\r\n\r\n`,
            repeated: "x",
            found: /^HTTP\/1.1 200 /,
            maxMs: 4_000,
        },
    ];
    for (const { title, text, repeated, found, maxMs } of rows) {
        it(title, async () => {
            const port = await CallerPort.open("127.0.0.1:0", (request, response) => {
                void readCallerBody(request, limits.body_bytes, limits.idle_timeout_ms).then((body) => {
                    response.end(body);
                });
            });
            port.applyLimits(limits);
            const { received, sentBytes, ms } = await send(port.address, text, repeated, 100);
            await port.close();
            expect(received).to.match(found);
            expect(ms).to.be.below(maxMs);
            expect(sentBytes).to.be.below(512 * 1_024);
        });
    }

    it("a slow response is not cut off", async () => {
        const port = await CallerPort.open("127.0.0.1:0", (request, response) => {
            request.resume();
            setTimeout(() => response.end("{}"), 2 * limits.idle_timeout_ms);
        });
        port.applyLimits(limits);
        const { received } = await send(port.address, `${HEAD}connection: close\r\ncontent-length: 0\r\n\r\n`, "", 100);
        await port.close();
        expect(received).to.match(/^HTTP\/1.1 200 /);
    });
});
