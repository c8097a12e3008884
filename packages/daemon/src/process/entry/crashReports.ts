/**
 * Crashes and completions that an entry has seen and the voters have not stored yet. They are lost where the entry ends
 * before, so callers of such requests are answered only after a while.
 */
import { crashesResultSchema, type ReportedCrash } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { startTask } from "../startTask.js";
import { waitMs } from "../waitMs.js";
import { LeaderNotifier } from "./leaderNotifier.js";

/** Dependencies of the reports. */
export interface CrashReportsOptions {
    readonly getNowMs: () => number;
    readonly log: EventLog;
    /** Sends a request to the leader; rejects where no leader is known, or where it does not answer. */
    readonly askLeader: (method: "crashes", parameters: object) => Promise<unknown>;
}

/** Crashes within this time are reported together: one engine failure breaks about 30 requests. */
const BATCH_MS = 5;
/** Crashes queued for the leader; the oldest are dropped beyond this. */
const MAX_CRASHES = 500;
const POLL_MS = 5;

/** Reports to the leader until a quorum has stored them. */
export class CrashReports {
    private crashes: readonly ReportedCrash[] = [];
    /** Part of a report that the leader has not answered yet. */
    private sentCrashes: readonly ReportedCrash[] = [];
    private completions = new Set<string>();
    private readonly notifier = new LeaderNotifier({
        hasPending: () => this.crashes.length > 0 || this.completions.size > 0,
        send: () => this.send(),
        batchMs: BATCH_MS,
    });

    /**
     * @param options - clock, log and connection to the leader
     */
    constructor(private readonly options: CrashReportsOptions) {}

    /**
     * Reports a crash.
     * @param crash - the crash
     */
    addCrash(crash: ReportedCrash): void {
        this.crashes = [...this.crashes, crash].slice(-MAX_CRASHES);
        startTask("leader-notice", () => this.notifier.run());
    }

    /**
     * Reports that a request with recorded crashes completed.
     * @param fingerprint - the request
     */
    addCompletion(fingerprint: string): void {
        this.completions.add(fingerprint);
        startTask("leader-notice", () => this.notifier.run());
    }

    /**
     * Drops the crashes of a request that were not sent yet.
     * @param fingerprint - the request
     */
    drop(fingerprint: string): void {
        this.crashes = this.crashes.filter((one) => one.fingerprint !== fingerprint);
    }

    /**
     * Checks whether the voters may lack a crash of a request.
     * @param fingerprint - the request
     * @returns false once a quorum has stored all crashes seen here
     */
    hasUnstored(fingerprint: string): boolean {
        return [...this.crashes, ...this.sentCrashes].some((one) => one.fingerprint === fingerprint);
    }

    /**
     * Waits until a quorum has stored the crashes of a request.
     * @param fingerprint - the request
     * @param maxWaitMs - upper bound, in milliseconds
     * @returns false if they are not stored by then
     */
    async waitUntilStored(fingerprint: string, maxWaitMs: number): Promise<boolean> {
        const endMs = this.options.getNowMs() + maxWaitMs;
        while (this.hasUnstored(fingerprint)) {
            if (this.options.getNowMs() >= endMs) {
                return false;
            }
            await waitMs(POLL_MS);
        }
        return true;
    }

    private async send(): Promise<boolean> {
        const { crashes, completions } = this;
        this.sentCrashes = crashes;
        this.crashes = [];
        this.completions = new Set();
        const isAccepted = await this.sendReport(crashes, completions);
        if (!isAccepted) {
            this.crashes = [...crashes, ...this.crashes].slice(-MAX_CRASHES);
            completions.forEach((one) => this.completions.add(one));
        }
        this.sentCrashes = [];
        return isAccepted;
    }

    private async sendReport(crashes: readonly ReportedCrash[], completions: ReadonlySet<string>): Promise<boolean> {
        const { askLeader, log, getNowMs } = this.options;
        const startMs = getNowMs();
        try {
            const raw = await askLeader("crashes", { crashes, ran_well: [...completions] });
            if (crashesResultSchema.parse(raw).is_taken) {
                log.record("info", "crashes-reported", {
                    crashes: crashes.length,
                    ms: Math.round(getNowMs() - startMs),
                });
                return true;
            }
            log.record("info", "crashes-not-reported", {
                crashes: crashes.length,
                reason: "the leader could not commit them",
            });
        }
        catch (error) {
            log.record("info", "crashes-not-reported", { crashes: crashes.length, reason: String(error) });
        }
        return false;
    }
}
