/**
 * Load score of an upstream, from reports and local counts. See docs/design/selection.md.
 */

/** What one entry knows of an upstream's load. */
export interface LoadView {
    /** Running and waiting requests in the last report; undefined where there is none. */
    readonly reported: number | undefined;
    /** Age of that report, in milliseconds. */
    readonly reportAgeMs: number;
    /** This entry's own requests in flight there. */
    readonly ownInFlight: number;
    /** Those of them that were sent after the report was sampled. */
    readonly ownSinceReport: number;
    /** Requests of other entries in flight there, according to gossip. */
    readonly othersInFlight: number;
    /** Requests that may run there at the same time. */
    readonly slots: number;
    /** Speed relative to the slowest kind of accelerator. */
    readonly speed: number;
}

/** Half-life of a report's weight. */
const REPORT_HALF_LIFE_MS = 1_000;

/**
 * Computes the score; the upstream with the lowest one is chosen.
 * @param view - what is known
 * @returns expected requests per slot, over speed
 */
export function computeLoadScore(view: LoadView): number {
    const counted = view.ownInFlight + view.othersInFlight;
    const requests = view.reported === undefined ? counted : mergeReport(view, view.reported, counted);
    return (requests + 1) / (view.slots * view.speed);
}

/**
 * Blends the report with the entries' own counts: a fresh report is corrected by what was sent since, an old one loses
 * its weight.
 */
function mergeReport(view: LoadView, reported: number, counted: number): number {
    const weight = 2 ** (-view.reportAgeMs / REPORT_HALF_LIFE_MS);
    const corrected = Math.max(reported + view.ownSinceReport, view.ownInFlight);
    return weight * corrected + (1 - weight) * counted;
}
