/** Guards against requests that end the process that serves them. */
import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { CallerPort } from "../src/process/entry/callerPort.js";
import { openServer, type RequestHandler } from "../src/process/httpServer.js";
import { watchTaskFailures } from "../src/process/taskFailures.js";

const rows: readonly {
    readonly title: string;
    readonly head: string;
    /** What the handler does with requests to any other path than /sound. */
    readonly handle?: (request: IncomingMessage, response: ServerResponse) => void;
    readonly failed?: readonly string[];
}[] = [
    {
        title: "a handler that throws",
        head: "GET /x HTTP/1.1\r\n",
        handle: () => {
            throw new Error("injected");
        },
        failed: ["request"],
    },
    {
        title: "a header value that can't be sent",
        head: "GET /x HTTP/1.1\r\n",
        handle: (_request, response) => {
            response.writeHead(200, { "x-name": "a\nb" });
        },
        failed: ["request"],
    },
    {
        title: "a write after the end",
        head: "GET /x HTTP/1.1\r\n",
        handle: (_request, response) => {
            response.end();
            response.write("x");
        },
        failed: ["response"],
    },
    { title: "an upgrade", head: "GET /x HTTP/1.1\r\nconnection: upgrade\r\nupgrade: websocket\r\n" },
    { title: "a tunnel", head: "CONNECT x:1 HTTP/1.1\r\n" },
    { title: "an unknown expectation", head: "POST /x HTTP/1.1\r\nexpect: x\r\ncontent-length: 1\r\n" },
    { title: "an upload that is aborted", head: "POST /x HTTP/1.1\r\ncontent-length: 100\r\n" },
    { title: "pipelined requests", head: "GET /x HTTP/1.1\r\nhost: x\r\n\r\nGET /x HTTP/1.1\r\n" },
    { title: "bytes that are no request", head: "\0\x01 x\r\n" },
];

const ports: readonly {
    readonly name: string;
    readonly open: (handle: RequestHandler) => Promise<{ readonly address: string; close: () => Promise<void>; }>;
}[] = [
    { name: "the port for callers", open: (handle) => CallerPort.open("127.0.0.1:0", handle) },
    { name: "another port", open: (handle) => openServer("127.0.0.1:0", handle) },
];

/** Sends a request over a connection of its own, which is reset if the server does not close it. */
async function sendHead(address: string, head: string): Promise<string> {
    const [host = "", port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => socket.resetAndDestroy(), 300);
    socket.write(`${head}host: x\r\n\r\n`);
    try {
        return await text(socket);
    }
    catch {
        return "";
    }
    finally {
        clearTimeout(timer);
    }
}

describe("a request that fails ends nothing else", () => {
    for (const { name, open } of ports) {
        for (const { title, head, handle, failed = [] } of rows) {
            it(`${title}, at ${name}`, async () => {
                const found: string[] = [];
                const stopWatch = watchTaskFailures((task) => found.push(task));
                const server = await open((request, response) => {
                    if (request.url === "/sound" || handle === undefined) {
                        request.resume();
                        response.end("sound");
                        return;
                    }
                    handle(request, response);
                });
                await sendHead(server.address, head);
                const sound = await sendHead(server.address, "GET /sound HTTP/1.1\r\nconnection: close\r\n");
                await server.close();
                stopWatch();
                expect(sound).to.match(/^HTTP\/1.1 200 OK.*sound$/s);
                expect(found).to.deep.equal(failed);
            });
        }
    }
});
