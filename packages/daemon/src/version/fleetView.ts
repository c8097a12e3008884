/**
 * What an entry serves by: the routing table in force, and the upstreams that registered. Both only go forward.
 */
import { type Chain, computeChains, createRouteIndex, findRoute } from "@crankfork/decisions";
import type {
    RegisteredUpstream,
    Route,
    RoutedOrganisation,
    RoutedService,
    RoutingTable,
    SynchronisedState,
} from "@crankfork/schemas";
import { createHoldingEngine } from "./holdingEngine.js";

/** Look-ups of one version of the routing table; never changed once made. */
export interface RoutingView {
    readonly table: RoutingTable;
    readonly services: ReadonlyMap<string, RoutedService>;
    /** Organisations by key; undefined where no key is asked for. */
    readonly organisations: ReadonlyMap<string, RoutedOrganisation> | undefined;
    readonly findRoute: (host: string, path: string) => Route | undefined;
    /** Largest number of a priority that a route or an organisation has; 0 is the most urgent. */
    readonly leastUrgent: number;
}

/** The routing table and the upstreams, as far as this entry knows them. */
export class FleetView {
    private routingView: RoutingView | undefined;
    private upstreams = new Map<string, RegisteredUpstream>();
    private readonly chainCache = new Map<string, readonly Chain[]>();
    private readonly idsByAddress = new Map<string, string>();
    private index = 0;

    /** Position of the voters' log that this entry knows. */
    get knownIndex(): number {
        return this.index;
    }

    /** The routing table in force; undefined before the first. */
    get routing(): RoutingView | undefined {
        return this.routingView;
    }

    /**
     * Puts a routing table in force, whole, unless a higher one is.
     * @param table - the table
     * @returns true where it came into force now
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
     * Takes what a leader told of the upstreams.
     * @param state - all of them, or those that changed
     */
    applyUpstreams(state: SynchronisedState): void {
        if (state.index < this.index && !state.is_whole) {
            return;
        }
        if (state.is_whole) {
            this.upstreams = new Map();
        }
        state.removed.forEach((id) => this.upstreams.delete(id));
        state.upstreams.forEach((upstream) => this.upstreams.set(upstream.id, upstream));
        this.index = state.index;
        if (state.is_whole || state.removed.length > 0 || state.upstreams.length > 0) {
            this.forgetChains();
            this.indexAddresses();
        }
    }

    /**
     * Gets an upstream.
     * @param id - names one start of it
     * @returns what is known, or undefined
     */
    getUpstream(id: string): RegisteredUpstream | undefined {
        return this.upstreams.get(id);
    }

    /**
     * Tells whether an upstream has ended or is cut off, as far as the voters know. One that is leaving still works.
     * @param id - names one start of it
     * @returns true where it can't answer any more
     */
    hasEnded(id: string): boolean {
        return (this.upstreams.get(id)?.status ?? "lost") === "lost";
    }

    /**
     * Finds the upstream at an address.
     * @param address - host and port
     * @returns its id, or undefined
     */
    findIdAt(address: string): string | undefined {
        return this.idsByAddress.get(address);
    }

    /**
     * Lists the upstreams of a service that work may be sent to.
     * @param service - the service's name
     * @returns those that are ready
     */
    listReady(service: string): readonly RegisteredUpstream[] {
        return [...this.upstreams.values()].filter((one) => one.service === service && one.status === "ready");
    }

    /**
     * Gets the paths of a service that runs a model.
     * @param service - the service
     * @param isUsable - whether requests may go to an upstream now
     * @param usabilityKey - changes whenever an answer of `isUsable` may have changed
     * @returns paths, kept until an upstream or the key changes
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

    /** Forgets computed paths. */
    forgetChains(): void {
        this.chainCache.clear();
    }

    private indexAddresses(): void {
        this.idsByAddress.clear();
        this.upstreams.forEach((upstream, id) => this.idsByAddress.set(upstream.address, id));
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
        leastUrgent: computeLeastUrgent(table),
    };
}

function computeLeastUrgent({ routes, organisations = [] }: RoutingTable): number {
    const priorities = [...routes.map((one) => one.priority), ...organisations.map((one) => one.priority ?? 0)];
    return priorities.reduce((most, one) => Math.max(most, one), 0);
}
