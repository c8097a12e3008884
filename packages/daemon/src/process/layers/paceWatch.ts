/**
 * Asks engines how fast they are, so that paths and layers go around slow ones. Only a leader asks, each engine about
 * once a second: a slow engine costs its whole path, and a report costs little. Where there are more engines than that allows,
 * each waits longer for its turn: reports from thousands of engines a second take more connections than a voter has.
 */
import type { RegisteredUpstream } from "@crankfork/schemas";
import type { EngineControl } from "../../connection/engineControl.js";
import { startTicking, type StopTicking } from "../startTicking.js";
import type { FleetReplicaHost } from "../voter/fleetProposal.js";
import type { UpstreamRegister } from "../voter/upstreamRegister.js";

/** What the watch needs from the process. */
export interface PaceWatchOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegister;
    readonly control: EngineControl;
}

const TICK_MS = 100;
/** Ticks in which every engine is asked once, at the least. */
const TICKS_A_ROUND = 12;
/**
 * Engines that are asked in one tick, at the most. With connections that are idle for two seconds this leaves 400 of them open,
 * a tenth of what a voter of 4,096 descriptors has.
 */
const MOST_ASKED_A_TICK = 20;
/** A change by less than this factor is not worth an entry of the log. */
const WORTH_TELLING = 1.4;

/** Watches engines. */
export class PaceWatch {
    private stopTicking: StopTicking | undefined;
    /** Place in the list of engines from which the next ones are asked. */
    private next = 0;

    /**
     * @param options - replica and engines
     */
    constructor(private readonly options: PaceWatchOptions) {}

    /** Starts. */
    start(): void {
        this.stopTicking = startTicking(TICK_MS, () => {
            this.tick();
        });
    }

    /** Stops. */
    stop(): void {
        this.stopTicking?.();
    }

    private tick(): void {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return;
        }
        const engines = host.state.listUpstreams()
            .filter((upstream) => upstream.held !== undefined && upstream.status === "ready");
        const count = Math.min(MOST_ASKED_A_TICK, Math.ceil(engines.length / TICKS_A_ROUND));
        const from = this.next < engines.length ? this.next : 0;
        const asked = engines.slice(from, from + count);
        this.next = from + asked.length;
        asked.forEach((upstream) => void this.ask(upstream));
    }

    private async ask(upstream: RegisteredUpstream): Promise<void> {
        const { control, upstreams, host } = this.options;
        const report = await control.getReport(upstream);
        // An engine without a report is looked after by its heartbeats and by those whose requests it holds up.
        if (report.kind !== "report" || !host.replica.hasLeaderLease()) {
            return;
        }
        if (!upstreams.recordReportedStart(upstream, report.startedAtMs)) {
            return;
        }
        const before = upstream.slowness ?? 1;
        const slowness = Math.max(1, Math.round(report.slowness * 10) / 10);
        if (slowness / before >= WORTH_TELLING || before / slowness >= WORTH_TELLING) {
            upstreams.recordSlowness(upstream, slowness);
        }
    }
}
