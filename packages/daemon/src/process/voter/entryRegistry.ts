/**
 * The entries known to a leader and their open requests; answers their state synchronisation requests.
 */
import type {
    LimitsKnown,
    ServiceSpending,
    SynchronisedState,
    SynchroniseParameters,
    SynchroniseResult,
    UpstreamLoads,
} from "@crankfork/schemas";
import { waitMs } from "../waitMs.js";
import type { DocumentRollout } from "./documentRollout.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import type { RateLimitCoordinator } from "./rateLimitCoordinator.js";

/** Dependencies of {@link EntryRegistry}. */
export interface EntryRegistryOptions {
    readonly host: FleetReplicaHost;
    readonly getNowMs: () => number;
    /** Upstreams that several entries suspect. */
    readonly listSuspects: () => readonly string[];
    /** Rate limits announced by upstreams. */
    readonly limits: Pick<RateLimitCoordinator, "hasUpdates" | "listUpdates">;
    /** Rollout state of the newest document. */
    readonly rollout: Pick<DocumentRollout, "ageMs" | "getBehindMs" | "recordApplied">;
}

/** Time without contact after which an entry is no longer counted; matches the longest window of a shared budget. */
const ENTRY_MEMORY_MS = 12_000;
/** Expiry of an entry's reported open requests, shorter than the above because they may have ended. */
const OPEN_MEMORY_MS = 1_500;
/** Bounds of the long-poll hold time, which grows with the number of entries to keep the leader's load constant. */
const LEAST_HOLD_MS = 200;
const HOLD_MS_AN_ENTRY = 8;
const MOST_HOLD_MS = 600;
/**
 * Minimum interval between two change notifications to one entry, per connected entry. An entry asks again as soon as it is
 * answered, so without it every change would be sent to every entry separately. It bounds the leader to about 1,000 answers per
 * second regardless of the number of entries; the first change after an idle period is still sent immediately.
 */
const GAP_MS_AN_ENTRY = 1;
/** Together with the longest hold time this stays below the time for which an entry waits for an answer. */
const MOST_GAP_MS = 500;

/** Position of an entry that reports no knowledge of rate limits. */
const NO_LIMITS: LimitsKnown = { term: 0, change: 0 };
/** Time without contact after which an entry may fall back to its even share of rate limits; entries ask about every 1.2 s. */
const IN_TOUCH_MS = 1_500;

interface KnownEntry {
    heardMs: number;
    /** When the entry was last sent a change. */
    reportedMs: number;
    loads: UpstreamLoads;
    spending: ServiceSpending;
}

/** Requests that a restarted entry had sent before; they count until the budget window has passed. */
interface EndedSpending {
    readonly heardMs: number;
    readonly spending: ServiceSpending;
}

/** Tracks entries and answers their synchronisation requests. */
export class EntryRegistry {
    private readonly entries = new Map<string, KnownEntry>();
    private waiting: (() => void)[] = [];
    private ended: EndedSpending[] = [];
    private term = 0;
    private leadingSinceMs = 0;

    /**
     * @param options - replica and clock
     */
    constructor(private readonly options: EntryRegistryOptions) {}

    /** Answers all pending long polls, because the state changed. */
    handleStateChange(): void {
        const { waiting } = this;
        this.waiting = [];
        waiting.forEach((wake) => {
            wake();
        });
    }

    /**
     * Answers an entry. If the entry is up to date, holds the answer for a while until something changes.
     * @param parameters - what the entry knows, and its load
     * @returns the changes it lacks, if this voter leads and holds its lease when it answers
     */
    async synchronise(parameters: SynchroniseParameters): Promise<SynchroniseResult> {
        const { host } = this.options;
        if (!host.replica.hasNewestState()) {
            return this.createNotLeader();
        }
        const entry = this.record(parameters);
        if (parameters.may_wait !== false && !this.hasNews(parameters)) {
            await this.waitForNews();
        }
        if (this.hasNews(parameters)) {
            await this.waitForTurn(entry);
        }
        return host.replica.hasNewestState() ? this.createState(parameters) : this.createNotLeader();
    }

    private hasNews({ known_index, limits_known = NO_LIMITS }: SynchroniseParameters): boolean {
        const { host, limits } = this.options;
        return host.state.lastChange !== known_index || limits.hasUpdates(limits_known);
    }

    private record(
        { instance, loads, spending = {}, known_index, applied_version }: SynchroniseParameters,
    ): KnownEntry {
        this.recordTerm();
        const known = this.entries.get(instance);
        // An entry that knows nothing has restarted, and its counters begin at 0.
        if (known !== undefined && known_index === 0 && Object.keys(known.spending).length > 0) {
            this.ended.push({ heardMs: known.heardMs, spending: known.spending });
        }
        const reportedMs = known?.reportedMs ?? Number.NEGATIVE_INFINITY;
        const entry: KnownEntry = { heardMs: this.options.getNowMs(), reportedMs, loads, spending };
        this.entries.set(instance, entry);
        this.options.rollout.recordApplied(instance, applied_version);
        return entry;
    }

