/**
 * Keep-alive connection pools, one per origin.
 */
import { type buildConnector, Dispatcher, type Pool } from "undici";
import { startTask } from "../process/startTask.js";
import { BoundedPool } from "./boundedPool.js";

/** Options of the connection pools. */
export interface KeepAliveAgentOptions {
    readonly connect: buildConnector.connector;
    /** How long an unused connection is kept, in milliseconds. */
    readonly idleTimeoutMs: number;
    /** Maximum number of connections to one origin. */
    readonly maxConnections: number;
    /** Size limit of the head of a response, in bytes. */
    readonly maxHeaderSize: number;
}

/**
 * Dispatches requests to one connection pool per origin. A connection may break without being closed, so an idle one
 * does not prove that its peer is reachable: idle connections are kept for a limited time only, and after a request has
 * timed out on one, all connections to that origin are retired.
 */
export class KeepAliveAgent extends Dispatcher {
    private readonly pools = new Map<string, Pool>();

    /**
     * @param options - how connections are opened and kept
     */
    constructor(private readonly options: KeepAliveAgentOptions) {
        super();
    }

    /**
     * Sends a request over a connection to its origin.
     * @param options - the request
     * @param handler - receives the response
     * @returns false if all connections are busy
     */
    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        // Composing wraps handlers of undici's earlier interface, which its own request function passes.
        return this.getPool(String(options.origin)).compose((dispatch) => dispatch).dispatch(options, handler);
    }

    /**
     * Retires all open connections to an origin; exchanges that run on them are completed.
     * @param origin - the origin
     */
    retire(origin: string): void {
        const pool = this.pools.get(origin);
        this.pools.delete(origin);
        startTask("close", () => pool?.close());
    }

    /** Closes all connections and aborts what runs on them. */
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
        const { connect, idleTimeoutMs, maxConnections, maxHeaderSize } = this.options;
        const pool = new BoundedPool(origin, {
            connect,
            connections: maxConnections,
            maxHeaderSize,
            keepAliveTimeout: idleTimeoutMs,
            // Caps the keep-alive hint of the server.
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
