/**
 * What an entry makes of the signs that an upstream is at fault: it leaves it out, and tells the leader.
 */
import { getLife, isStartOf, type RegisteredUpstream } from "@crankfork/schemas";
import type { ReportResult } from "../../connection/engineControl.js";
import type { FleetView } from "../../version/fleetView.js";
import type { EventLog } from "../eventLog.js";
import { isSameSpan } from "../layers/layerSpans.js";
import type { StallReports } from "./stallReports.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** What the judgement rests on, and who is told. */
export interface UpstreamFaultsOptions {
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly stallReports: StallReports;
    readonly log: EventLog;
    readonly countSuspicion: () => void;
    /** Tells the leader soon of upstreams that are suspected. */
    readonly reportSuspects: () => void;
}

/** What a report says against what this entry knows of the engine. */
type ReportFinding =
    | "as-known"
    | "unknown"
    /** No report came. */
    | "gone"
    /** It started again, or gave layers up; the leader is told and looks after it. */
    | "other-life"
    | "other-layers";

function compareReport(upstream: RegisteredUpstream, report: ReportResult): ReportFinding {
    if (report.kind !== "report") {
        return report.kind === "failed" ? "gone" : "as-known";
    }
    if (!isStartOf(getLife(upstream), report.startedAtMs)) {
        return "other-life";
    }
    return isSameSpan(report.held, upstream.held) ? "as-known" : "other-layers";
}

/** Judges upstreams. */
export class UpstreamFaults {
    /**
     * @param options - what is known of upstreams
     */
    constructor(private readonly options: UpstreamFaultsOptions) {}

    /**
     * Leaves an upstream out for a while.
     * @param id - the upstream
     * @param reason - what was seen, for the log
     */
    suspect(id: string, reason: string): void {
        const { health, reportSuspects, countSuspicion, log, view } = this.options;
        health.suspect(id);
        reportSuspects();
        countSuspicion();
        log.record("warn", "upstream-suspected", { peer: id, reason, index: view.knownIndex });
    }

    /**
     * Passes an engine over that declined. One that gives no report either is gone, and one that reports another life or other
     * layers does not hold what it was asked for; any other has no room for a moment. Until its report is there it counts as
     * gone, and the leader is told at once, so that all entries learn it from one of them.
     * @param id - the engine
     * @param reason - how it declined, for the log
     */
    async handleDecline(id: string, reason: string): Promise<void> {
        const { health, view, stallReports, log, reportSuspects } = this.options;
        if (!health.recordDecline(id)) {
            return;
        }
        health.markAbsent(id, true);
        reportSuspects();
        const upstream = view.getUpstream(id);
        const found = upstream === undefined
            ? "unknown"
            : compareReport(upstream, await stallReports.getReport(upstream));
        log.record("info", "upstream-declined", { peer: id, reason, found, index: view.knownIndex });
        if (found === "as-known") {
            health.clearAbsence(id);
        }
        else {
            this.suspect(id, `${reason}, ${found}`);
        }
    }

    /**
     * Finds the engine that holds up a path. Its streams leave at once; reports name the engine some hundred milliseconds
     * later.
     * @param id - first engine of the path
     * @param streams - streams that were silent
     * @param silentMs - for how long
     */
    async handleStill(id: string, streams: number, silentMs: number): Promise<void> {
        const { view, stallReports, log } = this.options;
        const upstream = view.getUpstream(id);
        const faults = upstream === undefined ? [] : await stallReports.findFaults(upstream);
        const ids = faults.flatMap((fault) => view.findIdByAddress(fault) ?? []);
        log.record("warn", "path-stalled", {
            peer: id,
            streams,
            silent_ms: Math.round(silentMs),
            at_fault: ids.join(","),
            index: view.knownIndex,
        });
        ids.forEach((one) => {
            this.suspect(one, "its path stood still");
        });
    }
}
