/**
 * Polls engines for their slowness, so that paths and placement avoid slow ones. Only a leader polls. Each engine is polled about
 * once a second, since a slow engine delays its whole path and a report is cheap; with more engines than the rate limit allows,
 * the interval grows, because reports from thousands of engines per second take more connections than a voter has.
 */
import type { RegisteredUpstream } from "@crankfork/schemas";
import type { EngineControl } from "../../connection/engineControl.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { runForEach } from "../startTask.js";
import type { FleetReplicaHost } from "../voter/fleetProposal.js";
import type { UpstreamRegistry } from "../voter/upstreamRegistry.js";

/** Dependencies of {@link SlownessMonitor}. */
export interface SlownessMonitorOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegistry;
    readonly control: EngineControl;
    /** Returns the share of the time since the last call for which the event loop was busy, 0 to 1; never busy if absent. */
    readonly takeLoopUse?: () => number;
}

const TICK_INTERVAL_MS = 100;
/** Minimum number of ticks in which every engine is polled once. */
const MIN_TICKS_PER_ROUND = 12;
/**
 * Maximum number of engines polled per tick. With an idle time of two seconds this keeps 400 connections open, a tenth of a
 * voter's limit of 4,096 file descriptors.
 */
const MAX_POLLS_PER_TICK = 20;
/** From this use of the event loop on, polls give way to what renews leases, commits and announces shutdowns. */
const BUSY_LOOP_USE = 0.8;
/** Ticks of which one polls while the event loop is busy. */
const BUSY_TICKS = 5;
/** Minimum factor of change that is worth a log entry. */
const MIN_CHANGE_FACTOR = 1.4;
/** Upper bound of the recorded slowness; an engine that is slower is not distinguished from one that does not work. */
const MAX_SLOWNESS = 1_000_000;

/** Polls the slowness of engines. */
export class SlownessMonitor {
    private stopTask: StopPeriodicTask | undefined;
    /** Index in the list of engines at which the next poll begins. */
    private nextIndex = 0;
    private skippedTicks = 0;

    /**
     * @param options - replica and engines
     */
    constructor(private readonly options: SlownessMonitorOptions) {}

    /** Starts polling. */
    start(): void {
        this.stopTask = startPeriodicTask("slowness-poll", TICK_INTERVAL_MS, () => {
            this.tick();
        });
    }

    /** Stops polling. */
    stop(): void {
        this.stopTask?.();
    }

    private tick(): void {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease() || this.givesWay()) {
            return;
        }
        const engines = host.state.listUpstreams()
            .filter((upstream) => upstream.held !== undefined && upstream.status === "ready");
        const count = Math.min(MAX_POLLS_PER_TICK, Math.ceil(engines.length / MIN_TICKS_PER_ROUND));
        const from = this.nextIndex < engines.length ? this.nextIndex : 0;
        const polled = engines.slice(from, from + count);
        this.nextIndex = from + polled.length;
        runForEach("slowness-poll", polled, (upstream) => this.poll(upstream));
    }

    private givesWay(): boolean {
        const isBusy = (this.options.takeLoopUse?.() ?? 0) >= BUSY_LOOP_USE;
        this.skippedTicks = isBusy ? (this.skippedTicks + 1) % BUSY_TICKS : 0;
        return this.skippedTicks > 0;
    }

    private async poll(upstream: RegisteredUpstream): Promise<void> {
        const { control, upstreams, host } = this.options;
        const report = await control.getReport(upstream);
        // An engine without a report is left to its heartbeats and to the entries whose requests it delays.
        if (report.kind !== "report" || !host.replica.hasLeaderLease()) {
            return;
        }
        if (!upstreams.recordReportedStart(upstream, report.startedAtMs)) {
            return;
        }
        const before = upstream.slowness ?? 1;
        const slowness = Math.max(1, Math.round(Math.min(MAX_SLOWNESS, report.slowness) * 10) / 10);
        if (slowness / before >= MIN_CHANGE_FACTOR || before / slowness >= MIN_CHANGE_FACTOR) {
            upstreams.recordSlowness(upstream, slowness);
        }
    }
}
