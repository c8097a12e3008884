import { expect } from "chai";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { text } from "node:stream/consumers";
import { BodyTooLargeError, readBody, sendJson } from "../src/process/httpServer.js";

const LIMIT_BYTES = 64 * 1_024;
const BODY_BYTES = 4 * 1_024 * 1_024;
const REQUESTS = 20;

/** Sends a request, reads nothing before all of it is written, and returns what the server sent. */
async function upload(port: number, head: string, body: Buffer): Promise<string> {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    await new Promise((resolve) => {
        socket.write(`PUT / HTTP/1.1\r\nhost: a\r\n${head}\r\n\r\n`);
        socket.write(body, resolve);
    });
    return await text(socket).catch(() => "reset");
}

const rows = [
    { title: "with a length", head: `content-length: ${String(BODY_BYTES)}`, body: Buffer.alloc(BODY_BYTES, "a") },
    {
        title: "in chunks",
        head: "transfer-encoding: chunked",
        body: Buffer.from(`${BODY_BYTES.toString(16)}\r\n${"a".repeat(BODY_BYTES)}\r\n0\r\n\r\n`),
    },
];

describe("a client that is still sending a body above the limit receives the response", () => {
    for (
        const { title, head, body, isRead } of rows.flatMap((row) => [
            { ...row, isRead: true },
            { ...row, title: `${row.title}, which is not read at all`, isRead: false },
        ])
    ) {
        it(title, async () => {
            const server = createServer((request, response) => {
                if (!isRead) {
                    sendJson(response, 413, { error: "too large" }, { connection: "close" });
                    return;
                }
                readBody(request, LIMIT_BYTES).catch((error: unknown) => {
                    expect(error).to.be.instanceOf(BodyTooLargeError);
                    sendJson(response, 413, { error: "too large" }, { connection: "close" });
                });
            });
            await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
            const { port } = server.address() as AddressInfo;
            const answers: string[] = [];
            for (let count = 0; count < REQUESTS; count += 1) {
                answers.push((await upload(port, head, body)).split("\r\n")[0] ?? "");
            }
            server.closeAllConnections();
            server.close();
            expect(answers).to.deep.equal(new Array(REQUESTS).fill("HTTP/1.1 413 Payload Too Large"));
        });
    }
});
