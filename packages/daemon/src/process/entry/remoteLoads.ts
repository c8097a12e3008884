/**
 * What other entries have open at upstreams, as the leader told last. Without a leader nobody tells when it has ended: an upstream
 * that others happened to be busy at when the leader was lost would get nothing as long as there is none.
 */
import type { ChainLoad } from "@crankfork/decisions";
import type { UpstreamLoads } from "@crankfork/schemas";

/** What the loads need from the process. */
export interface RemoteLoadsOptions {
    readonly getNowMs: () => number;
    /** What this entry has open at an upstream. */
    readonly getLocalLoad: (id: string) => ChainLoad;
    readonly countEntries: () => number;
}

/** Longer than a leader takes to tell again. */
const REPORT_VALIDITY_MS = 1_500;

/** Keeps what was told. */
export class RemoteLoads {
    private loads: UpstreamLoads = {};
    private lastReportMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - clock, own loads and the number of entries
     */
    constructor(private readonly options: RemoteLoadsOptions) {}

    /**
     * Takes what a leader told.
     * @param loads - what the others have open
     */
    record(loads: UpstreamLoads): void {
        this.loads = loads;
        this.lastReportMs = this.options.getNowMs();
    }

    /**
     * Gets what others have open at an upstream.
     * @param id - one life of it
     * @returns as told; later each of them is taken to have as much open there as this one, since callers are spread over all
     */
    get(id: string): ChainLoad {
        const { getNowMs, getLocalLoad, countEntries } = this.options;
        if (getNowMs() - this.lastReportMs <= REPORT_VALIDITY_MS) {
            return this.loads[id] ?? { open: 0, unstarted: 0 };
        }
        const others = countEntries() - 1;
        const { open, unstarted } = getLocalLoad(id);
        return { open: open * others, unstarted: unstarted * others };
    }
}