    /** The requests that entries sent are known only from the moment at which they began to report to this leader. */
    private recordTerm(): void {
        const { term } = this.options.host.replica.getStatus();
        if (term !== this.term) {
            this.term = term;
            this.leadingSinceMs = this.options.getNowMs();
        }
    }

    /** Delays the answer to the minimum notification interval, so that changes in the meantime are batched. */
    private async waitForTurn(entry: KnownEntry): Promise<void> {
        const { getNowMs } = this.options;
        const gapMs = Math.min(MOST_GAP_MS, this.entries.size * GAP_MS_AN_ENTRY);
        const leftMs = entry.reportedMs + gapMs - getNowMs();
        if (leftMs > 0) {
            await waitMs(leftMs);
        }
        entry.reportedMs = getNowMs();
    }

    private waitForNews(): Promise<void> {
        const holdMs = Math.min(MOST_HOLD_MS, Math.max(LEAST_HOLD_MS, this.entries.size * HOLD_MS_AN_ENTRY));
        return new Promise((resolve) => {
            const timer = setTimeout(resolve, holdMs);
            this.waiting.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    private createState(parameters: SynchroniseParameters): SynchronisedState {
        const { host } = this.options;
        const { replicas, term, commitIndex } = host.replica.getStatus();
        const { ageMs } = this.options.rollout;
        const behindMs = this.options.rollout.getBehindMs(parameters.applied_version);
        const changes = host.state.getChanges(parameters.known_index);
        const document = host.state.getDocument();
        return {
            kind: "state",
            index: changes.index,
            ...(document === undefined ? {} : { document_version: document.version }),
            ...(ageMs === undefined ? {} : { document_age_ms: ageMs }),
            ...(behindMs === undefined ? {} : { behind_ms: behindMs }),
            confirmed_by: { term, commit_index: commitIndex },
            is_whole: changes.isWhole,
            upstreams: [...changes.upstreams],
            removed: [...changes.removed],
            crashes: [...changes.crashes.records],
            crashes_forgotten: [...changes.crashes.forgotten],
            entries: this.countEntries(),
            loads_elsewhere: this.sumElsewhere(parameters.instance),
            spending_elsewhere: this.sumSpending(parameters.instance),
            spending_known_ms: this.options.getNowMs() - this.leadingSinceMs,
            suspects: [...this.options.listSuspects()],
            limits: this.options.limits.listUpdates(parameters.limits_known ?? NO_LIMITS),
            voters: [...replicas.voters, ...replicas.learners].map((replica) => replica.address),
        };
    }

    private createNotLeader(): SynchroniseResult {
        const { leader } = this.options.host.replica.getStatus();
        return leader === undefined || leader.id === this.options.host.self.id
            ? { kind: "not-leader" }
            : { kind: "not-leader", leader };
    }

    /**
     * Lists the entries seen recently.
     * @returns names of the entries that contacted this leader within the last 1.5 s
     */
    listActiveEntries(): readonly string[] {
        const sinceMs = this.options.getNowMs() - IN_TOUCH_MS;
        return [...this.entries].filter(([, { heardMs }]) => heardMs >= sinceMs).map(([instance]) => instance);
    }

    /**
     * Counts the entries that share budgets.
     * @returns the number of entries that have not expired; at least 1
     */
    countEntries(): number {
        const nowMs = this.options.getNowMs();
        for (const [instance, { heardMs }] of this.entries) {
            if (nowMs - heardMs > ENTRY_MEMORY_MS) {
                this.entries.delete(instance);
            }
        }
        return Math.max(1, this.entries.size);
    }

    /** Includes restarted entries: what they had sent counts until the budget window has passed. */
    private sumSpending(instance: string): ServiceSpending {
        const sinceMs = this.options.getNowMs() - ENTRY_MEMORY_MS;
        this.ended = this.ended.filter(({ heardMs }) => heardMs > sinceMs);
        const others = [...this.entries].filter(([other]) => other !== instance).map(([, entry]) => entry);
        const sums: ServiceSpending = {};
        [...others, ...this.ended].forEach(({ spending }) => {
            Object.entries(spending).forEach(([service, { requests, repeats }]) => {
                const sum = sums[service];
                sums[service] = {
                    requests: (sum?.requests ?? 0) + requests,
                    repeats: (sum?.repeats ?? 0) + repeats,
                };
            });
        });
        return sums;
    }

    private sumElsewhere(instance: string): UpstreamLoads {
        const nowMs = this.options.getNowMs();
        const sums: UpstreamLoads = {};
        for (const [other, { heardMs, loads }] of this.entries) {
            if (other !== instance && nowMs - heardMs <= OPEN_MEMORY_MS) {
                Object.entries(loads).forEach(([upstream, { open, unstarted }]) => {
                    const sum = sums[upstream];
                    sums[upstream] = { open: (sum?.open ?? 0) + open, unstarted: (sum?.unstarted ?? 0) + unstarted };
                });
            }
        }
        return sums;
    }
}
