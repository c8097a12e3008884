/**
 * Looks after engines that entries reported: one that gives no report twice is lost, before its heartbeats tell.
 */
import type { RegisteredUpstream, SuspectParameters } from "@crankfork/schemas";
import type { EngineControl, ReportResult } from "../../connection/engineControl.js";
import { isSameSpan } from "../layers/layerSpans.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import type { UpstreamRegister } from "./upstreamRegister.js";

/** What the probe needs from the process. */
export interface SuspectProbeOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegister;
    readonly control: EngineControl;
    readonly getNowMs: () => number;
    /** Called when a second entry suspects an upstream that is being looked at. */
    readonly handleAgreement: () => void;
}

/** Reports asked for before an engine is given up that one entry suspects; its own link may be at fault. */
const PROBES = 2;
/** Where several entries suspect it, one report that does not come is enough. */
const PROBES_WHERE_AGREED = 1;
/** Suspicions so close together agree; entries see the same fault within some hundred milliseconds. */
const AGREEMENT_MS = 1_500;

/** Probes engines. */
export class SuspectProbe {
    private readonly probing = new Set<string>();
    /** When each entry suspected an upstream last. */
    private readonly suspicions = new Map<string, Map<string, number>>();

    /**
     * @param options - replica and engines
     */
    constructor(private readonly options: SuspectProbeOptions) {}

    /**
     * Probes upstreams that failed an entry's requests; those that are being probed are passed over.
     * @param parameters - the upstreams, and the entry that suspects them
     */
    handleSuspects({ instance, suspects }: SuspectParameters): void {
        const agreedBefore = this.listAgreed().length;
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
        if (this.listAgreed().length > agreedBefore) {
            this.options.handleAgreement();
        }
    }

    /**
     * Lists upstreams that several entries suspect and whose report is awaited. Told to all entries, this spares those that
     * have not met the fault yet their first requests: a report takes 350 ms to be missed.
     * @returns ids
     */
    listAgreed(): readonly string[] {
        return [...this.probing].filter((id) => this.countSuspecting(id) > 1);
    }

    private recordSuspicion(id: string, instance: string): void {
        const byEntry = this.suspicions.get(id) ?? new Map<string, number>();
        byEntry.set(instance, this.options.getNowMs());
        this.suspicions.set(id, byEntry);
    }

    private countProbes(id: string): number {
        return this.countSuspecting(id) > 1 ? PROBES_WHERE_AGREED : PROBES;
    }

    /** Counts the entries whose suspicions agree. */
    private countSuspecting(id: string): number {
        const suspectedMs = [...this.suspicions.get(id)?.values() ?? []];
        const sinceMs = Math.max(...suspectedMs) - AGREEMENT_MS;
        return suspectedMs.filter((atMs) => atMs >= sinceMs).length;
    }

    private async probe(id: string): Promise<void> {
        const { host, upstreams, control } = this.options;
        let reason = "";
        for (let probe = 0; probe < this.countProbes(id); probe += 1) {
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
        if (upstream !== undefined && host.replica.hasNewestState()) {
            upstreams.markLost(upstream, `no report: ${reason}`);
        }
    }

    /** The engine answers; what it says may differ from what is known, since it started again or gave layers up. */
    private applyReport(upstream: RegisteredUpstream, report: Exclude<ReportResult, { kind: "failed"; }>): void {
        const { host, upstreams } = this.options;
        if (report.kind !== "report" || !host.replica.hasNewestState()) {
            return;
        }
        const isMeant = upstreams.recordReportedStart(upstream, report.startedAtMs);
        if (isMeant && !report.isOrderInProgress && !isSameSpan(report.held, upstream.held)) {
            upstreams.recordHeld(upstream, report.held);
        }
    }
}
