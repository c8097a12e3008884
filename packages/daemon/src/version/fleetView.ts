/**
 * An entry's view of the fleet: the active routing table and the registered upstreams. Neither goes back to an earlier version.
 */
import {
    type Chain,
    computeChains,
    createRouteIndex,
    findRoute,
    rankClasses,
    type ServiceRanks,
} from "@crankfork/decisions";
import type {
    RegisteredUpstream,
    Route,
    RoutedOrganisation,
    RoutedService,
    RoutingTable,
    StateChanges,
} from "@crankfork/schemas";
import { createHoldingEngine } from "./holdingEngine.js";

/** Immutable lookup tables of one version of the routing table. */
export interface RoutingView {
    readonly table: RoutingTable;
    readonly services: ReadonlyMap<string, RoutedService>;
    /** Organisations by API key; undefined if no key is required. */
    readonly organisations: ReadonlyMap<string, RoutedOrganisation> | undefined;
    readonly findRoute: (host: string, path: string) => Route | undefined;
    /** The largest priority number of any route or organisation; 0 is the most urgent. */
    readonly lowestPriority: number;
    /** Ranks of the requests to each service. */
    readonly ranks: ReadonlyMap<string, ServiceRanks>;
}

/** The routing table and the upstreams that this entry knows. */
export class FleetView {
    private routingView: RoutingView | undefined;
    private upstreams = new Map<string, RegisteredUpstream>();
    private readonly chainCache = new Map<string, readonly Chain[]>();
    private readonly idsByAddress = new Map<string, string>();
    private index = 0;
    /** Upstreams to which no connection can be attempted. */
    private readonly unconnectable = new Set<string>();

    /**
     * @param canConnect - whether a connection to an upstream can be attempted; true by default
     */
    constructor(private readonly canConnect: (upstream: RegisteredUpstream) => boolean = () => true) {}

    /** Position in the voters' log up to which this entry is informed. */
    get knownIndex(): number {
        return this.index;
    }

    /** The active routing table; undefined if there is none yet. */
    get routing(): RoutingView | undefined {
        return this.routingView;
    }

    /**
     * Activates a routing table as a whole, unless the active one has the same or a higher version.
     * @param table - the table
     * @returns true if it was activated
     */
    applyTable(table: RoutingTable): boolean {
        if (this.routingView !== undefined && this.routingView.table.version >= table.version) {
            return false;
        }
        this.routingView = createRoutingView(table);
        this.chainCache.clear();
        return true;
    }

    /**
     * Applies an update of the upstreams.
     * @param state - all upstreams, or those that changed
     * @param requestedIndex - the index up to which this entry had the state when it requested the update; a leader that has applied
     *     less than that answers with its whole state, which applies. By default every whole state does
     * @returns false if this entry has newer changes
     */
    applyUpstreams(state: StateChanges, requestedIndex: number = Number.POSITIVE_INFINITY): boolean {
        const isReset = state.is_whole && state.index < requestedIndex;
        if (state.index < this.index && !isReset) {
            return false;
        }
        if (state.is_whole) {
            this.upstreams = new Map();
            this.unconnectable.clear();
        }
        state.removed.forEach((id) => {
            this.upstreams.delete(id);
            this.unconnectable.delete(id);
        });
        state.upstreams.forEach((upstream) => {
            this.setUpstream(upstream);
        });
        this.index = state.index;
        if (state.is_whole || state.removed.length > 0 || state.upstreams.length > 0) {
            this.clearChains();
            this.indexAddresses();
        }
        return true;
    }

    /**
     * Gets an upstream.
     * @param id - the upstream's incarnation
     * @returns the upstream, or undefined if it is unknown
     */
    getUpstream(id: string): RegisteredUpstream | undefined {
        return this.upstreams.get(id);
    }

    /**
     * Tells whether an upstream has ended according to the voters. One that is leaving still works, and one that was lost
     * for its silence may go on.
     * @param id - the upstream's incarnation
     * @returns true if it can no longer answer
     */
    hasEnded(id: string): boolean {
        const upstream = this.upstreams.get(id);
        return upstream === undefined || (upstream.status === "lost" && upstream.loss !== "silent");
    }

