/**
 * Whether a path has room for one more request, by the load that this entry and the others have reported.
 */
import {
    addUnreported,
    type Chain,
    type ClassRoom,
    computeClassRoom,
    computeCurrentLoad,
    computeExcessShare,
    computeExpectedOpen,
    computeMaxOpen,
    hasChainCapacity,
    hasClassRoom,
    hasSlotCapacity,
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

/** What a request of a ranked service may take of a path. */
export type GetClassRoom = (loaded: LoadedChain) => ClassRoom;

/** What is checked of a service. */
export interface RoomCheck {
    /** For a ranked service, what the request may take. */
    readonly getClassRoom: GetClassRoom | undefined;
    /** Whether `MemoryUse` checks the memory of engines; without it, usual sizes are counted. */
    readonly isMemoryChecked: boolean;
}

/** Checks the room of paths. */
export class PathRoom {
    /**
     * @param options - age of the load reports, demand, and load of this entry
     */
    constructor(private readonly options: PathRoomOptions) {}

    /**
     * Checks whether a path has room for a request.
     * @param run - the request
     * @param loaded - the path and its load
     * @param engine - usual sizes and the slots of its first engine
     * @param check - what is checked of the service
     * @returns false where the request would cost others more than it gains
     */
    hasRoom(
        run: RequestContext,
        loaded: LoadedChain,
        engine: EngineProfile,
        { getClassRoom, isMemoryChecked }: RoomCheck,
    ): boolean {
        if (getClassRoom !== undefined) {
            return hasClassRoom(getClassRoom(loaded));
        }
        const { chain, ...load } = loaded;
        const current = computeCurrentLoad(chain, load, engine, this.options.getLoadAgeMs());
        const hasCapacity = isMemoryChecked ? hasSlotCapacity : hasChainCapacity;
        return hasCapacity(chain, current, engine, run.admitted.route.objective_ms);
    }

    /**
     * Creates the function that computes what a request may take of a path. What does not depend on unreported requests
     * is computed once for each path, as a choice checks each of them many times.
     * @param run - the request
     * @param ranks - ranks of its service
     * @param chains - the paths that it may take
     * @param engine - usual sizes and slots
     * @returns undefined where the service is not ranked
     */
    createClassRoom(
        run: RequestContext,
        ranks: ServiceRanks | undefined,
        chains: readonly Chain[],
        engine: EngineProfile,
    ): GetClassRoom | undefined {
        if (ranks?.isRanked !== true) {
            return undefined;
        }
        const demand = this.options.getDemand?.(run.admitted.service.name);
        return this.createRoom(this.createRankedRequest(run, ranks, demand), demand, chains, engine);
    }

    /**
     * Computes which part of the places of all paths a class may take: what a request of the usual size gets that is within
     * its organisation's share and not exempt from protection.
     * @param service - name of a ranked service
     * @param rank - the class
     * @param loaded - its paths
     * @param engine - usual sizes and slots
     * @returns from 0 to 1
     */
    computeClassShare(service: string, rank: number, loaded: readonly LoadedChain[], engine: EngineProfile): number {
        const chains = loaded.map(({ chain }) => chain);
        const request = { rank, memoryRank: rank, size: undefined, objectiveMs: 0, draw: 1 };
        const getRoom = this.createRoom(request, this.options.getDemand?.(service), chains, engine);
        const allPlaces = chains.reduce((sum, chain) => sum + computeMaxOpen(chain, engine), 0);
        return loaded.reduce((sum, one) => sum + getRoom(one).places, 0) / Math.max(1, allPlaces);
    }

    private createRoom(
        request: RankedRequest,
        demand: ServiceDemand | undefined,
        chains: readonly Chain[],
        engine: EngineProfile,
    ): GetClassRoom {
        const shareAhead = demand === undefined ? 1 : computeShareAhead(demand, request.rank);
        const estimated = demand === undefined ? this.estimateOpen(chains) : [];
        const allPlaces = chains.reduce((sum, chain) => sum + computeMaxOpen(chain, engine), 0);
        const ageMs = this.options.getLoadAgeMs();
        const rooms = new Map<Chain, ClassRoom>();
        return ({ chain, reported, ...load }) => {
            const known = reported ?? load;
            const share = computeMaxOpen(chain, engine) / Math.max(1, allPlaces);
            const room = rooms.get(chain) ?? computeClassRoom(
                chain,
                known,
                engine,
                request,
                demand === undefined
                    ? estimated.map((open) => open * share)
                    : computeExpectedOpen(chain, known, engine, demand, share),
                ageMs,
            );
            rooms.set(chain, room);
            return addUnreported(room, load.open - known.open, shareAhead);
        };
    }

    private createRankedRequest(
        run: RequestContext,
        ranks: ServiceRanks,
        demand: ServiceDemand | undefined,
    ): RankedRequest {
        const { route, organisation, call } = run.admitted;
        const rank = ranks.getRank(route, organisation);
        const draw = run.draw ??= this.options.random();
        const isExcess = demand !== undefined && organisation !== undefined
            && draw < computeExcessShare(demand, rank, organisation.name);
        return {
            rank,
            memoryRank: isExcess ? rank + 1 : rank,
            size: call.size,
            objectiveMs: route.objective_ms,
            draw,
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
}

function computeShareAhead(demand: ServiceDemand, rank: number): number {
    const sum = (last: number): number =>
        [...demand].reduce((all, [one, { arrivals_per_s }]) => one <= last ? all + arrivals_per_s : all, 0);
    const all = sum(Number.POSITIVE_INFINITY);
    return all > 0 ? sum(rank) / all : 1;
}
