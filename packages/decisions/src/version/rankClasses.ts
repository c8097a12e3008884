/**
 * Ranks of the requests to one service. Organisations and routes both have a priority. Where only the organisation's
 * counted, requests of all routes would have the same priority, and bursts of the least urgent route would take the
 * room of the most urgent one.
 */

/** What ranks depend on of a route. */
export interface RankedRoute {
    /** Priority; 0 is the most urgent. */
    readonly priority: number;
    /** Whether callers without an organisation may use it. */
    readonly is_anonymous?: boolean | undefined;
}

/** Priority of an organisation, which goes before that of the route where it is present. */
export interface RankedOrganisation {
    readonly priority?: number | undefined;
}

/** One rank. */
export interface Rank {
    /** The organisation's priority if it has one, otherwise the route's. */
    readonly effective: number;
    /** The route's own priority. */
    readonly route: number;
}

/** Ranks of one service. */
export interface ServiceRanks {
    /** Whether the routes of the service differ in priority. Otherwise ranks order nothing that priorities did not. */
    readonly isRanked: boolean;
    /** All ranks, the most urgent first. A rank is named by its index. */
    readonly ranks: readonly Rank[];
    /**
     * Gets the rank of a request.
     * @param route - its route
     * @param organisation - its organisation, if any
     * @returns index of the rank; for a pair that the routing table does not have, that of the next less urgent one
     */
    readonly getRank: (route: RankedRoute, organisation: RankedOrganisation | undefined) => number;
}

/**
 * Computes the ranks of a service.
 * @param routes - the routes of the service
 * @param organisations - the organisations that may call it; undefined where callers need no API key
 * @returns the ranks, the most urgent first
 */
export function rankClasses(
    routes: readonly RankedRoute[],
    organisations: readonly RankedOrganisation[] | undefined,
): ServiceRanks {
    const byKey = new Map<string, Rank>();
    for (const route of routes) {
        const callers = [
            ...organisations ?? [],
            ...(organisations === undefined || route.is_anonymous === true ? [undefined] : []),
        ];
        for (const organisation of callers) {
            const rank = createRank(route, organisation);
            byKey.set(`${rank.effective} ${rank.route}`, rank);
        }
    }
    const ranks = [...byKey.values()].sort(compareRanks);
    return {
        isRanked: new Set(routes.map(({ priority }) => priority)).size > 1,
        ranks,
        getRank: (route, organisation) => {
            const wanted = createRank(route, organisation);
            const index = ranks.findIndex((one) => compareRanks(one, wanted) >= 0);
            return index === -1 ? Math.max(0, ranks.length - 1) : index;
        },
    };
}

function createRank({ priority }: RankedRoute, organisation: RankedOrganisation | undefined): Rank {
    return { effective: organisation?.priority ?? priority, route: priority };
}

function compareRanks(one: Rank, other: Rank): number {
    return one.effective - other.effective || one.route - other.route;
}
