import { expect } from "chai";
import { connect } from "node:net";
import { createAgent, fetchJson } from "../src/connection/httpClient.js";
import { type OpenServer, openServer, readBody } from "../src/process/httpServer.js";
import { endlessReplies, EndlessServer } from "./endlessServer.js";

const MIB = 1_048_576;
const LIMIT_BYTES = MIB;
/** Several times the limit, which includes what is not yet collected as garbage. */
const MAX_GROWTH_BYTES = 32 * MIB;
const CHUNKS = "1\r\nx\r\n".repeat(10_000);

/** Runs a function, and returns by how much the memory in use was larger meanwhile. */
async function measureGrowth(run: () => Promise<unknown>): Promise<number> {
    const readUsed = (): number => process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
    const before = readUsed();
    let most = before;
    const timer = setInterval(() => {
        most = Math.max(most, readUsed());
    }, 20);
    await run();
    clearInterval(timer);
    return most - before;
}

describe("a body in chunks of one byte takes no more memory than its limit allows", () => {
    it("of a response", async () => {
        const reply = endlessReplies.find((one) => one.title === "chunks of one byte") ?? expect.fail();
        const server = await EndlessServer.open(reply, 16 * MIB);
        const agent = createAgent();
        const url = `http://${server.address}/`;
        const options = { agent, peer: "p", url, method: "GET", limitBytes: LIMIT_BYTES } as const;
        const growth = await measureGrowth(() => fetchJson(options, 10_000).catch(() => undefined));
        await agent.destroy();
        server.close();
        expect(growth).to.be.below(MAX_GROWTH_BYTES);
    });

    it("of a request", async () => {
        let isRead: (() => void) | undefined;
        const server: OpenServer = await openServer("127.0.0.1:0", (request, response) => {
            void readBody(request, LIMIT_BYTES).catch(() => undefined).then(() => {
                response.destroy();
                isRead?.();
            });
        });
        const growth = await measureGrowth(async () => {
            const end = new Promise<void>((resolve) => {
                isRead = resolve;
            });
            const port = Number(server.address.split(":")[1] satisfies string | undefined);
            const socket = connect({ host: "127.0.0.1", port }).on("error", () => undefined);
            socket.write("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
            const send = (): void => {
                let hasRoom = true;
                while (hasRoom && !socket.destroyed) {
                    hasRoom = socket.write(CHUNKS);
                }
            };
            socket.on("drain", send);
            send();
            await end;
        });
        await server.close();
        expect(growth).to.be.below(MAX_GROWTH_BYTES);
    });
});
