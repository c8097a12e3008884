/**
 * Whether a path has room for one more request, by the load that this entry and the others have reported.
 */
import {
    type Chain,
    type ChainLoad,
    computeClassRoom,
    computeCurrentLoad,
    computeExcessShare,
    computeExpectedOpen,
    computeMaxOpen,
    hasChainCapacity,
    hasClassRoom,
    type LoadedChain,
    type RankedRequest,
    type ServiceDemand,
    type ServiceRanks,
} from "@crankfork/decisions";
import type { EngineProfile } from "@crankfork/schemas";
import type { RequestContext } from "../../request/requestContext.js";
import type { UpstreamLoad } from "../sumLoads.js";

/** Dependencies of the check. */
export interface PathRoomOptions {
    /** Mean age of the load reports of other entries, in milliseconds. */
    readonly getLoadAgeMs: () => number;
    /** Demand for a ranked service, over all entries; undefined where it is not known. */
    readonly getDemand?: (service: string) => ServiceDemand | undefined;
    readonly health: { readonly getLoad: (id: string) => UpstreamLoad; };
    readonly countEntries: () => number;
    readonly random: () => number;
}

/** What a request of a ranked service competes with, on all paths. */
export interface Competition {
    readonly request: RankedRequest;
    /** Requests of each rank that are expected to be open on a path. */
    readonly computeExpected: (chain: Chain, load: ChainLoad) => readonly number[];
    /** Part of the requests to the service that are of its rank or a more urgent one. */
    readonly shareAhead: number;
}

/** Checks the room of paths. */
export class PathRoom {
    /** Position of each request among those of its organisation, so that a repeated check of it has the same result. */
    private readonly draws = new WeakMap<RequestContext, number>();

    /**
     * @param options - age of the load reports, demand, and load of this entry
     */
    constructor(private readonly options: PathRoomOptions) {}

    /**
     * Checks whether a path has room for a request.
     * @param run - the request
     * @param loaded - the path and its load
     * @param engine - usual sizes and the slots of its first engine
     * @param competition - for a ranked service, what the request competes with
     * @returns false where the request would cost others more than it gains
     */
    hasRoom(
        run: RequestContext,
        { chain, ...load }: LoadedChain,
        engine: EngineProfile,
        competition: Competition | undefined,
    ): boolean {
        const ageMs = this.options.getLoadAgeMs();
        if (competition !== undefined) {
            const { request, computeExpected } = competition;
            return hasClassRoom(computeClassRoom(chain, load, engine, request, computeExpected(chain, load), ageMs));
        }
        const current = computeCurrentLoad(chain, load, engine, ageMs);
        return hasChainCapacity(chain, current, engine, run.admitted.route.objective_ms);
    }

    /**
     * Computes what a request competes with, once for all paths.
     * @param run - the request
     * @param ranks - ranks of its service
     * @param chains - the paths that it may take
     * @param engine - usual sizes and slots
     * @returns undefined where the service is not ranked
     */
    createCompetition(
        run: RequestContext,
        ranks: ServiceRanks | undefined,
        chains: readonly Chain[],
        engine: EngineProfile,
    ): Competition | undefined {
        if (ranks?.isRanked !== true) {
            return undefined;
        }
        const { service, route, organisation, call } = run.admitted;
        const rank = ranks.getRank(route, organisation);
        const demand = this.options.getDemand?.(service.name);
        const isExcess = demand !== undefined && organisation !== undefined
            && this.getDraw(run) < computeExcessShare(demand, rank, organisation.name);
        const allPlaces = chains.reduce((sum, chain) => sum + computeMaxOpen(chain, engine), 0);
        const computeShare = (chain: Chain): number => computeMaxOpen(chain, engine) / Math.max(1, allPlaces);
        const expected = new Map<Chain, readonly number[]>();
        const estimated = demand === undefined ? this.estimateOpen(chains) : [];
        return {
            request: {
                rank,
                memoryRank: isExcess ? rank + 1 : rank,
                size: call.size,
                objectiveMs: route.objective_ms,
            },
            computeExpected: (chain, load) => {
                const known = expected.get(chain) ?? (demand === undefined
                    ? estimated.map((open) => open * computeShare(chain))
                    : computeExpectedOpen(chain, load, engine, demand, computeShare(chain)));
                expected.set(chain, known);
                return known;
            },
            shareAhead: demand === undefined ? 1 : computeShareAhead(demand, rank),
        };
    }

    /** Without any report of demand, each entry is assumed to have the same requests open as this one. */
    private estimateOpen(chains: readonly Chain[]): readonly number[] {
        const { health, countEntries } = this.options;
        const sums: number[] = [];
        for (const { stages } of chains) {
            health.getLoad(stages[0]?.engine.id ?? "").open_by_rank?.forEach((open, rank) => {
                sums[rank] = (sums[rank] ?? 0) + open * countEntries();
            });
        }
        return Array.from(sums, (open: number | undefined) => open ?? 0);
    }

    private getDraw(run: RequestContext): number {
        const draw = this.draws.get(run) ?? this.options.random();
        this.draws.set(run, draw);
        return draw;
    }
}

function computeShareAhead(demand: ServiceDemand, rank: number): number {
    const sum = (last: number): number =>
        [...demand].reduce((all, [one, { arrivals_per_s }]) => one <= last ? all + arrivals_per_s : all, 0);
    const all = sum(Number.POSITIVE_INFINITY);
    return all > 0 ? sum(rank) / all : 1;
}
