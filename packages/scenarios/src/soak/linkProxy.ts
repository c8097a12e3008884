/**
 * A TCP proxy on loopback whose links misbehave on demand, each direction by itself: delayed, throttled, held, lossy or reset.
 */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What happens to bytes that go one way. */
export type LinkState =
    | { readonly kind: "sound"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    | { readonly kind: "throttled"; readonly bytesASecond: number; }
    /** Bytes wait, and arrive once the link is sound, as with packets that are sent again. */
    | { readonly kind: "held"; }
    /** Bytes are lost; a connection that lost some passes none any more, and stays open. */
    | { readonly kind: "dropped"; };

const SOUND: LinkState = { kind: "sound" };
const MS_A_SECOND = 1_000;

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
    awaitChange(): Promise<void> {
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
interface Way {
    readonly from: Socket;
    readonly to: Socket;
    readonly link: Link;
    /** Set once it passes nothing any more, although the connection stays open. */
    isDead: boolean;
}

/** A connection through a proxy. */
interface Passage {
    readonly callerHost: string;
    readonly ways: readonly Way[];
}

/** One proxy before one target. */
export class LinkProxy {
    private readonly passages = new Set<Passage>();

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
     * @param isChosen - which of them, by the address that they come from; all where left out
     */
    reset(isChosen: (callerHost: string) => boolean = () => true): void {
        this.listPassages(isChosen).flatMap(({ ways }) => ways).forEach(({ from }) => {
            from.resetAndDestroy();
        });
    }

    /**
     * Makes open connections pass nothing any more, without an end; new ones work.
     * @param isChosen - which of them, by the address that they come from; all where left out
     */
    silence(isChosen: (callerHost: string) => boolean = () => true): void {
        this.listPassages(isChosen).flatMap(({ ways }) => ways).forEach((way) => {
            way.isDead = true;
        });
    }

    /** Closes it and all its connections. */
    close(): void {
        this.server.close();
        this.reset();
    }

    private listPassages(isChosen: (callerHost: string) => boolean): readonly Passage[] {
        return [...this.passages].filter(({ callerHost }) => isChosen(callerHost));
    }

    private handleConnection(caller: Socket): void {
        const upstream = connect({ ...parseHostAndPort(this.options.target), allowHalfOpen: true });
        const callerHost = caller.remoteAddress ?? "";
        const { toTarget, fromTarget } = this.options.getLinks(callerHost) ?? {
            toTarget: new Link(),
            fromTarget: new Link(),
        };
        const ways: readonly Way[] = [
            { from: caller, to: upstream, link: toTarget, isDead: false },
            { from: upstream, to: caller, link: fromTarget, isDead: false },
        ];
        const passage: Passage = { callerHost, ways };
        this.passages.add(passage);
        ways.forEach((way) => {
            way.from.once("close", () => this.passages.delete(passage));
            void passAll(way);
        });
    }
}

/** Passes bytes until one side ends; whoever is cut off does not see the end of the other side. */
async function passAll(way: Way): Promise<void> {
    const { from, to } = way;
    from.on("error", () => undefined);
    from.once("close", (hasFailed) => {
        if (way.isDead) {
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
            await passBytes(bytes, way);
        }
        await passBytes(Buffer.alloc(0), way);
        if (!way.isDead) {
            to.end();
        }
    }
    catch {
        // The connection broke; the other side is told by the handler above.
    }
}

async function passBytes(bytes: Buffer, way: Way): Promise<void> {
    const { to, link } = way;
    const arrivedMs = performance.now();
    while (link.state.kind === "held") {
        await link.awaitChange();
    }
    if (link.state.kind === "dropped") {
        way.isDead = true;
    }
    const pauseMs = computePauseMs(link.state, bytes.length, arrivedMs);
    if (pauseMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    if (!way.isDead && bytes.length > 0 && !to.destroyed && !to.write(bytes)) {
        await Promise.race([once(to, "drain"), once(to, "close")]);
    }
}

function computePauseMs(state: LinkState, bytes: number, arrivedMs: number): number {
    switch (state.kind) {
        case "delayed":
            return arrivedMs + state.delayMs - performance.now();
        case "throttled":
            return bytes / state.bytesASecond * MS_A_SECOND;
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
