/**
 * Probes engines that entries suspect: an engine that fails two consecutive reports is marked lost, sooner than by its
 * heartbeats.
 */
import type { RegisteredUpstream, SuspectParameters } from "@crankfork/schemas";
import type { EngineControl, ReportResult } from "../../connection/engineControl.js";
import { isSameSpan } from "../layers/layerSpans.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import type { UpstreamRegistry } from "./upstreamRegistry.js";

/** Dependencies of {@link SuspectProbe}. */
export interface SuspectProbeOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegistry;
    readonly control: EngineControl;
    readonly getNowMs: () => number;
    /** Called when a second entry suspects an upstream that is being probed. */
    readonly handleCorroboration: () => void;
}

/** Failed reports after which an engine suspected by one entry is marked lost; that entry's own link may be at fault. */
const FAILED_REPORTS_UNTIL_LOST = 2;
/** Failed reports after which an engine suspected by several entries is marked lost. */
const FAILED_REPORTS_IF_CORROBORATED = 1;
/** Window within which suspicions of several entries corroborate each other; entries see one fault within a few hundred milliseconds. */
const CORROBORATION_WINDOW_MS = 1_500;

/** Probes suspected engines. */
export class SuspectProbe {
    private readonly probing = new Set<string>();
    /** Time of each entry's last suspicion, by upstream. */
    private readonly suspicions = new Map<string, Map<string, number>>();

    /**
     * @param options - replica and engines
     */
    constructor(private readonly options: SuspectProbeOptions) {}

    /**
     * Starts probes of upstreams that failed an entry's requests; an upstream that is already being probed is not probed twice.
     * @param parameters - the upstreams, and the entry that suspects them
     */
    handleSuspects({ instance, suspects }: SuspectParameters): void {
        const corroboratedBefore = this.listCorroborated().length;
        suspects.forEach((id) => {
            this.recordSuspicion(id, instance);
        });
        suspects.filter((id) => !this.probing.has(id)).forEach((id) => {
            this.probing.add(id);
            void this.probe(id).finally(() => {
                this.probing.delete(id);
                this.suspicions.delete(id);
            });
        });
        if (this.listCorroborated().length > corroboratedBefore) {
            this.options.handleCorroboration();
        }
    }

    /**
     * Lists upstreams that several entries suspect and whose probe is pending. All entries are notified, since a missing report
     * takes 350 ms to detect and entries that have not met the fault yet would otherwise send their requests into it.
     * @returns upstream ids
     */
    listCorroborated(): readonly string[] {
        return [...this.probing].filter((id) => this.countCorroborating(id) > 1);
    }

    private recordSuspicion(id: string, instance: string): void {
        const byEntry = this.suspicions.get(id) ?? new Map<string, number>();
        byEntry.set(instance, this.options.getNowMs());
        this.suspicions.set(id, byEntry);
    }

    private getFailureLimit(id: string): number {
        return this.countCorroborating(id) > 1 ? FAILED_REPORTS_IF_CORROBORATED : FAILED_REPORTS_UNTIL_LOST;
    }

    /** Counts the entries whose suspicions corroborate each other. */
    private countCorroborating(id: string): number {
        const suspectedMs = [...this.suspicions.get(id)?.values() ?? []];
        const sinceMs = Math.max(...suspectedMs) - CORROBORATION_WINDOW_MS;
        return suspectedMs.filter((atMs) => atMs >= sinceMs).length;
    }

    private async probe(id: string): Promise<void> {
        const { host, upstreams, control } = this.options;
        let reason = "";
        for (let probe = 0; probe < this.getFailureLimit(id); probe += 1) {
            const upstream = host.state.getUpstream(id);
            if (upstream?.accelerator === undefined || upstream.status !== "ready") {
                return;
            }
            const report = await control.getReport(upstream);
            if (report.kind !== "failed") {
                this.applyReport(upstream, report);
                return;
            }
            ({ reason } = report);
        }
        const upstream = host.state.getUpstream(id);
        if (upstream !== undefined && host.replica.hasLeaderLease()) {
            upstreams.markLost(upstream, `no report: ${reason}`);
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
            upstreams.recordHeldLayers(upstream, report.held);
        }
    }
}
