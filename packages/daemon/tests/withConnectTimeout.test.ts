import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { Socket } from "node:net";
import type { buildConnector } from "undici";
import { withConnectTimeout } from "../src/connection/withConnectTimeout.js";

const LIMIT_MS = 300;
const options: buildConnector.Options = { hostname: "h", protocol: "http:", port: "1" };

const rows: readonly {
    readonly title: string;
    /** When the connection comes up or fails; undefined for never. */
    readonly endsMs: number | undefined;
    readonly fails: boolean;
    readonly found: readonly string[];
    readonly isClosed: boolean;
}[] = [
    { title: "it comes up at once", endsMs: 0, fails: false, found: ["connected"], isClosed: false },
    { title: "it comes up in time", endsMs: 299, fails: false, found: ["connected"], isClosed: false },
    { title: "it fails in time", endsMs: 10, fails: true, found: ["refused"], isClosed: false },
    {
        title: "it never comes up",
        endsMs: undefined,
        fails: false,
        found: ["UND_ERR_CONNECT_TIMEOUT"],
        isClosed: false,
    },
    { title: "it comes up too late", endsMs: 1_000, fails: false, found: ["UND_ERR_CONNECT_TIMEOUT"], isClosed: true },
    { title: "it fails too late", endsMs: 1_000, fails: true, found: ["UND_ERR_CONNECT_TIMEOUT"], isClosed: false },
];

describe("a connection comes up within its time, or is given up", () => {
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
            withConnectTimeout(connect, LIMIT_MS)(options, (...[error]) => {
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
