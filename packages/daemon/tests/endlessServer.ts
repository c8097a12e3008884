/**
 * A server on a raw socket whose replies never end.
 */
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** A reply: what it begins with, and what is repeated until the client closes the connection. */
export interface EndlessReply {
    readonly title: string;
    readonly opening: string;
    readonly repeated: string;
    /** Pause after each repetition, in milliseconds; 0 sends as fast as the client reads. */
    readonly pauseMs: number;
}

const CHUNK = "x".repeat(65_536);
const HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;

/** Replies that never end, in each part of a response. */
export const endlessReplies: readonly EndlessReply[] = [
    { title: "chunks", opening: CHUNKED, repeated: `10000\r\n${CHUNK}\r\n`, pauseMs: 0 },
    { title: "a body that the connection's end delimits", opening: `${HEAD}\r\n`, repeated: CHUNK, pauseMs: 0 },
    { title: "a length of 1 TB", opening: `${HEAD}content-length: 1000000000000\r\n\r\n`, repeated: CHUNK, pauseMs: 0 },
    { title: "chunks of one byte", opening: CHUNKED, repeated: "1\r\nx\r\n".repeat(10_000), pauseMs: 0 },
    { title: "a chunk extension", opening: `${CHUNKED}1;`, repeated: CHUNK, pauseMs: 0 },
    { title: "trailers", opening: `${CHUNKED}1\r\n1\r\n0\r\n`, repeated: `a: ${"x".repeat(4_096)}\r\n`, pauseMs: 0 },
    { title: "one header", opening: `${HEAD}a: `, repeated: CHUNK, pauseMs: 0 },
    { title: "many headers", opening: HEAD, repeated: "a: b\r\n".repeat(10_000), pauseMs: 0 },
    { title: "a status line", opening: "HTTP/1.1 200 ", repeated: CHUNK, pauseMs: 0 },
    {
        title: "interim responses",
        opening: "",
        repeated: "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n".repeat(1_000),
        pauseMs: 0,
    },
    { title: "a trickling body", opening: CHUNKED, repeated: "1\r\n1\r\n", pauseMs: 25 },
    { title: "trickling headers", opening: HEAD, repeated: "a: b\r\n", pauseMs: 25 },
];

/** Sends one endless reply to each request. */
export class EndlessServer {
    /** Bytes sent on all connections. */
    sentBytes = 0;
    private readonly sockets = new Set<Socket>();
    private readonly answering = new Set<Socket>();

    private constructor(private readonly server: Server, private readonly maxBytes: number) {}

    /**
     * Opens a server.
     * @param reply - the reply
     * @param maxBytes - bytes after which it closes the connection itself
     */
    static async open(reply: EndlessReply, maxBytes: number): Promise<EndlessServer> {
        const server = createServer();
        const endless = new EndlessServer(server, maxBytes);
        server.on("connection", (socket) => {
            endless.serve(socket, reply);
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        return endless;
    }

    get address(): string {
        return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
    }

    /** Open connections with a reply; undici opens another one after it has closed that of a cancelled request. */
    get openReplies(): number {
        return this.answering.size;
    }

    close(): void {
        this.sockets.forEach((socket) => socket.destroy());
        this.server.close();
    }

    private serve(socket: Socket, { opening, repeated, pauseMs }: EndlessReply): void {
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.answering.delete(socket);
        });
        const send = (): void => {
            if (socket.destroyed || this.sentBytes > this.maxBytes) {
                socket.destroy();
                return;
            }
            this.sentBytes += repeated.length;
            const isFull = !socket.write(repeated);
            if (pauseMs > 0) {
                setTimeout(send, pauseMs);
            }
            else if (isFull) {
                socket.once("drain", send);
            }
            else {
                setImmediate(send);
            }
        };
        socket.once("data", () => {
            this.answering.add(socket);
            socket.write(opening);
            send();
        });
    }
}
