/**
 * How loaded an upstream is, from what is known of it. See docs/design/selection.md.
 */

/** What one entry knows of an upstream's load. */
export interface LoadView {
    /** Requests running and waiting by the last report; undefined where there is none. */
    readonly reported: number | undefined;
    /** Age of that report, in milliseconds. */
    readonly reportAgeMs: number;
    /** This entry's own requests in flight there. */
    readonly ownInFlight: number;
    /** Of those, the ones sent after the report was sampled. */
    readonly ownSinceReport: number;
    /** Requests in flight there from other entries, as gossip tells. */
    readonly othersInFlight: number;
    /** Requests that may run there at the same time. */
    readonly slots: number;
    /** Speed against the slowest kind of accelerator. */
    readonly speed: number;
}

/** After this time a report weighs half. */
const REPORT_HALF_LIFE_MS = 1_000;

/**
 * Computes a score; the upstream with the lower one is taken.
 * @param view - what is known
 * @returns expected requests per slot, over speed
 */
export function computeLoadScore(view: LoadView): number {
    const counted = view.ownInFlight + view.othersInFlight;
    const requests = view.reported === undefined ? counted : mergeReport(view, view.reported, counted);
    return (requests + 1) / (view.slots * view.speed);
}

/** An old report gives way to the entries' own counts; a fresh one is corrected by what was sent since. */
function mergeReport(view: LoadView, reported: number, counted: number): number {
    const trust = 2 ** (-view.reportAgeMs / REPORT_HALF_LIFE_MS);
    const corrected = Math.max(reported + view.ownSinceReport, view.ownInFlight);
    return trust * corrected + (1 - trust) * counted;
}
