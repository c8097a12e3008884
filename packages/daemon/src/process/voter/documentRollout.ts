/**
 * Tracks the rollout of the newest document: which entries report it as applied, and how long after it was committed.
 */
import type { EventLog } from "../eventLog.js";

/** Dependencies of {@link DocumentRollout}. */
export interface DocumentRolloutOptions {
    readonly getVersion: () => number | undefined;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    /** Time within which every entry must have applied a new version. */
    readonly applyMs: number;
    /** Entries that have contacted this leader recently. */
    readonly listActiveEntries: () => readonly string[];
}

/** Maximum number of lagging entries named in one log line; the rest are only counted. */
const MAX_NAMED_ENTRIES = 10;
/** Number of versions whose commit times are kept; an entry further behind is measured from the oldest of them. */
const MAX_VERSIONS = 100;

/** Tracks how far the newest document has spread from this leader to the entries. */
export class DocumentRollout {
    private version: number | undefined;
    private appliedMs = Number.NEGATIVE_INFINITY;
    /** Versions in the order in which this voter applied them. */
    private readonly history: { readonly version: number; readonly appliedMs: number; }[] = [];
    private readonly applied = new Map<string, number>();
    private isLogged = true;

    /**
     * @param options - the leader's state, clock and log
     */
    constructor(private readonly options: DocumentRolloutOptions) {}

    /** Time since this voter applied the newest document, in milliseconds; undefined if there is none. */
    get ageMs(): number | undefined {
        return this.version === undefined ? undefined : this.options.getNowMs() - this.appliedMs;
    }

    /**
     * Computes how long an entry has lagged behind.
     * @param version - the version the entry has applied; undefined if none
     * @returns time since this voter applied the first newer version, in milliseconds; undefined if the entry is up to date
     */
    getBehindMs(version: number | undefined): number | undefined {
        const newer = this.history.find((one) => one.version > (version ?? Number.NEGATIVE_INFINITY));
        return newer === undefined ? undefined : this.options.getNowMs() - newer.appliedMs;
    }

    /** Checks for a new document version; called after each change of the replicated state. */
    handleStateChange(): void {
        const version = this.options.getVersion();
        if (version !== this.version) {
            this.version = version;
            this.appliedMs = this.options.getNowMs();
            this.isLogged = false;
            if (version !== undefined) {
                this.history.push({ version, appliedMs: this.appliedMs });
                this.history.splice(0, this.history.length - MAX_VERSIONS);
            }
        }
    }

    /**
     * Records the version an entry has applied, and logs a line once all recently seen entries have the newest one.
     * @param instance - the entry
     * @param version - the version it has applied; undefined if none. One that is newer than the leader's was never committed
     */
    recordApplied(instance: string, version: number | undefined): void {
        if (version !== undefined && version <= (this.options.getVersion() ?? Number.NEGATIVE_INFINITY)) {
            this.applied.set(instance, version);
        }
        this.logProgress(false);
    }

    /** Logs a warning if the newest version is past its rollout deadline and some entry has not applied it. */
    checkOverdue(): void {
        this.logProgress((this.ageMs ?? 0) > this.options.applyMs);
    }

    private logProgress(isOverdue: boolean): void {
        const { version } = this;
        if (version === undefined || this.isLogged) {
            return;
        }
        const activeEntries = this.options.listActiveEntries();
        const behind = activeEntries.filter((one) => (this.applied.get(one) ?? Number.NEGATIVE_INFINITY) < version);
        if (activeEntries.length === 0 || (behind.length > 0 && !isOverdue)) {
            return;
        }
        this.isLogged = true;
        const fields = { version, entries: activeEntries.length, ms: Math.round(this.ageMs ?? 0) };
        if (behind.length === 0) {
            this.options.log.record("info", "config-rolled-out", fields);
            return;
        }
        this.options.log.record("warn", "config-overdue", {
            ...fields,
            behind: behind.length,
            at: behind.slice(0, MAX_NAMED_ENTRIES).map((one) => `${one}:${String(this.applied.get(one) ?? "none")}`)
                .join(","),
            limit_ms: this.options.applyMs,
        });
    }
}
