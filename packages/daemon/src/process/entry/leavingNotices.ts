/**
 * Upstreams that said in an answer that they leave. It is final for that life, whatever its heartbeats say: they may come late,
 * or from behind a cut, and what goes there later is lost with it. The leader is told, so that other entries know before they are
 * told by the upstream, and layers move early.
 */
import { leavingResultSchema } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { LeaderNotifier } from "./leaderNotifier.js";

/** What the notices need from the process. */
export interface LeavingNoticesOptions {
    readonly instance: string;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countLeavingNotice">;
    /** For how long an upstream serves on after it said that it leaves, in milliseconds. */
    readonly drainMs: number;
    /** Asks the leader; rejects where there is none, or where it does not answer. */
    readonly askLeader: (method: "leaving", parameters: object) => Promise<unknown>;
}

/**
 * Part of the time to drain in which a request may still go where no upstream is left that does not leave; the rest of it is
 * for the way and the answer.
 */
const ACCEPT_SHARE = 0.5;

/** Keeps the notices. */
export class LeavingNotices {
    /** When each life said so first, by the monotonic clock. */
    private readonly noticedMs = new Map<string, number>();
    private unreported: readonly string[] = [];
    private readonly notifier = new LeaderNotifier({
        hasPending: () => this.unreported.length > 0,
        send: () => this.report(),
        batchMs: 0,
    });

    /**
     * @param options - clock, log and the way to the leader
     */
    constructor(private readonly options: LeavingNoticesOptions) {}

    /**
     * Takes an upstream's notice.
     * @param id - the life that answered
     * @param asked - the request that it answered, for the log
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
        void this.notifier.run();
    }

    /**
     * Tells whether an upstream said that it leaves.
     * @param id - one life of it
     * @returns true for the rest of that life
     */
    isLeaving(id: string): boolean {
        return this.noticedMs.has(id);
    }

    /**
     * Tells whether a request may go to an upstream where no other is left.
     * @param id - one life of it
     * @returns false once an early part of its time to drain is over
     */
    canStillAccept(id: string): boolean {
        const heardMs = this.noticedMs.get(id);
        const { drainMs, getNowMs } = this.options;
        return heardMs === undefined || getNowMs() < heardMs + drainMs * ACCEPT_SHARE;
    }

    /**
     * Names the upstreams that leave.
     * @returns a text that is equal as long as they are the same
     */
    format(): string {
        return [...this.noticedMs.keys()].sort().join(",");
    }

    /**
     * Names those of them that may still take requests.
     * @returns a text that is equal as long as they are the same
     */
    formatAccepting(): string {
        return [...this.noticedMs.keys()].map((id) => `${id} ${String(this.canStillAccept(id))}`).sort().join(",");
    }

    /**
     * Forgets lives that are over.
     * @param isKnown - whether a life still counts
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
        const told = this.unreported;
        const isTaken = await this.sendReport(told);
        if (isTaken) {
            this.unreported = this.unreported.filter((id) => !told.includes(id));
        }
        return isTaken;
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
