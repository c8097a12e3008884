/**
 * Whether a path has room for one more request, by the load that this entry and the others have reported.
 */
import { computeCurrentLoad, hasSlotCapacity, type LoadedChain } from "@crankfork/decisions";
import type { EngineProfile } from "@crankfork/schemas";
import type { RequestContext } from "../../request/requestContext.js";

/** Dependencies of the check. */
export interface PathRoomOptions {
    /** Mean age of the load reports of other entries, in milliseconds. */
    readonly getLoadAgeMs: () => number;
}

/** Checks the slots and prompts of paths; `MemoryUse` checks the memory of their engines. */
export class PathRoom {
    /**
     * @param options - age of the load reports
     */
    constructor(private readonly options: PathRoomOptions) {}

    /**
     * Checks whether a path has room for a request.
     * @param run - the request
     * @param loaded - the path and its load
     * @param engine - usual sizes and the slots of its first engine
     * @returns false where the request would cost others more than it gains
     */
    hasRoom(run: RequestContext, { chain, ...load }: LoadedChain, engine: EngineProfile): boolean {
        const current = computeCurrentLoad(chain, load, engine, this.options.getLoadAgeMs());
        return hasSlotCapacity(chain, current, engine, run.admitted.route.objective_ms);
    }
}
