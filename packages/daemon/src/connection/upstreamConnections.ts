/**
 * Connections to upstreams, kept apart by life: an upstream that starts again may have its former address, and a connection
 * that its last life left half open would take a request and never answer it.
 */
import { type Dispatcher, Pool } from "undici";
import { upstreamConnectionOptions } from "./upstreamExchange.js";

/** Where a connection leads. */
export interface UpstreamEndpoint {
    /** Names one life of the upstream. */
    readonly upstreamId: string;
    readonly address: string;
}

/** Connections by life and address. */
export class UpstreamConnections {
    private readonly pools = new Map<string, { readonly id: string; readonly pool: Pool; }>();

    /**
     * Gets the connections to an upstream.
     * @param place - its life and address
     * @returns connections, made where there were none
     */
    get({ upstreamId, address }: UpstreamEndpoint): Dispatcher {
        const key = `${upstreamId} ${address}`;
        const existing = this.pools.get(key);
        if (existing !== undefined) {
            return existing.pool;
        }
        const pool = new Pool(`http://${address}`, upstreamConnectionOptions);
        this.pools.set(key, { id: upstreamId, pool });
        return pool;
    }

    /**
     * Closes the connections to lives that are over: idle ones at once, others once what runs on them has ended.
     * @param isCurrent - whether a life still counts
     */
    closeStale(isCurrent: (id: string) => boolean): void {
        for (const [key, { id, pool }] of this.pools) {
            if (!isCurrent(id)) {
                this.pools.delete(key);
                void pool.close();
            }
        }
    }

    /** Ends all connections and what runs on them. */
    async destroy(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map(({ pool }) => pool.destroy()));
    }
}
