/**
 * Connections that are kept alive, by origin.
 */
import { type buildConnector, Dispatcher, Pool } from "undici";

/** How connections are kept. */
export interface KeepAliveAgentOptions {
    readonly connect: buildConnector.connector;
    /** How long one is kept that nothing uses, in milliseconds. */
    readonly idleTimeoutMs: number;
    /** Most connections to one origin. */
    readonly maxConnections: number;
}

/**
 * Connections by origin. An open connection may go silent without an end, so one that has been idle is no evidence that its peer can
 * be reached: it is kept for a limited time, and once a question on one got no answer, the others to that origin are given up, too.
 */
export class KeepAliveAgent extends Dispatcher {
    private readonly pools = new Map<string, Pool>();

    /**
     * @param options - how they are made and kept
     */
    constructor(private readonly options: KeepAliveAgentOptions) {
        super();
    }

    /**
     * Sends a request on a connection to its origin.
     * @param options - the request
     * @param handler - takes the answer
     * @returns false where the connections are all in use
     */
    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        return this.getPool(String(options.origin)).dispatch(options, handler);
    }

    /**
     * Uses no connection to an origin any more that is open now; what runs on them goes on.
     * @param origin - the origin
     */
    retire(origin: string): void {
        const pool = this.pools.get(origin);
        this.pools.delete(origin);
        void pool?.close();
    }

    /** Ends all connections and what runs on them. */
    override async destroy(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map((pool) => pool.destroy()));
    }

    private getPool(origin: string): Pool {
        const existing = this.pools.get(origin);
        if (existing !== undefined) {
            return existing;
        }
        const { connect, idleTimeoutMs, maxConnections } = this.options;
        const pool = new Pool(origin, {
            connect,
            connections: maxConnections,
            keepAliveTimeout: idleTimeoutMs,
            // A server's own hint does not lengthen it.
            keepAliveMaxTimeout: idleTimeoutMs,
            bodyTimeout: 0,
            headersTimeout: 0,
            pipelining: 1,
        });
        this.pools.set(origin, pool);
        pool.on("disconnect", () => {
            this.removeIfUnused(origin, pool);
        });
        return pool;
    }

    private removeIfUnused(origin: string, pool: Pool): void {
        const { connected, size } = pool.stats;
        if (connected === 0 && size === 0 && this.pools.get(origin) === pool) {
            this.retire(origin);
        }
    }
}
