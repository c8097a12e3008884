/**
 * A TCP proxy on loopback that injects faults, for each direction separately: delay, throttling, stalls, loss and resets.
 */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What happens to the bytes of one direction. */
export type LinkState =
    | { readonly kind: "sound"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    | { readonly kind: "throttled"; readonly bytesPerSecond: number; }
    /** Bytes are kept, and delivered once the link is sound, as with packets that are retransmitted. */
    | { readonly kind: "held"; }
    /** Bytes are lost; a connection that lost any forwards none from then on, but stays open. */
    | { readonly kind: "dropped"; };

const SOUND: LinkState = { kind: "sound" };
const MS_PER_SECOND = 1_000;

/** One direction between two processes, shared by all their connections. */
export class Link {
    private current: LinkState = SOUND;
    private waiting: (() => void)[] = [];

    /** The current state. */
    get state(): LinkState {
        return this.current;
    }

    /**
     * Sets the state; bytes that are held are released unless the new state holds them, too.
     * @param state - the new state
     */
    setState(state: LinkState): void {
        this.current = state;
        const { waiting } = this;
        this.waiting = [];
        waiting.forEach((wake) => {
            wake();
        });
    }

    /** Resolves when the state is set next. */
    waitForChange(): Promise<void> {
        return new Promise((resolve) => {
            this.waiting.push(resolve);
        });
    }
}

/** The two directions of a connection. */
export interface LinkPair {
    readonly toTarget: Link;
    readonly fromTarget: Link;
}

/** Configuration of a proxy. */
export interface LinkProxyOptions {
    /** Host and port to which connections are forwarded. */
    readonly target: string;
    /** Host and port to listen on; a free port of 127.0.0.1 by default. */
    readonly listenOn?: string;
    /** Gets the links of a connection by its remote address; undefined for links that are always sound. */
    readonly getLinks: (callerHost: string) => LinkPair | undefined;
}

/** One direction of one connection. */
interface ForwardingDirection {
    readonly from: Socket;
    readonly to: Socket;
    readonly link: Link;
    /** Whether bytes are discarded although the connection stays open. */
    isBlackholed: boolean;
}

/** A connection through the proxy. */
interface ProxiedConnection {
    readonly callerHost: string;
    readonly directions: readonly ForwardingDirection[];
}

/** A TCP proxy for one target. */
export class LinkProxy {
    private readonly connections = new Set<ProxiedConnection>();

    private constructor(private readonly server: Server, private readonly options: LinkProxyOptions) {
        server.on("connection", (caller) => {
            this.handleConnection(caller);
        });
    }

    /**
     * Opens a proxy.
     * @param options - target and links
     * @returns the proxy, once it listens
     * @throws Error if it can't listen
     */
    static async open(options: LinkProxyOptions): Promise<LinkProxy> {
        const server = createServer({ allowHalfOpen: true });
        const proxy = new LinkProxy(server, options);
        const { host, port } = parseHostAndPort(options.listenOn ?? "127.0.0.1:0");
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        return proxy;
    }

    /** Host and port on which the proxy listens. */
    get address(): string {
        const { address, port } = this.server.address() as AddressInfo;
        return `${address}:${String(port)}`;
    }

    /**
     * Resets open connections.
     * @param matches - selects connections by their remote address; all by default
     */
    reset(matches: (callerHost: string) => boolean = () => true): void {
        this.filterConnections(matches).flatMap(({ directions }) => directions).forEach(({ from }) => {
            resetSocket(from);
        });
    }

    /**
     * Discards all further bytes of open connections without closing them; new connections are not affected.
     * @param matches - selects connections by their remote address; all by default
     */
    silence(matches: (callerHost: string) => boolean = () => true): void {
        this.filterConnections(matches).flatMap(({ directions }) => directions).forEach((direction) => {
            direction.isBlackholed = true;
        });
    }

    /** Closes the proxy and resets all its connections. */
    close(): void {
        this.server.close();
        this.reset();
    }

    private filterConnections(matches: (callerHost: string) => boolean): readonly ProxiedConnection[] {
        return [...this.connections].filter(({ callerHost }) => matches(callerHost));
    }

    private handleConnection(caller: Socket): void {
        const upstream = connect({ ...parseHostAndPort(this.options.target), allowHalfOpen: true });
        const callerHost = caller.remoteAddress ?? "";
        const { toTarget, fromTarget } = this.options.getLinks(callerHost) ?? {
            toTarget: new Link(),
            fromTarget: new Link(),
        };
        const directions: readonly ForwardingDirection[] = [
            { from: caller, to: upstream, link: toTarget, isBlackholed: false },
            { from: upstream, to: caller, link: fromTarget, isBlackholed: false },
        ];
        const connection: ProxiedConnection = { callerHost, directions };
        this.connections.add(connection);
        directions.forEach((direction) => {
            direction.from.once("close", () => this.connections.delete(connection));
            void forwardAll(direction);
        });
    }
}

/**
 * Resets a connection. A reset fails while a shutdown is under way, and Node.js then neither closes the socket nor lets
 * the process exit (EINVAL of `uv_tcp_close_reset`).
 * @param socket - the connection
 */
export function resetSocket(socket: Socket): void {
    const isShuttingDown = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    if (isShuttingDown && !socket.destroyed) {
        socket.once("finish", () => socket.resetAndDestroy());
    }
    else {
        socket.resetAndDestroy();
    }
}

/** Forwards bytes until the sender closes; a discarding direction does not pass the close on to the receiver. */
async function forwardAll(direction: ForwardingDirection): Promise<void> {
    const { from, to } = direction;
    from.on("error", () => undefined);
    from.once("close", (hasFailed) => {
        if (direction.isBlackholed) {
            return;
        }
        if (hasFailed) {
            resetSocket(to);
        }
        else {
            to.destroySoon();
        }
    });
    try {
        for await (const bytes of from as AsyncIterable<Buffer>) {
            await forwardBytes(bytes, direction);
        }
        await forwardBytes(Buffer.alloc(0), direction);
        if (!direction.isBlackholed) {
            to.end();
        }
    }
    catch {
        // The connection failed; the close handler above propagates this to the other side.
    }
}

async function forwardBytes(bytes: Buffer, direction: ForwardingDirection): Promise<void> {
    const { to, link } = direction;
    const arrivedMs = performance.now();
    while (link.state.kind === "held") {
        await link.waitForChange();
    }
    if (link.state.kind === "dropped") {
        direction.isBlackholed = true;
    }
    const delayMs = computeDelayMs(link.state, bytes.length, arrivedMs);
    if (delayMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    if (!direction.isBlackholed && bytes.length > 0 && !to.destroyed && !to.write(bytes)) {
        await Promise.race([once(to, "drain"), once(to, "close")]);
    }
}

function computeDelayMs(state: LinkState, bytes: number, arrivedMs: number): number {
    switch (state.kind) {
        case "delayed":
            return arrivedMs + state.delayMs - performance.now();
        case "throttled":
            return bytes / state.bytesPerSecond * MS_PER_SECOND;
        case "sound":
        case "held":
        case "dropped":
            return 0;
    }
}

function parseHostAndPort(address: string): { readonly host: string; readonly port: number; } {
    const [host = "", port = ""] = address.split(":");
    return { host, port: Number(port) };
}
