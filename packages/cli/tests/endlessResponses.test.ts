import { expect } from "chai";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { OperatorError, requestInstance } from "../src/operatorClient.js";

const MIB = 1_048_576;
/** The limit of a response, and what the sockets of both sides may hold beyond it. */
const MAX_SENT_BYTES = 72 * MIB;
const HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNK = "x".repeat(65_536);

describe("a response to the operator's command that never ends fails, and its connection is closed", () => {
    const rows: readonly {
        readonly title: string;
        readonly opening: string;
        readonly repeated: string;
        readonly pauseMs: number;
        readonly timeoutMs: number;
        readonly message: RegExp;
    }[] = [
        {
            title: "a body",
            opening: `${HEAD}\r\n`,
            repeated: CHUNK,
            pauseMs: 0,
            timeoutMs: 15_000,
            message: /larger than the limit of 67108864 bytes/,
        },
        {
            title: "a body that trickles",
            opening: `${HEAD}\r\n`,
            repeated: "x",
            pauseMs: 25,
            timeoutMs: 500,
            message: /timeout/,
        },
        {
            title: "a head",
            opening: `${HEAD}a: `,
            repeated: CHUNK,
            pauseMs: 0,
            timeoutMs: 15_000,
            message: /bytes without an end of a head/,
        },
        {
            title: "a head that trickles",
            opening: HEAD,
            repeated: "a: b\r\n",
            pauseMs: 25,
            timeoutMs: 500,
            message: /timeout/,
        },
    ];
    for (const { title, opening, repeated, pauseMs, timeoutMs, message } of rows) {
        it(title, async () => {
            const open = new Set<Socket>();
            let sentBytes = 0;
            const server = createServer((socket) => {
                socket.on("error", () => undefined).on("close", () => open.delete(socket));
                const send = (): void => {
                    if (socket.destroyed || sentBytes > 4 * MAX_SENT_BYTES) {
                        socket.destroy();
                        return;
                    }
                    sentBytes += repeated.length;
                    const hasRoom = socket.write(repeated);
                    if (pauseMs > 0 || hasRoom) {
                        setTimeout(send, pauseMs);
                    }
                    else {
                        socket.once("drain", send);
                    }
                };
                socket.once("data", () => {
                    open.add(socket);
                    socket.write(opening);
                    send();
                });
            });
            await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
            const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
            const startMs = performance.now();
            const call = requestInstance({ address, secret: undefined, timeoutMs }, {
                method: "GET",
                path: "/v1/status",
            });
            const error: unknown = await Promise.race([
                call.catch((one: unknown) => one),
                new Promise((resolve) => {
                    setTimeout(resolve, timeoutMs + 2_000, "still open");
                }),
            ]);
            const ms = performance.now() - startMs;
            await new Promise((resolve) => setTimeout(resolve, 50));
            const openConnections = open.size;
            open.forEach((socket) => socket.destroy());
            server.close();
            expect(error).to.be.instanceOf(OperatorError);
            expect((error as OperatorError).message).to.match(message);
            expect(ms).to.be.below(timeoutMs + 1_000);
            expect(sentBytes).to.be.below(MAX_SENT_BYTES);
            expect(openConnections).to.equal(0);
        });
    }
});
