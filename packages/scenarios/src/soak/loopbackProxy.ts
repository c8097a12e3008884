/**
 * A TCP proxy on loopback whose links misbehave on demand: delayed, reset, cut one way or silent.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What the proxy does with bytes. */
export type LinkState =
    | { readonly kind: "sound"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    /** Bytes towards the target arrive; those that come back are lost. */
    | { readonly kind: "one-way"; }
    /** Nothing arrives, and nobody is told. */
    | { readonly kind: "silent"; };

const SOUND: LinkState = { kind: "sound" };

/** One proxy before one target. */
export class LoopbackProxy {
    private readonly sockets = new Set<Socket>();
    private link: LinkState = SOUND;

    private constructor(private readonly server: Server, private readonly target: { host: string; port: number; }) {
        server.on("connection", (caller) => {
            this.handleConnection(caller);
        });
    }

    /**
     * Opens a proxy.
     * @param address - host and port of the target
     * @returns the proxy, once it listens
     */
    static async open(address: string): Promise<LoopbackProxy> {
        const [host = "", port = ""] = address.split(":");
        const server = createServer();
        const proxy = new LoopbackProxy(server, { host, port: Number(port) });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        return proxy;
    }

    /** Where it listens. */
    get address(): string {
        return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
    }

    /**
     * Changes what happens to bytes from now on.
     * @param link - the new state
     */
    setLink(link: LinkState): void {
        this.link = link;
    }

    /** Resets all open connections. */
    reset(): void {
        this.sockets.forEach((socket) => {
            socket.resetAndDestroy();
        });
    }

    /** Closes it and all its connections. */
    close(): void {
        this.server.close();
        this.reset();
    }

    private handleConnection(caller: Socket): void {
        const upstream = connect(this.target);
        this.join(caller, upstream, () => this.link.kind !== "silent");
        this.join(upstream, caller, () => this.link.kind !== "silent" && this.link.kind !== "one-way");
    }

    private join(from: Socket, to: Socket, passes: () => boolean): void {
        this.sockets.add(from);
        from.on("data", (bytes) => {
            if (passes()) {
                this.pass(to, bytes);
            }
        });
        // Either side may be reset by a fault; the other one has to see that.
        from.on("error", () => to.destroy());
        from.on("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
    }

    private pass(to: Socket, bytes: Buffer): void {
        if (this.link.kind !== "delayed") {
            to.write(bytes);
            return;
        }
        setTimeout(() => {
            if (!to.destroyed) {
                to.write(bytes);
            }
        }, this.link.delayMs);
    }
}
