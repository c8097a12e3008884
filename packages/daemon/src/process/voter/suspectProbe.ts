/**
 * Probes engines that entries suspect or that declined their requests: an engine that fails two consecutive reports is
 * marked lost, sooner than by its heartbeats.
 */
import type { RegisteredUpstream, SuspectParameters, UpstreamLoss } from "@crankfork/schemas";
import type { EngineControl, ReportResult } from "../../connection/engineControl.js";
import { isSameSpan } from "../layers/layerSpans.js";
import { startTask, startTimer } from "../startTask.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import type { UpstreamRegistry } from "./upstreamRegistry.js";

/** Dependencies of {@link SuspectProbe}. */
export interface SuspectProbeOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegistry;
    readonly control: EngineControl;
    readonly getNowMs: () => number;
    /** Called when the list of upstreams that entries have to avoid changes. */
    readonly handleCorroboration: () => void;
}

/** Failed reports after which an engine suspected by one entry is marked lost; that entry's own link may be at fault. */
const FAILED_REPORTS_UNTIL_LOST = 2;
/** Failed reports after which an engine suspected by several entries is marked lost. */
const FAILED_REPORTS_IF_CORROBORATED = 1;
/** Window within which suspicions of several entries corroborate each other; entries see one fault within a few hundred milliseconds. */
const CORROBORATION_WINDOW_MS = 1_500;
/**
 * Time without an answer after which an engine that declined counts as down. A live engine answers within some
 * milliseconds, and one that is short of memory declines requests of many entries at once: notified at once, all
 * entries would leave all paths through it and overload the others.
 */
const DECLINED_ANSWER_MS = 100;

/** A pending probe. */
interface PendingProbe {
    readonly startedMs: number;
    readonly timer: NodeJS.Timeout;
    hasAnswered: boolean;
    hasFailed: boolean;
}

/** Probes suspected engines. */
export class SuspectProbe {
    private readonly probing = new Map<string, PendingProbe>();
    /** Time of each entry's last suspicion, by upstream. */
    private readonly suspicions = new Map<string, Map<string, number>>();
    /** Time of each entry's last suspicion or declined request, by upstream. */
    private readonly reports = new Map<string, Map<string, number>>();
    /** The list last given to `handleCorroboration`. */
    private namedKey = "";

    /**
     * @param options - replica and engines
     */
    constructor(private readonly options: SuspectProbeOptions) {}

    /**
     * Starts probes of upstreams that failed or declined an entry's requests; an upstream that is already being probed is not
     * probed twice.
     * @param parameters - the upstreams, and the entry that reports them
     */
    handleSuspects({ instance, suspects, declined = [] }: SuspectParameters): void {
        const ids = new Set([...suspects, ...declined]);
        suspects.forEach((id) => {
            this.recordReport(this.suspicions, id, instance);
        });
        ids.forEach((id) => {
            this.recordReport(this.reports, id, instance);
        });
        [...ids].filter((id) => !this.probing.has(id)).forEach((id) => {
            this.startProbe(id);
        });
        this.notifyChange();
    }

    /**
     * Lists upstreams that several entries suspect and whose probe is pending. All entries are notified, since a missing report
     * takes 350 ms to detect and entries that have not met the fault yet would otherwise send their requests into it. Requests
     * that an engine declined count only while it does not answer the probe.
     * @returns upstream ids
     */
    listCorroborated(): readonly string[] {
        return [...this.probing].filter(([id, probe]) =>
            countCorroborating(this.suspicions.get(id)) > 1
            || (this.isUnanswered(probe) && countCorroborating(this.reports.get(id)) > 1)
        ).map(([id]) => id);
    }

    private startProbe(id: string): void {
        const pending: PendingProbe = {
            startedMs: this.options.getNowMs(),
            timer: startTimer("suspect-probe", DECLINED_ANSWER_MS, () => {
                this.notifyChange();
            }),
            hasAnswered: false,
            hasFailed: false,
        };
        this.probing.set(id, pending);
        startTask("suspect-probe", () =>
            this.probe(id, pending).finally(() => {
                clearTimeout(pending.timer);
                this.probing.delete(id);
                this.suspicions.delete(id);
                this.reports.delete(id);
                this.notifyChange();
            }));
    }

