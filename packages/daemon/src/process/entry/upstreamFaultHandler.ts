/**
 * Reacts to signs that an upstream is faulty: excludes it here and reports it to the leader.
 */
import { getIncarnation, matchesStart, type RegisteredUpstream } from "@crankfork/schemas";
import type { ReportResult } from "../../connection/engineControl.js";
import type { FleetView } from "../../version/fleetView.js";
import type { EventLog } from "../eventLog.js";
import { isSameSpan } from "../layers/layerSpans.js";
import { startTask } from "../startTask.js";
import { waitMs } from "../waitMs.js";
import type { EngineReportCache } from "./engineReportCache.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** Dependencies of the fault handler. */
export interface UpstreamFaultHandlerOptions {
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly engineReports: EngineReportCache;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    readonly countSuspicion: () => void;
    /** Whether this entry is cut off from all upstreams, so that failures show nothing about one; not if absent. */
    readonly isCutOff?: () => boolean;
    /** Whether the memory of a service's engines is checked in tokens; by default it is not. */
    readonly isMemoryChecked?: (service: string) => boolean;
    /** Tokens in use in an engine; undefined where not known. */
    readonly getUsedTokens?: (id: string) => number | undefined;
    /** Called for an engine that declined for lack of memory, with the tokens that were in use there. */
    readonly handleShortage?: (id: string, usedTokens: number) => void;
    /** Schedules a report of suspected upstreams to the leader. */
    readonly reportSuspects: () => void;
}

/** Result of comparing an engine's report with the state known here. */
type ReportComparison =
    | "as-known"
    | "unknown"
    /** The engine gave no report. */
    | "gone"
    /** It restarted, or released layers; the leader is informed and handles it. */
    | "other-life"
    | "other-layers";

function compareReport(upstream: RegisteredUpstream, report: ReportResult): ReportComparison {
    if (report.kind !== "report") {
        return report.kind === "failed" ? "gone" : "as-known";
    }
    if (!matchesStart(getIncarnation(upstream), report.startedAtMs)) {
        return "other-life";
    }
    return isSameSpan(report.held, upstream.held) ? "as-known" : "other-layers";
}

/** Interval between two queries of a silent engine. */
const REPORT_INTERVAL_MS = 200;
/** Exclusion at each query: until the next one, which may be as late as a report times out. */
const EXCLUSION_MS = 1_000;
/** Time after which an engine is used again although it sends no reports. */
const MAX_SILENCE_MS = 10_000;

/** Evaluates and reports faults of upstreams. */
export class UpstreamFaultHandler {
    /** Engines that send no report, and since when. */
    private readonly silentSinceMs = new Map<string, number>();

    /**
     * @param options - state of the upstreams, and whom to notify
     */
    constructor(private readonly options: UpstreamFaultHandlerOptions) {}

    /**
     * Excludes an upstream for a while.
     * @param id - the upstream
     * @param reason - what was observed, for the log
     */
    suspect(id: string, reason: string): void {
        const { health, reportSuspects, countSuspicion, isCutOff, log, view } = this.options;
        if (isCutOff?.() === true) {
            return;
        }
        health.suspect(id);
        reportSuspects();
        countSuspicion();
        log.record("warn", "upstream-suspected", { peer: id, reason, index: view.knownIndex });
    }

    /**
     * Excludes an engine that sent no report until it does. Otherwise the requests of callers would find out, one after
     * another, that it is still silent, or it would stay excluded after it has recovered.
     * @param id - the engine
     * @param reason - what was observed, for the log
     */
    handleMissingReport(id: string, reason: string): void {
        this.suspect(id, reason);
        if (!this.silentSinceMs.has(id)) {
            this.silentSinceMs.set(id, this.options.getNowMs());
            startTask("engine-report", () => this.awaitReport(id).finally(() => this.silentSinceMs.delete(id)));
        }
    }

    /**
     * Ends the exclusion of an engine that delivers after it has sent no report.
     * @param id - the engine
     */
    handleProgress(id: string): void {
        const sinceMs = this.silentSinceMs.get(id);
        if (sinceMs !== undefined) {
            const { health, log, getNowMs } = this.options;
            this.silentSinceMs.delete(id);
            health.clearSuspicion(id);
            log.record("info", "upstream-recovered", { peer: id, silent_ms: Math.round(getNowMs() - sinceMs) });
        }
    }

    private async awaitReport(id: string): Promise<void> {
        const { health, view, engineReports, getNowMs } = this.options;
        const untilMs = getNowMs() + MAX_SILENCE_MS;
        for (;;) {
            await waitMs(REPORT_INTERVAL_MS);
            const upstream = view.getUpstream(id);
            const isWatched = this.silentSinceMs.has(id) && getNowMs() < untilMs && this.options.isCutOff?.() !== true;
            if (!isWatched || upstream?.status !== "ready") {
                return;
            }
            health.exclude(id, EXCLUSION_MS);
            const report = await engineReports.getReport(upstream);
            if (report.kind !== "failed") {
                this.handleProgress(id);
                return;
            }
        }
    }

    /**
     * Handles an engine that declined a request. If it gives no report either, it is gone; if it reports another
     * incarnation or other layers, it does not hold what was requested; otherwise it is only out of capacity for a
     * moment. Until its report arrives it is considered down here. It is reported to the leader at once: where its memory
     * is checked as declined, so that other entries avoid it only if it does not answer the leader's probe either,
     * otherwise as suspected.
     * @param id - the engine
     * @param reason - how it declined, for the log
     */
    async handleDecline(id: string, reason: string): Promise<void> {
        const { health, view, engineReports, log, reportSuspects } = this.options;
        if (!health.recordDecline(id)) {
            return;
        }
        const usedTokens = this.options.getUsedTokens?.(id);
        const upstream = view.getUpstream(id);
        const isMemoryChecked = this.options.isMemoryChecked?.(upstream?.service ?? "") === true;
        // Where its memory is not checked, an engine that is short keeps getting requests unless all entries avoid it.
        health.markDown(id, true, !isMemoryChecked);
        reportSuspects();
        const found = upstream === undefined
            ? "unknown"
            : compareReport(upstream, await engineReports.getReport(upstream));
        log.record("info", "upstream-declined", { peer: id, reason, found, index: view.knownIndex });
        if (found === "as-known") {
            health.clearDown(id);
            if (usedTokens !== undefined) {
                this.options.handleShortage?.(id, usedTokens);
            }
        }
        else {
            this.suspect(id, `${reason}, ${found}`);
        }
    }

    /**
     * Finds the engines that stall a path. The streams leave the path at once; reports identify the engine some hundred
     * milliseconds later.
     * @param id - first engine of the path
     * @param streams - number of silent streams
     * @param silentMs - for how long they have been silent
     */
    async handlePathStall(id: string, streams: number, silentMs: number): Promise<void> {
        const { view, engineReports, log } = this.options;
        const upstream = view.getUpstream(id);
        const faults = upstream === undefined ? [] : await engineReports.findFaultyEngines(upstream);
        const ids = faults.flatMap((fault) => view.findIdByAddress(fault) ?? []);
        log.record("warn", "path-stalled", {
            peer: id,
            streams,
            silent_ms: Math.round(silentMs),
            at_fault: ids.join(","),
            index: view.knownIndex,
        });
        ids.forEach((one) => {
            this.suspect(one, "its path stalled");
        });
    }
}
