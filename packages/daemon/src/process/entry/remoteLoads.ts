/**
 * Load of other entries at the upstreams, as last reported by the leader. Without a leader the report is not updated:
 * an upstream that was busy with requests of others when the leader was lost would get no requests until there is a new
 * one.
 */
import type { ChainLoad } from "@crankfork/decisions";
import type { UpstreamLoads } from "@crankfork/schemas";

/** Dependencies of the remote loads. */
export interface RemoteLoadsOptions {
    readonly getNowMs: () => number;
    /** Load of this entry at an upstream. */
    readonly getLocalLoad: (id: string) => ChainLoad;
    readonly countEntries: () => number;
}

/** Longer than the interval between reports of a leader. */
const REPORT_VALIDITY_MS = 1_500;
/** Time constant of the average: a stream takes three to five seconds. */
const SLOW_MS = 4_000;

/** Stores the last report. */
export class RemoteLoads {
    private loads: UpstreamLoads = {};
    /** Moving averages of the open requests by upstream. */
    private slowOpen = new Map<string, number>();
    private lastReportMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - clock, local loads and number of entries
     */
    constructor(private readonly options: RemoteLoadsOptions) {}

    /**
     * Records a report of the leader.
     * @param loads - load of the other entries
     */
    record(loads: UpstreamLoads): void {
        const nowMs = this.options.getNowMs();
        const weight = 1 - Math.exp((this.lastReportMs - nowMs) / SLOW_MS);
        this.slowOpen = new Map(
            Object.entries(loads).map(([id, { open }]) => {
                const slow = this.slowOpen.get(id) ?? 0;
                return [id, slow + weight * (open - slow)];
            }),
        );
        this.loads = loads;
        this.lastReportMs = nowMs;
    }

    /**
     * Gets the share of the requests at an upstream that are as likely to end soon as others. Requests of a burst that has
     * just begun all end later.
     * @param id - its incarnation
     * @returns 1 unless the load has grown within the time that a request takes
     */
    getSteadyShare(id: string): number {
        const open = this.loads[id]?.open ?? 0;
        return open === 0 ? 0 : Math.min(1, (this.slowOpen.get(id) ?? 0) / open);
    }

    /**
     * Gets the load of other entries at an upstream.
     * @param id - its incarnation
     * @returns the reported load; once that is outdated, each other entry is assumed to have the same load there as
     * this one, since callers are spread over all
     */
    get(id: string): ChainLoad {
        const { getNowMs, getLocalLoad, countEntries } = this.options;
        if (getNowMs() - this.lastReportMs <= REPORT_VALIDITY_MS) {
            const { sized_open: sizedOpen, ...load } = this.loads[id] ?? { open: 0, unstarted: 0 };
            return sizedOpen === undefined ? load : { ...load, sizedOpen };
        }
        const others = countEntries() - 1;
        const { open, unstarted, tokens } = getLocalLoad(id);
        const sized = tokens === undefined ? {} : { tokens: tokens * others };
        return { open: open * others, unstarted: unstarted * others, ...sized };
    }
}
