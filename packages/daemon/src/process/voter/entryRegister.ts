/**
 * The entries that a leader heard of, and what they have open; and the answers to their questions.
 */
import type {
    RateLimitCursor,
    RetryBudgetUsage,
    SynchronisedState,
    SynchroniseParameters,
    SynchroniseResult,
    UpstreamLoads,
} from "@crankfork/schemas";
import { waitMs } from "../waitMs.js";
import type { DocumentRollout } from "./documentRollout.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import type { LimitKeeper } from "./limitKeeper.js";

/** What the register needs from the process. */
export interface EntryRegisterOptions {
    readonly host: FleetReplicaHost;
    readonly getNowMs: () => number;
    /** Upstreams that several entries suspect. */
    readonly listSuspects: () => readonly string[];
    /** Rates that upstreams named. */
    readonly limits: Pick<LimitKeeper, "hasNews" | "listNews">;
    /** How far the newest document has come. */
    readonly rollout: Pick<DocumentRollout, "ageMs" | "getBehindMs" | "recordApplied">;
}

/** An entry that was not heard for so long counts no more; as long as the longest window of a shared budget. */
const ENTRY_MEMORY_MS = 12_000;
/** What an entry has open is forgotten sooner: it may have ended. */
const OPEN_MEMORY_MS = 1_500;
/** How long an answer waits for news; grows with the entries so that the leader's work does not. */
const LEAST_HOLD_MS = 200;
const HOLD_MS_AN_ENTRY = 8;
const MOST_HOLD_MS = 600;
/**
 * Least time between two answers that tell one entry of changes. An entry asks again as soon as it is answered, so that each change
 * would go to each entry by itself. With this the leader gives some 1,000 answers a second, whatever the number of entries; the
 * first change after a quiet time is told at once.
 */
const GAP_MS_AN_ENTRY = 1;
/** With the longest hold it stays below the silence that an entry bears. */
const MOST_GAP_MS = 500;

/** What an entry knows that says nothing of limits. */
const NO_LIMITS: RateLimitCursor = { term: 0, change: 0 };
/** An entry that was not heard for so long may use its even part of what is shared; it asks again within some 1.2 s. */
const IN_TOUCH_MS = 1_500;

interface KnownEntry {
    heardMs: number;
    /** When it was last told of a change. */
    reportedMs: number;
    loads: UpstreamLoads;
    spending: RetryBudgetUsage;
}

/** What an entry had sent when it ended; it counts on until the window of the budget is over. */
interface EndedSpending {
    readonly heardMs: number;
    readonly spending: RetryBudgetUsage;
}

/** Answers entries. */
export class EntryRegister {
    private readonly entries = new Map<string, KnownEntry>();
    private waiting: (() => void)[] = [];
    private ended: EndedSpending[] = [];
    private term = 0;
    private leadingSinceMs = 0;

    /**
     * @param options - replica and clock
     */
    constructor(private readonly options: EntryRegisterOptions) {}

    /** Answers all that wait, because the state changed. */
    handleState(): void {
        const { waiting } = this;
        this.waiting = [];
        waiting.forEach((wake) => {
            wake();
        });
    }

    /**
     * Answers an entry; where it knows everything already, waits a while for something new.
     * @param parameters - what it knows and did
     * @returns what it lacks, from a leader that holds its lease at the moment of the answer
     */
    async synchronise(parameters: SynchroniseParameters): Promise<SynchroniseResult> {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return this.createNotLeader();
        }
        const entry = this.record(parameters);
        if (parameters.may_wait !== false && !this.hasNews(parameters)) {
            await this.waitForNews();
        }
        if (this.hasNews(parameters)) {
            await this.waitForTurn(entry);
        }
        return host.replica.hasLeaderLease() ? this.createState(parameters) : this.createNotLeader();
    }

    private hasNews({ known_index, limits_known = NO_LIMITS }: SynchroniseParameters): boolean {
        const { host, limits } = this.options;
        return host.state.lastChangeIndex !== known_index || limits.hasNews(limits_known);
    }

    private record(
        { instance, loads, spending = {}, known_index, applied_version }: SynchroniseParameters,
    ): KnownEntry {
        this.recordTerm();
        const known = this.entries.get(instance);
        // An entry that knows nothing has started anew, and counts from 0.
        if (known !== undefined && known_index === 0 && Object.keys(known.spending).length > 0) {
            this.ended.push({ heardMs: known.heardMs, spending: known.spending });
        }
        const reportedMs = known?.reportedMs ?? Number.NEGATIVE_INFINITY;
        const entry: KnownEntry = { heardMs: this.options.getNowMs(), reportedMs, loads, spending };
        this.entries.set(instance, entry);
        this.options.rollout.recordApplied(instance, applied_version);
        return entry;
    }

    /** What entries sent is known only from the moment at which they began to tell this leader. */
    private recordTerm(): void {
        const { term } = this.options.host.replica.getStatus();
        if (term !== this.term) {
            this.term = term;
            this.leadingSinceMs = this.options.getNowMs();
        }
    }

    /** Changes that come before the turn are told together. */
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
            is_whole: changes.isFullState,
            upstreams: [...changes.upstreams],
            removed: [...changes.removed],
            crashes: [...changes.crashes.records],
            crashes_forgotten: [...changes.crashes.forgotten],
            entries: this.countEntries(),
            loads_elsewhere: this.sumElsewhere(parameters.instance),
            spending_elsewhere: this.sumSpending(parameters.instance),
            spending_known_ms: this.options.getNowMs() - this.leadingSinceMs,
            suspects: [...this.options.listSuspects()],
            limits: this.options.limits.listNews(parameters.limits_known ?? NO_LIMITS),
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
     * Lists the entries that are in touch.
     * @returns those that asked a moment ago
     */
    listInTouch(): readonly string[] {
        const sinceMs = this.options.getNowMs() - IN_TOUCH_MS;
        return [...this.entries].filter(([, { heardMs }]) => heardMs >= sinceMs).map(([instance]) => instance);
    }

    /**
     * Counts the entries that share budgets.
     * @returns those that were heard of lately; at least 1
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

    /** Also of entries that are gone: what they sent counts until the window is over. */
    private sumSpending(instance: string): RetryBudgetUsage {
        const sinceMs = this.options.getNowMs() - ENTRY_MEMORY_MS;
        this.ended = this.ended.filter(({ heardMs }) => heardMs > sinceMs);
        const others = [...this.entries].filter(([other]) => other !== instance).map(([, entry]) => entry);
        const sums: RetryBudgetUsage = {};
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
