/**
 * How far the newest document has come, as entries report it: which of them have it in force, and how long after its commit.
 */
import type { EventLog } from "../eventLog.js";

/** What the rollout needs from the voter. */
export interface DocumentRolloutOptions {
    readonly getVersion: () => number | undefined;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    /** How soon a version has to be in force at every entry, in milliseconds. */
    readonly applyMs: number;
    /** Entries that asked this leader a moment ago. */
    readonly listInTouch: () => readonly string[];
}

/** Names in one line; more are only counted. */
const MOST_NAMES = 10;
/** Versions whose times are kept; an entry that is further behind counts from the first of them. */
const MOST_VERSIONS = 100;

/** Follows the newest document from this leader to the entries. */
export class DocumentRollout {
    private version: number | undefined;
    private appliedMs = Number.NEGATIVE_INFINITY;
    /** Versions in the order in which they were applied here. */
    private readonly history: { readonly version: number; readonly appliedMs: number; }[] = [];
    private readonly applied = new Map<string, number>();
    private isReported = true;

    /**
     * @param options - the leader's state, clock and log
     */
    constructor(private readonly options: DocumentRolloutOptions) {}

    /** Time since the newest document was applied here, in milliseconds; undefined before the first. */
    get ageMs(): number | undefined {
        return this.version === undefined ? undefined : this.options.getNowMs() - this.appliedMs;
    }

    /**
     * Gets for how long an entry has been behind.
     * @param version - in force there; undefined before the first
     * @returns time since the first newer version was applied here, in milliseconds; undefined where there is none
     */
    getBehindMs(version: number | undefined): number | undefined {
        const newer = this.history.find((one) => one.version > (version ?? Number.NEGATIVE_INFINITY));
        return newer === undefined ? undefined : this.options.getNowMs() - newer.appliedMs;
    }

    /** Notices a new document; called after each change of the state. */
    handleState(): void {
        const version = this.options.getVersion();
        if (version !== this.version) {
            this.version = version;
            this.appliedMs = this.options.getNowMs();
            this.isReported = false;
            if (version !== undefined) {
                this.history.push({ version, appliedMs: this.appliedMs });
                this.history.splice(0, this.history.length - MOST_VERSIONS);
            }
        }
    }

    /**
     * Records what an entry reports, and writes a line once every entry in touch has the newest version in force.
     * @param instance - the entry
     * @param version - in force there; undefined before the first
     */
    recordApplied(instance: string, version: number | undefined): void {
        if (version !== undefined) {
            this.applied.set(instance, version);
        }
        this.report(false);
    }

    /** Writes a line where the newest version should be in force everywhere by now and is not. */
    checkOverdue(): void {
        this.report((this.ageMs ?? 0) > this.options.applyMs);
    }

    private report(isOverdue: boolean): void {
        const { version } = this;
        if (version === undefined || this.isReported) {
            return;
        }
        const inTouch = this.options.listInTouch();
        const behind = inTouch.filter((one) => (this.applied.get(one) ?? Number.NEGATIVE_INFINITY) < version);
        if (inTouch.length === 0 || (behind.length > 0 && !isOverdue)) {
            return;
        }
        this.isReported = true;
        const fields = { version, entries: inTouch.length, ms: Math.round(this.ageMs ?? 0) };
        if (behind.length === 0) {
            this.options.log.record("info", "config-rolled-out", fields);
            return;
        }
        this.options.log.record("warn", "config-overdue", {
            ...fields,
            behind: behind.length,
            at: behind.slice(0, MOST_NAMES).map((one) => `${one}:${String(this.applied.get(one) ?? "none")}`).join(","),
            limit_ms: this.options.applyMs,
        });
    }
}
