/** Guards against responses of pipelined requests that stay open after their connection has ended. */
import { expect } from "chai";
import { createConnection } from "node:net";
import { openServer } from "../src/process/httpServer.js";
import { waitMs } from "../src/process/waitMs.js";

const MAX_WAIT_MS = 500;

function formatRequest(at: number): string {
    return `GET /${String(at)} HTTP/1.1\r\nhost: h\r\n\r\n`;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
    const endMs = performance.now() + MAX_WAIT_MS;
    while (!isDone() && performance.now() < endMs) {
        await waitMs(5);
    }
}

describe("each response closes once, at the latest with its connection", () => {
    const rows: readonly {
        readonly title: string;
        readonly requests: number;
        /** Requests that are answered at once; the others never are. */
        readonly answered: number;
    }[] = [
        { title: "one request", requests: 1, answered: 0 },
        { title: "two requests, neither answered", requests: 2, answered: 0 },
        { title: "two requests, the first answered", requests: 2, answered: 1 },
        { title: "two requests, both answered", requests: 2, answered: 2 },
        { title: "twenty requests", requests: 20, answered: 5 },
    ];
    for (const { title, requests, answered } of rows) {
        it(title, async () => {
            const closed: string[] = [];
            const arrived: string[] = [];
            const warnings: Error[] = [];
            const recordWarning = (warning: Error): void => {
                warnings.push(warning);
            };
            process.on("warning", recordWarning);
            const server = await openServer("127.0.0.1:0", ({ url = "" }, response) => {
                arrived.push(url);
                response.on("close", () => closed.push(url));
                if (arrived.length <= answered) {
                    response.end();
                }
            });
            try {
                const all = Array.from({ length: requests }, (_, at) => `/${String(at)}`);
                const client = createConnection(Number(server.address.split(":")[1]), "127.0.0.1");
                client.resume();
                client.write(Array.from({ length: requests }, (_, at) => formatRequest(at)).join(""));
                await waitUntil(() => arrived.length === requests && closed.length >= answered);
                client.destroy();
                await waitUntil(() => closed.length >= requests);
                await waitMs(20);
                expect(closed.sort()).to.deep.equal(all.sort());
                expect(warnings).to.deep.equal([]);
            }
            finally {
                process.off("warning", recordWarning);
                await server.close();
            }
        });
    }

    it("requests on a kept connection leave no listeners there", async () => {
        const counts: number[] = [];
        const server = await openServer("127.0.0.1:0", ({ socket }, response) => {
            counts.push(socket.listenerCount("close"));
            response.end();
        });
        const client = createConnection(Number(server.address.split(":")[1]), "127.0.0.1");
        client.resume();
        try {
            for (let at = 0; at < 5; at += 1) {
                client.write(formatRequest(at));
                await waitUntil(() => counts.length > at);
                await waitMs(5);
            }
            expect(counts).to.deep.equal(Array(5).fill(counts[0]));
        }
        finally {
            client.destroy();
            await server.close();
        }
    });
});
