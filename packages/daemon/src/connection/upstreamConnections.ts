/**
 * Connection pools per upstream incarnation. A restarted upstream may reuse its former address, and a half-open
 * connection to its previous incarnation would accept a request and never answer it.
 */
import { type Dispatcher, Pool } from "undici";
import { upstreamConnectionOptions } from "./upstreamExchange.js";

/** Destination of a connection. */
export interface UpstreamEndpoint {
    /** Identifies one incarnation of the upstream. */
    readonly upstreamId: string;
    readonly address: string;
}

/** Connection pools by incarnation and address. */
export class UpstreamConnections {
    private readonly pools = new Map<string, { readonly id: string; readonly pool: Pool; }>();

    /**
     * Gets the connection pool of an upstream.
     * @param place - incarnation and address
     * @returns the pool, created on first use
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
     * Closes the pools of incarnations that are gone: idle connections at once, others after their exchange.
     * @param isCurrent - whether an incarnation is still registered
     */
    closeStale(isCurrent: (id: string) => boolean): void {
        for (const [key, { id, pool }] of this.pools) {
            if (!isCurrent(id)) {
                this.pools.delete(key);
                void pool.close();
            }
        }
    }

    /** Closes all pools: idle connections at once, others after their exchange. Later requests open new ones. */
    retireAll(): void {
        const pools = [...this.pools.values()];
        this.pools.clear();
        pools.forEach(({ pool }) => void pool.close());
    }

    /** Closes all connections and aborts what runs on them. */
    async destroy(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map(({ pool }) => pool.destroy()));
    }
}
