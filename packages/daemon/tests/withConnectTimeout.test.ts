import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { Socket } from "node:net";
import type { buildConnector } from "undici";
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
            const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout"] });
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
});
