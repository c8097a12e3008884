/**
 * Tracks when the entries have learned of the shutdowns of upstreams that this leader has acknowledged.
 */
import type { EventLog } from "../eventLog.js";

/** Dependencies of {@link ShutdownRollout}. */
export interface ShutdownRolloutOptions {
    readonly log: Pick<EventLog, "record">;
    readonly getNowMs: () => number;
    /** Time after the acknowledgement within which every entry must have learned of the shutdown. */
    readonly drainMs: number;
    /** Log index of the last change of the replicated state. */
    readonly getStateIndex: () => number;
    /** Entries whose state is older than a log index, each with the index of its state. */
    readonly listBehind: (index: number) => readonly string[];
}

/** Upstreams or entries named in one log line; the others are only counted. */
const MAX_NAMED = 10;
/** Shutdowns tracked at a time; further ones are not. */
const MAX_TRACKED = 1_000;

interface TrackedShutdown {
    readonly id: string;
    readonly index: number;
    readonly acknowledgedMs: number;
    isOverdue: boolean;
}

/** Logs how long entries take to learn of shutdowns. */
export class ShutdownRollout {
    private shutdowns: readonly TrackedShutdown[] = [];

    /**
     * @param options - the state, the entries and the log
     */
    constructor(private readonly options: ShutdownRolloutOptions) {}

    /**
     * Records that a shutdown was acknowledged.
     * @param id - the incarnation of the upstream
     */
    recordAcknowledged(id: string): void {
        const { getNowMs, getStateIndex } = this.options;
        if (this.shutdowns.length < MAX_TRACKED) {
            const shutdown = { id, index: getStateIndex(), acknowledgedMs: getNowMs(), isOverdue: false };
            this.shutdowns = [...this.shutdowns, shutdown];
        }
    }

    /** Logs the shutdowns that all entries have learned of, and those that some have not learned of in time; call it periodically. */
    check(): void {
        const { drainMs, getNowMs, listBehind } = this.options;
        const nowMs = getNowMs();
        const pending = this.shutdowns.map((shutdown) => ({ shutdown, behind: listBehind(shutdown.index) }));
        const rolledOut = pending.filter(({ behind }) => behind.length === 0).map(({ shutdown }) => shutdown);
        const overdue = pending.filter(({ shutdown, behind }) =>
            behind.length > 0 && !shutdown.isOverdue && nowMs - shutdown.acknowledgedMs > drainMs
        );
        this.shutdowns = pending.filter(({ behind }) => behind.length > 0).map(({ shutdown }) => shutdown);
        if (rolledOut.length > 0) {
            this.record("info", "shutdowns-rolled-out", rolledOut, {});
        }
        if (overdue.length > 0) {
            const behind = overdue.map((one) => one.behind).reduce((most, one) =>
                one.length > most.length ? one : most
            );
            overdue.forEach(({ shutdown }) => {
                shutdown.isOverdue = true;
            });
            this.record("warn", "shutdowns-overdue", overdue.map(({ shutdown }) => shutdown), {
                behind: behind.length,
                at: behind.slice(0, MAX_NAMED).join(","),
                limit_ms: drainMs,
            });
        }
    }

    /** Stops tracking; another voter leads. */
    reset(): void {
        this.shutdowns = [];
    }

    private record(
        level: "info" | "warn",
        event: string,
        shutdowns: readonly TrackedShutdown[],
        fields: Readonly<Record<string, number | string>>,
    ): void {
        const acknowledgedMs = Math.min(...shutdowns.map((one) => one.acknowledgedMs));
        this.options.log.record(level, event, {
            upstreams: shutdowns.slice(0, MAX_NAMED).map(({ id }) => id).join(","),
            count: shutdowns.length,
            ms: Math.round(this.options.getNowMs() - acknowledgedMs),
            ...fields,
        });
    }
}