    /**
     * Finds the upstream at an address.
     * @param address - host and port
     * @returns its id, or undefined if there is none
     */
    findIdByAddress(address: string): string | undefined {
        return this.idsByAddress.get(address);
    }

    /**
     * Lists the upstreams of a service that accept new requests.
     * @param service - the service's name
     * @returns those that are ready, and to which a connection can be attempted
     */
    listReady(service: string): readonly RegisteredUpstream[] {
        return [...this.upstreams.values()].filter((one) => one.service === service && this.isReady(one));
    }

    /**
     * Lists the upstreams that accept new requests.
     * @returns those of all services that are ready, and to which a connection can be attempted
     */
    listAllReady(): readonly RegisteredUpstream[] {
        return [...this.upstreams.values()].filter((one) => this.isReady(one));
    }

    /**
     * Gets the paths of a service that runs a model.
     * @param service - the service
     * @param isUsable - whether an upstream may be sent requests now
     * @param usabilityKey - changes whenever a result of `isUsable` may have changed
     * @returns paths, cached until an upstream or the key changes
     */
    getChains(
        service: RoutedService,
        isUsable: (id: string) => boolean,
        usabilityKey: string,
    ): readonly Chain[] {
        const key = `${service.name} ${usabilityKey}`;
        const known = this.chainCache.get(key);
        if (known !== undefined || service.engine === undefined) {
            return known ?? [];
        }
        const engines = this.listReady(service.name).filter((one) => isUsable(one.id)).flatMap(createHoldingEngine);
        const chains = computeChains(engines, service.engine);
        this.chainCache.set(key, chains);
        return chains;
    }

    /** Clears the cache of computed paths. */
    clearChains(): void {
        this.chainCache.clear();
    }

    private isReady({ id, status }: RegisteredUpstream): boolean {
        return status === "ready" && !this.unconnectable.has(id);
    }

    private setUpstream(upstream: RegisteredUpstream): void {
        this.upstreams.set(upstream.id, upstream);
        if (this.canConnect(upstream)) {
            this.unconnectable.delete(upstream.id);
        }
        else {
            this.unconnectable.add(upstream.id);
        }
    }

    private indexAddresses(): void {
        this.idsByAddress.clear();
        this.upstreams.forEach(({ address, status }, id) => {
            // A lost upstream may have been replaced at its address.
            if (status !== "lost" || !this.idsByAddress.has(address)) {
                this.idsByAddress.set(address, id);
            }
        });
    }
}

function createRoutingView(table: RoutingTable): RoutingView {
    const index = createRouteIndex(table.routes);
    return {
        table,
        services: new Map(table.services.map((service) => [service.name, service])),
        organisations: table.organisations === undefined
            ? undefined
            : new Map(table.organisations.flatMap((one) => one.keys.map((key) => [key, one] as const))),
        findRoute: (host, path) => findRoute(index, host, path),
        lowestPriority: computeLowestPriority(table),
        ranks: rankServices(table),
    };
}

/**
 * Ranks the requests to each service.
 * @param table - routes, services and organisations
 * @returns ranks by the service's name
 */
export function rankServices(table: RoutingTable): ReadonlyMap<string, ServiceRanks> {
    return new Map(table.services.map((service) => [service.name, rankService(service, table)]));
}

/** Plain services queue by themselves and have no memory to protect, so their routes' priorities stay as they are. */
function rankService({ name, engine }: RoutedService, { routes, organisations }: RoutingTable): ServiceRanks {
    const own = routes.filter(({ targets }) => targets.some(({ service }) => service === name));
    const ranks = rankClasses(own, organisations);
    return { ...ranks, isRanked: ranks.isRanked && engine !== undefined };
}

function computeLowestPriority({ routes, organisations = [] }: RoutingTable): number {
    const priorities = [...routes.map((one) => one.priority), ...organisations.map((one) => one.priority ?? 0)];
    return priorities.reduce((most, one) => Math.max(most, one), 0);
}
