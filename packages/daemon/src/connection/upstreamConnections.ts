/**
 * Connection pools per upstream incarnation. A restarted upstream may reuse its former address, and a half-open
 * connection to its previous incarnation would accept a request and never answer it.
 */
import type { Dispatcher, Pool } from "undici";
import { runForEach, startTask } from "../process/startTask.js";
import { BoundedPool } from "./boundedPool.js";
import type { RequestDispatcher } from "./observeDispatch.js";
import { upstreamConnectionOptions } from "./upstreamExchange.js";

/** Destination of a connection. */
export interface UpstreamEndpoint {
    /** Identifies one incarnation of the upstream. */
    readonly upstreamId: string;
    readonly address: string;
    /**
     * Set if the upstream has answered an earlier attempt of the request. A surplus copy of that answer may still arrive on
     * its connection, and could not be distinguished from the answer to the next attempt, since both have the request's id.
     */
    readonly needsNewConnection?: boolean;
}

/** Connection pools by incarnation and address. */
export class UpstreamConnections {
    private readonly pools = new Map<string, { readonly id: string; readonly pool: Pool; }>();
    /** Connections that serve one request each. */
    private readonly unshared = new Set<Pool>();

    /**
     * Gets connections to an upstream.
     * @param endpoint - incarnation and address, and whether a connection may be reused
     * @returns a dispatcher
     */
    get(endpoint: UpstreamEndpoint): RequestDispatcher {
        return endpoint.needsNewConnection === true
            ? { dispatch: (options, handler) => this.dispatchUnshared(endpoint, options, handler) }
            : this.getPool(endpoint);
    }

    /** Sends one request over a connection that is closed after it. */
    private dispatchUnshared(
        { address }: UpstreamEndpoint,
        options: Dispatcher.DispatchOptions,
        handler: Dispatcher.DispatchHandler,
    ): boolean {
        const client = new BoundedPool(`http://${address}`, upstreamConnectionOptions);
        this.unshared.add(client);
        const mayContinue = client.dispatch(options, handler);
        startTask("close", () => client.close().finally(() => this.unshared.delete(client)));
        return mayContinue;
    }

    private getPool({ upstreamId, address }: UpstreamEndpoint): Dispatcher {
        const key = `${upstreamId} ${address}`;
        const existing = this.pools.get(key);
        if (existing !== undefined) {
            return existing.pool;
        }
        const pool = new BoundedPool(`http://${address}`, upstreamConnectionOptions);
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
                startTask("close", () => pool.close());
            }
        }
    }

    /** Closes all pools: idle connections at once, others after their exchange. Later requests open new ones. */
    retireAll(): void {
        const pools = [...this.pools.values()];
        this.pools.clear();
        runForEach("close", pools, ({ pool }) => pool.close());
    }

    /** Closes all connections and aborts what runs on them. */
    async destroy(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all([
            ...pools.map(({ pool }) => pool.destroy()),
            ...[...this.unshared].map((one) => one.destroy()),
        ]);
    }
}
