/**
 * Upstreams that announced their shutdown in a response. The notice is final for the incarnation, whatever its
 * heartbeats say: these may be delayed, or come from behind a network partition, and requests sent there later would be
 * lost with the upstream. The leader is informed, so that other entries know before the upstream tells them, and layers
 * are moved early.
 */
import { leavingResultSchema } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startTask } from "../startTask.js";
import { LeaderNotifier } from "./leaderNotifier.js";

/** Dependencies of the notices. */
export interface LeavingNoticesOptions {
    readonly instance: string;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countLeavingNotice">;
    /** Time for which an upstream continues to serve requests after its notice, in milliseconds. */
    readonly drainMs: number;
    /** Sends a request to the leader; rejects where no leader is known, or where it does not answer. */
    readonly askLeader: (method: "leaving", parameters: object) => Promise<unknown>;
}

/**
 * Fraction of the drain time in which an upstream still accepts requests if all others are shutting down, too. The rest
 * is left for transfer and answer.
 */
const ACCEPT_SHARE = 0.5;

/** Tracks shutdown notices. */
export class LeavingNotices {
    /** Monotonic time of the first notice of each incarnation. */
    private readonly noticedMs = new Map<string, number>();
    private unreported: readonly string[] = [];
    private readonly notifier = new LeaderNotifier({
        hasPending: () => this.unreported.length > 0,
        send: () => this.report(),
        batchMs: 0,
    });

    /**
     * @param options - clock, log and connection to the leader
     */
    constructor(private readonly options: LeavingNoticesOptions) {}

    /**
     * Records a notice of an upstream.
     * @param id - the incarnation that responded
     * @param asked - id of the request that it responded to, or "report", for the log
     */
    receive(id: string, asked: string): void {
        if (this.noticedMs.has(id)) {
            return;
        }
        const { getNowMs, log, metrics, drainMs } = this.options;
        this.noticedMs.set(id, getNowMs());
        metrics.countLeavingNotice();
        log.record("info", "upstream-leaving-notice", { peer: id, asked, drain_ms: drainMs });
        this.unreported = [...this.unreported, id];
        startTask("leader-notice", () => this.notifier.run());
    }

    /**
     * Checks whether an upstream announced its shutdown.
     * @param id - its incarnation
     * @returns true for the rest of that incarnation
     */
    isLeaving(id: string): boolean {
        return this.noticedMs.has(id);
    }

    /**
     * Checks whether an upstream may still get requests if no other is left.
     * @param id - its incarnation
     * @returns false in the later part of its drain time
     */
    canStillAccept(id: string): boolean {
        const noticedMs = this.noticedMs.get(id);
        const { drainMs, getNowMs } = this.options;
        return noticedMs === undefined || getNowMs() < noticedMs + drainMs * ACCEPT_SHARE;
    }

    /**
     * Formats the upstreams that are shutting down.
     * @returns a cache key that changes with the set of them
     */
    format(): string {
        return [...this.noticedMs.keys()].sort().join(",");
    }

    /**
     * Formats the upstreams that are shutting down, each with whether it still accepts requests.
     * @returns a cache key that changes with this state
     */
    formatAccepting(): string {
        return [...this.noticedMs.keys()].map((id) => `${id} ${String(this.canStillAccept(id))}`).sort().join(",");
    }

    /**
     * Removes incarnations that have ended.
     * @param isKnown - whether an incarnation is still registered
     */
    prune(isKnown: (id: string) => boolean): void {
        for (const id of this.noticedMs.keys()) {
            if (!isKnown(id)) {
                this.noticedMs.delete(id);
            }
        }
        this.unreported = this.unreported.filter(isKnown);
    }

    private async report(): Promise<boolean> {
        const sent = this.unreported;
        const isAccepted = await this.sendReport(sent);
        if (isAccepted) {
            this.unreported = this.unreported.filter((id) => !sent.includes(id));
        }
        return isAccepted;
    }

    private async sendReport(upstreams: readonly string[]): Promise<boolean> {
        const { instance, askLeader, log } = this.options;
        try {
            const { is_taken } = leavingResultSchema.parse(await askLeader("leaving", { instance, upstreams }));
            if (is_taken) {
                log.record("info", "leaving-reported", { upstreams: upstreams.join(",") });
            }
            return is_taken;
        }
        catch (error) {
            log.record("info", "leaving-not-reported", { upstreams: upstreams.join(","), reason: String(error) });
            return false;
        }
    }
}
