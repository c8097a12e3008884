/**
 * Tokens in use in the memory of each engine, summed over all paths through it and all entries. The sums are computed
 * once for each choice of a target, from the loads by path.
 */
import {
    type Chain,
    type ChainLoad,
    computeFreeTokens,
    computeHeldTokens,
    computeLoadTokens,
    getUsualSize,
    groupSharedMemories,
    hasTokenRoom,
    isNearlyIdle,
    type RequestSize,
    type SharedMemory,
} from "@crankfork/decisions";
import type { EngineProfile, RoutedService } from "@crankfork/schemas";
import type { FleetView } from "../../version/fleetView.js";

/** Dependencies of the memory use. */
export interface MemoryUseOptions {
    readonly view: FleetView;
    readonly getLocalLoad: (id: string) => ChainLoad;
    /** In-flight load of other entries at an upstream, by the last report of the leader. */
    readonly getRemoteLoad: (id: string) => ChainLoad;
    /** Mean age of the load reports of other entries, in milliseconds. */
    readonly getLoadAgeMs: () => number;
    /** Mean time of this entry's requests at first engines; undefined before the first one ended. */
    readonly getHoldMs: (ids: readonly string[]) => number | undefined;
    /** Share of other entries' requests at an upstream that are as likely to end soon as others; none where not given. */
    readonly getSteadyShare?: (id: string) => number;
    /** Memory of an engine as learned from declines; without it, the memory by its profile. */
    readonly getLimitTokens?: (id: string, contextTokens: number) => number;
}

/** The paths among which one request chooses. */
export interface PathSelection {
    /** Paths that may get requests, whatever this request has tried. */
    readonly usable: readonly Chain[];
    /** Paths that this request may take. */
    readonly candidates: readonly Chain[];
    /** Requests that other entries are expected to have sent since their last reports. */
    readonly unreported: number;
}

/** Load and limit of engines that the same paths pass, during one choice. */
interface SharedLoad {
    open: number;
    tokens: number;
    unreported: number;
    freeTokens: number;
    /** Paths that the request may take, and those of them in the set that is being tried. */
    candidates: number;
    tried: number;
    /** Requests and tokens before any were assigned. */
    readonly known: { readonly open: number; readonly tokens: number; };
    readonly limitTokens: number;
    /** Whether the limit comes from a decline. */
    readonly isLearned: boolean;
}

interface KnownPaths {
    readonly usable: readonly Chain[];
    /** The usable ones and the last ones known of other first engines. */
    readonly paths: readonly Chain[];
    readonly profile: EngineProfile;
    readonly groups: ReadonlyMap<string, readonly SharedMemory[]>;
}

/** Sums the tokens in use by engine. */
export class MemoryUse {
    private readonly known = new Map<string, KnownPaths>();

    /**
     * @param options - paths and their loads
     */
    constructor(private readonly options: MemoryUseOptions) {}

    /**
     * Starts the check of one request's paths.
     * @param service - the request's service
     * @param profile - its profile
     * @param paths - the paths
     * @returns the check, which counts what is assigned to paths during the choice
     */
    startCheck(service: RoutedService, profile: EngineProfile, paths: PathSelection): MemoryCheck {
        const { usable, candidates } = paths;
        const known = this.getKnownPaths(service, profile, usable);
        // Paths through engines that are passed over at the moment are not among the known ones.
        const groups = candidates.every(({ id }) => known.groups.has(id))
            ? known.groups
            : groupSharedMemories([...candidates, ...known.paths], profile);
        const loads = new Map<SharedMemory, SharedLoad>();
        const loadsByChain = new Map(candidates.map((chain) => {
            const shared = (groups.get(chain.id) ?? []).map((memory) => {
                const load = loads.get(memory) ?? this.sumLoad(memory, profile);
                loads.set(memory, load);
                load.unreported += paths.unreported / candidates.length;
                load.candidates += 1;
                return load;
            });
            return [chain, shared];
        }));
        return new MemoryCheck(loadsByChain, profile);
    }

    /**
     * Computes the tokens in use in an engine.
     * @param id - the engine
     * @returns tokens, or undefined where no path is known that passes it
     */
    getUsedTokens(id: string): number | undefined {
        for (const { groups, profile } of this.known.values()) {
            const memory = [...groups.values()].flat().find(({ engines }) => engines.some((one) => one.id === id));
            if (memory !== undefined) {
                return this.sumLoad(memory, profile).tokens;
            }
        }
        return undefined;
    }

