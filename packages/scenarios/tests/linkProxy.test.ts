import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Link, LinkProxy, type LinkState, resetSocket } from "../src/soak/linkProxy.js";

const sound: LinkState = { kind: "sound" };
/** Longer than any transfer takes on loopback. */
const WAIT_MS = 80;

/** Opens an echo server behind a proxy. */
async function openProxiedEcho(links: { toTarget: Link; fromTarget: Link; }): Promise<{
    readonly proxy: LinkProxy;
    readonly open: () => Promise<EchoClient>;
    readonly close: () => void;
}> {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
        sockets.push(socket.on("error", () => undefined));
        socket.pipe(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const target = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    const proxy = await LinkProxy.open({ target, getLinks: () => links });
    return {
        proxy,
        open: async () => {
            const echo = new EchoClient(proxy.address);
            await once(echo.socket, "connect");
            return echo;
        },
        close: () => {
            proxy.close();
            server.close();
            sockets.forEach((socket) => socket.destroy());
        },
    };
}

class EchoClient {
    readonly socket: Socket;
    received = "";
    isClosed = false;

    constructor(address: string) {
        const [host = "", port = ""] = address.split(":");
        this.socket = connect(Number(port), host);
        this.socket.on("data", (bytes) => {
            this.received += bytes.toString();
        });
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => {
            this.isClosed = true;
        });
    }

    async send(text: string): Promise<void> {
        this.socket.write(text);
        await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
    }
}

describe("a link forwards bytes according to its state, for each direction separately", () => {
    const rows: readonly {
        readonly title: string;
        readonly toTarget?: LinkState;
        readonly fromTarget?: LinkState;
        readonly during: string;
        /** Bytes received once the link is sound again and one more byte was sent. */
        readonly after: string;
    }[] = [
        { title: "sound", during: "a", after: "ab" },
        { title: "held towards the target", toTarget: { kind: "held" }, during: "", after: "ab" },
        { title: "held from the target", fromTarget: { kind: "held" }, during: "", after: "ab" },
        { title: "dropped towards the target", toTarget: { kind: "dropped" }, during: "", after: "" },
        { title: "dropped from the target", fromTarget: { kind: "dropped" }, during: "", after: "" },
        {
            title: "delayed for longer than the wait",
            toTarget: { kind: "delayed", delayMs: 120 },
            during: "",
            after: "ab",
        },
        { title: "throttled", toTarget: { kind: "throttled", bytesPerSecond: 1_000 }, during: "a", after: "ab" },
    ];
    for (const { title, toTarget = sound, fromTarget = sound, during, after } of rows) {
        it(title, async () => {
            const links = { toTarget: new Link(), fromTarget: new Link() };
            const { open, close } = await openProxiedEcho(links);
            try {
                const echo = await open();
                links.toTarget.setState(toTarget);
                links.fromTarget.setState(fromTarget);
                await echo.send("a");
                const seenDuring = echo.received;
                links.toTarget.setState(sound);
                links.fromTarget.setState(sound);
                await echo.send("b");
                const other = await open();
                await other.send("c");
                expect({ during: seenDuring, after: echo.received, isClosed: echo.isClosed, other: other.received })
                    .to.deep.equal({ during, after, isClosed: false, other: "c" });
            }
            finally {
                close();
            }
        });
    }

    it("open connections can be silenced without affecting new ones, and reset", async () => {
        const { proxy, open, close } = await openProxiedEcho({ toTarget: new Link(), fromTarget: new Link() });
        try {
            const echo = await open();
            proxy.silence();
            await echo.send("a");
            const other = await open();
            await other.send("b");
            const seen = { silent: echo.received, isClosed: echo.isClosed, other: other.received };
            proxy.reset();
            await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
            expect({ ...seen, isReset: echo.isClosed && other.isClosed })
                .to.deep.equal({ silent: "", isClosed: false, other: "b", isReset: true });
        }
        finally {
            close();
        }
    });
});

describe("a reset closes a connection, so that the process can exit", () => {
    const rows: readonly { readonly title: string; readonly prepare: (socket: Socket) => void; }[] = [
        { title: "open", prepare: () => undefined },
        { title: "with bytes to send", prepare: (socket) => socket.write("a") },
        { title: "whose shutdown is under way", prepare: (socket) => socket.end() },
        { title: "whose shutdown follows its last bytes", prepare: (socket) => socket.end("a") },
        {
            title: "that is closing",
            prepare: (socket) => {
                socket.destroySoon();
            },
        },
        { title: "that is closed", prepare: (socket) => socket.destroy() },
    ];
    for (const { title, prepare } of rows) {
        it(title, async () => {
            const server = createServer((socket) => socket.on("error", () => undefined).resume());
            await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
            const { port } = server.address() as AddressInfo;
            const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
            await Promise.all([once(socket, "connect"), once(server, "connection")]);
            const errors: Error[] = [];
            socket.on("error", (error) => errors.push(error));
            const closed = once(socket, "close");
            prepare(socket);
            // The shutdown is requested in the next tick.
            await new Promise<void>((resolve) => {
                process.nextTick(resolve);
            });
            resetSocket(socket);
            await closed;
            // Resolves only once the server has seen the end of the connection.
            await new Promise((resolve) => server.close(resolve));
            expect(errors).to.deep.equal([]);
        });
    }
});
