import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { type AddressInfo, createServer, Socket } from "node:net";
import { buildConnector } from "undici";
import { withConnectTimeout } from "../src/connection/withConnectTimeout.js";

const TIMEOUT_MS = 300;
const options: buildConnector.Options = { hostname: "h", protocol: "http:", port: "1" };

const rows: readonly {
    readonly title: string;
    /** Time until the connection is established or fails; undefined for never. */
    readonly endsMs: number | undefined;
    readonly fails: boolean;
    readonly found: readonly string[];
    readonly isClosed: boolean;
}[] = [
    { title: "connects at once", endsMs: 0, fails: false, found: ["connected"], isClosed: false },
    { title: "connects within the time-out", endsMs: 299, fails: false, found: ["connected"], isClosed: false },
    { title: "fails within the time-out", endsMs: 10, fails: true, found: ["refused"], isClosed: false },
    {
        title: "never connects",
        endsMs: undefined,
        fails: false,
        found: ["UND_ERR_CONNECT_TIMEOUT"],
        isClosed: false,
    },
    {
        title: "connects after the time-out",
        endsMs: 1_000,
        fails: false,
        found: ["UND_ERR_CONNECT_TIMEOUT"],
        isClosed: true,
    },
    {
        title: "fails after the time-out",
        endsMs: 1_000,
        fails: true,
        found: ["UND_ERR_CONNECT_TIMEOUT"],
        isClosed: false,
    },
];

describe("a connection is established within the time-out or fails", () => {
    for (const { title, endsMs, fails, found, isClosed } of rows) {
        it(title, () => {
            const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout", "setImmediate"] });
            const socket = new Socket();
            const seen: string[] = [];
            const connect: buildConnector.connector = (_options, callback) => {
                if (endsMs !== undefined) {
                    setTimeout(() => {
                        if (fails) {
                            callback(new Error("refused"), null);
                        }
                        else {
                            callback(null, socket);
                        }
                    }, endsMs);
                }
            };
            withConnectTimeout(connect, TIMEOUT_MS)(options, (...[error]) => {
                seen.push(error === null ? "connected" : (error as NodeJS.ErrnoException).code ?? error.message);
            });
            clock.tick(5_000);
            clock.uninstall();
            expect(seen).to.deep.equal(found);
            expect(socket.destroyed).to.equal(isClosed);
            socket.destroy();
        });
    }

    it("also if the process stands still for longer while the connection is established", async () => {
        const server = createServer();
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const port = String((server.address() as AddressInfo).port);
        const connect = withConnectTimeout(buildConnector({}), 20);
        const result = new Promise<unknown>((resolve) => {
            connect({ hostname: "127.0.0.1", protocol: "http:", port }, (...[error, socket]) => {
                socket?.destroy();
                resolve(error);
            });
        });
        const endMs = performance.now() + 60;
        while (performance.now() < endMs) {
            // Keeps the event loop busy.
        }
        expect(await result).to.equal(null);
        server.close();
    });
});
