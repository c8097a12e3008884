/**
 * Looks after engines that entries reported: one that gives no report twice is lost, before its heartbeats tell.
 */
import type { EngineControl } from "../connection/engineControl.js";
import type { FleetReplicaHost, FleetVoter } from "./fleetVoter.js";

/** What the probe needs from the process. */
export interface SuspectProbeOptions {
    readonly host: FleetReplicaHost;
    readonly voter: FleetVoter;
    readonly control: EngineControl;
}

/** Reports asked for before an engine is given up. */
const PROBES = 2;

/** Probes engines. */
export class SuspectProbe {
    private readonly probing = new Set<string>();

    /**
     * @param options - replica and engines
     */
    constructor(private readonly options: SuspectProbeOptions) {}

    /**
     * Probes upstreams that failed an entry's requests; those that are being probed are passed over.
     * @param ids - the upstreams
     */
    handleSuspects(ids: readonly string[]): void {
        ids.filter((id) => !this.probing.has(id)).forEach((id) => {
            this.probing.add(id);
            void this.probe(id).finally(() => this.probing.delete(id));
        });
    }

    private async probe(id: string): Promise<void> {
        const { host, voter, control } = this.options;
        let reason = "";
        for (let probe = 0; probe < PROBES; probe += 1) {
            const upstream = host.state.getUpstream(id);
            if (upstream?.accelerator === undefined || upstream.status !== "ready") {
                return;
            }
            const report = await control.getReport(upstream.address);
            if (report.kind === "report") {
                return;
            }
            ({ reason } = report);
        }
        const upstream = host.state.getUpstream(id);
        if (upstream !== undefined && host.replica.hasNewestState()) {
            voter.markLost(upstream, `no report: ${reason}`);
        }
    }
}