    private isUnanswered({ startedMs, hasAnswered, hasFailed }: PendingProbe): boolean {
        return hasFailed || (!hasAnswered && this.options.getNowMs() - startedMs >= DECLINED_ANSWER_MS);
    }

    /** Notifies of additions, and of removals so that entries use a live engine again at once. */
    private notifyChange(): void {
        const key = [...this.listCorroborated()].sort().join(",");
        if (key !== this.namedKey) {
            this.namedKey = key;
            this.options.handleCorroboration();
        }
    }

    private recordReport(reports: Map<string, Map<string, number>>, id: string, instance: string): void {
        const byEntry = reports.get(id) ?? new Map<string, number>();
        byEntry.set(instance, this.options.getNowMs());
        reports.set(id, byEntry);
    }

    private getFailureLimit(id: string): number {
        return countCorroborating(this.reports.get(id)) > 1
            ? FAILED_REPORTS_IF_CORROBORATED
            : FAILED_REPORTS_UNTIL_LOST;
    }

    private async probe(id: string, pending: PendingProbe): Promise<void> {
        const { host, upstreams, control } = this.options;
        let reason = "";
        let loss: UpstreamLoss = "silent";
        for (let probe = 0; probe < this.getFailureLimit(id); probe += 1) {
            const upstream = host.state.getUpstream(id);
            if (upstream?.accelerator === undefined || upstream.status !== "ready") {
                return;
            }
            const report = await control.getReport(upstream);
            if (report.kind !== "failed") {
                pending.hasAnswered = true;
                pending.hasFailed = false;
                this.applyReport(upstream, report);
                await upstreams.awaitChange(id);
                return;
            }
            pending.hasFailed = true;
            this.notifyChange();
            ({ reason } = report);
            loss = report.isSilent === true ? loss : "gone";
        }
        const upstream = host.state.getUpstream(id);
        if (upstream !== undefined && host.replica.hasLeaderLease()) {
            upstreams.markLost(upstream, loss, `no report: ${reason}`);
            await upstreams.awaitChange(id);
            if (loss === "silent") {
                startTask("suspect-probe", () => this.checkEnd(id));
            }
        }
    }

    /** Requests one more report: where the process ended while its last report was under way, its connections are refused by now. */
    private async checkEnd(id: string): Promise<void> {
        const { host, upstreams, control } = this.options;
        const suspected = host.state.getUpstream(id);
        const report = suspected === undefined ? undefined : await control.getReport(suspected);
        const upstream = host.state.getUpstream(id);
        if (
            report?.kind === "failed" && report.isSilent !== true
            && upstream?.status === "lost" && host.replica.hasLeaderLease()
        ) {
            upstreams.markLost(upstream, "gone", `no report: ${report.reason}`);
        }
    }

    /** Applies the report of an engine that answers: it may have restarted or released its layers. */
    private applyReport(upstream: RegisteredUpstream, report: Exclude<ReportResult, { kind: "failed"; }>): void {
        const { host, upstreams } = this.options;
        if (report.kind !== "report" || !host.replica.hasLeaderLease()) {
            return;
        }
        const isExpected = upstreams.recordReportedStart(upstream, report.startedAtMs);
        if (isExpected && !report.isOrderInProgress && !isSameSpan(report.held, upstream.held)) {
            startTask("held-layers", () => upstreams.recordHeldLayers(upstream, report.held));
        }
    }
}

/** Counts the entries whose reports corroborate each other, by the time of each entry's last one. */
function countCorroborating(byEntry: ReadonlyMap<string, number> = new Map<string, number>()): number {
    const reportedMs = [...byEntry.values()];
    const sinceMs = Math.max(...reportedMs) - CORROBORATION_WINDOW_MS;
    return reportedMs.filter((atMs) => atMs >= sinceMs).length;
}