    /**
     * Streams under way hold memory also on paths whose first engine gets no new requests at the moment: the last path known
     * of it counts until it is gone. To compute the paths of all registered engines for this would cost as much again with
     * each engine that changes.
     */
    private getKnownPaths(service: RoutedService, profile: EngineProfile, usable: readonly Chain[]): KnownPaths {
        const known = this.known.get(service.name);
        if (known?.usable === usable && known.profile === profile) {
            return known;
        }
        const { view } = this.options;
        const firsts = new Set(usable.map(getFirstId));
        const others = known?.paths.filter((one) => !firsts.has(getFirstId(one)) && !view.hasEnded(getFirstId(one)));
        const paths = [...usable, ...(others ?? [])];
        const next = { usable, paths, profile, groups: groupSharedMemories(paths, profile) };
        this.known.set(service.name, next);
        return next;
    }

    private sumLoad({ firstIds, engines }: SharedMemory, profile: EngineProfile): SharedLoad {
        const { getLocalLoad, getRemoteLoad, getLoadAgeMs, getHoldMs, getSteadyShare, getLimitTokens } = this.options;
        const endedShare = Math.min(1, getLoadAgeMs() / (getHoldMs(firstIds) ?? Number.POSITIVE_INFINITY));
        let open = 0;
        let tokens = 0;
        for (const id of firstIds) {
            const local = getLocalLoad(id);
            const remote = getRemoteLoad(id);
            // Requests that have ended since the other entries reported them.
            const leftShare = 1 - endedShare * (getSteadyShare?.(id) ?? 0);
            open += local.open + remote.open * leftShare;
            tokens += computeLoadTokens(local, profile) + computeLoadTokens(remote, profile) * leftShare;
        }
        let limitTokens = Number.POSITIVE_INFINITY;
        let isLearned = false;
        for (const { id, contextTokens } of engines) {
            const limit = getLimitTokens?.(id, contextTokens) ?? contextTokens;
            limitTokens = Math.min(limitTokens, limit);
            isLearned ||= limit < contextTokens;
        }
        return {
            open,
            tokens,
            known: { open, tokens },
            unreported: 0,
            freeTokens: 0,
            candidates: 0,
            tried: 0,
            limitTokens,
            isLearned,
        };
    }
}

/** Checks the memory of paths for one request. */
export class MemoryCheck {
    private readonly usualTokens: number;

    /**
     * @param loads - loads of the engines of each path
     * @param profile - usual sizes
     */
    constructor(
        private readonly loads: ReadonlyMap<Chain, readonly SharedLoad[]>,
        private readonly profile: EngineProfile,
    ) {
        this.usualTokens = computeHeldTokens(getUsualSize(profile));
    }

    /**
     * Checks whether all engines of a path have memory for a request.
     * @param chain - the path
     * @param size - the request; the usual size where it states none
     * @returns false where an engine might have to decline it or evict another one
     */
    hasRoom(chain: Chain, size: RequestSize = getUsualSize(this.profile)): boolean {
        return (this.loads.get(chain) ?? []).every((load) =>
            hasTokenRoom(load.freeTokens, size) || (!load.isLearned && isNearlyIdle(load.open))
        );
    }

    /**
     * Begins to assign the requests that other entries are expected to have sent to the paths of a set.
     * @param chains - the set
     */
    startAssigning(chains: readonly Chain[]): void {
        const loads = new Set([...this.loads.values()].flat());
        loads.forEach((load) => {
            load.open = load.known.open;
            load.tokens = load.known.tokens;
            load.tried = 0;
            load.freeTokens = computeFreeTokens(load, load.limitTokens, this.profile);
        });
        chains.forEach((chain) => {
            this.loads.get(chain)?.forEach((load) => {
                load.tried += 1;
            });
        });
    }

    /**
     * Assigns such a request. It stands for as many as there are paths through the same engines for each of the set, since
     * other entries send to the other paths, too.
     * @param chain - its path
     */
    recordAssigned(chain: Chain): void {
        this.loads.get(chain)?.forEach((load) => {
            const requests = load.candidates / Math.max(1, load.tried);
            load.open += requests;
            load.tokens += requests * this.usualTokens;
            load.freeTokens = computeFreeTokens(load, load.limitTokens, this.profile);
        });
    }
}

function getFirstId({ stages }: Chain): string {
    return stages[0]?.engine.id ?? "";
}
