/**
 * A TCP proxy on loopback whose links misbehave on demand, each direction by itself: delayed, throttled, held, lossy or reset.
 */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What happens to bytes that go one direction. */
export type LinkState =
    | { readonly kind: "sound"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    | { readonly kind: "throttled"; readonly bytesPerSecond: number; }
    /** Bytes wait, and arrive once the link is sound, as with packets that are sent again. */
    | { readonly kind: "held"; }
    /** Bytes are lost; a connection that lost some passes none any more, and stays open. */
    | { readonly kind: "dropped"; };

const SOUND: LinkState = { kind: "sound" };
const MS_PER_SECOND = 1_000;

/** One direction between two processes, for all connections. */
export class Link {
    private current: LinkState = SOUND;
    private waiting: (() => void)[] = [];

    /** What happens to bytes now. */
    get state(): LinkState {
        return this.current;
    }

    /**
     * Changes what happens to bytes from now on.
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

    /** Resolves at the next change. */
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

/** What a proxy is made with. */
export interface LinkProxyOptions {
    /** Host and port that it stands before. */
    readonly target: string;
    /** Host and port where it listens; a free port of 127.0.0.1 where left out. */
    readonly listenOn?: string;
    /** Gets the links of a connection by the address that it comes from; undefined for links that are always sound. */
    readonly getLinks: (callerHost: string) => LinkPair | undefined;
}

/** One direction of one connection. */
interface ForwardingDirection {
    readonly from: Socket;
    readonly to: Socket;
    readonly link: Link;
    /** Set once it passes nothing any more, although the connection stays open. */
    isBlackholed: boolean;
}

/** A connection through a proxy. */
interface ProxiedConnection {
    readonly callerHost: string;
    readonly directions: readonly ForwardingDirection[];
}

/** One proxy before one target. */
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

    /** Where it listens. */
    get address(): string {
        const { address, port } = this.server.address() as AddressInfo;
        return `${address}:${String(port)}`;
    }

    /**
     * Resets open connections.
     * @param matches - which of them, by the address that they come from; all where left out
     */
    reset(matches: (callerHost: string) => boolean = () => true): void {
        this.filterConnections(matches).flatMap(({ directions }) => directions).forEach(({ from }) => {
            from.resetAndDestroy();
        });
    }

    /**
     * Makes open connections pass nothing any more, without an end; new ones work.
     * @param matches - which of them, by the address that they come from; all where left out
     */
    silence(matches: (callerHost: string) => boolean = () => true): void {
        this.filterConnections(matches).flatMap(({ directions }) => directions).forEach((direction) => {
            direction.isBlackholed = true;
        });
    }

    /** Closes it and all its connections. */
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

/** Passes bytes until one side ends; whoever is cut off does not see the end of the other side. */
async function forwardAll(direction: ForwardingDirection): Promise<void> {
    const { from, to } = direction;
    from.on("error", () => undefined);
    from.once("close", (hasFailed) => {
        if (direction.isBlackholed) {
            return;
        }
        if (hasFailed) {
            to.resetAndDestroy();
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
        // The connection broke; the other side is told by the handler above.
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
