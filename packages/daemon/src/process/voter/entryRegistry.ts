/**
 * The entries known to a leader and their open requests; answers their state synchronisation requests.
 */
import { chooseRelays, decaySpending, type RelayCandidate } from "@crankfork/decisions";
import type {
    RateLimitCursor,
    RelayOffer,
    RetryBudgetUsage,
    SynchronisedState,
    SynchroniseParameters,
    SynchroniseResult,
} from "@crankfork/schemas";
import { waitMs } from "../waitMs.js";
import { DemandRegistry } from "./demandRegistry.js";
import { describeChanges, describeDocument } from "./describeState.js";
import type { DocumentRollout } from "./documentRollout.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import { LeaderWait } from "./leaderWait.js";
import { limitReport } from "./limitReport.js";
import type { LinkRegistry } from "./linkRegistry.js";
import { NotificationPacer } from "./notificationPacer.js";
import type { RateLimitCoordinator } from "./rateLimitCoordinator.js";
import { ReportTotals } from "./reportTotals.js";

/** Dependencies of {@link EntryRegistry}. */
export interface EntryRegistryOptions {
    readonly host: FleetReplicaHost;
    readonly getNowMs: () => number;
    /** Upstreams that several entries suspect. */
    readonly listSuspects: () => readonly string[];
    /** Rate limits announced by upstreams. */
    readonly limits: Pick<RateLimitCoordinator, "hasUpdates" | "listUpdates">;
    /** Window of the retry budget, in milliseconds; requests of entries that are gone count until they expire if absent. */
    readonly budgetWindowMs?: number;
    /** Rollout state of the newest document. */
    readonly rollout: Pick<DocumentRollout, "ageMs" | "getBehindMs" | "recordApplied">;
    /** Share of the time since the last call for which the event loop was busy, 0 to 1; never busy if absent. */
    readonly takeLoopUse?: () => number;
    /** Links between failure domains that lose packets. */
    readonly links?: Pick<LinkRegistry, "record" | "list" | "reset">;
}

/** Time without contact after which an entry is no longer counted; matches the longest window of a shared budget. */
const ENTRY_EXPIRY_MS = 12_000;
/** Expiry of an entry's reported open requests, shorter than the above because they may have ended. */
const LOAD_EXPIRY_MS = 1_500;
/** Bounds of the long-poll hold time, which grows with the number of entries to keep the leader's load constant. */
const MIN_HOLD_MS = 200;
const HOLD_MS_PER_ENTRY = 8;
const MAX_HOLD_MS = 600;
/** Position of an entry that reports no knowledge of rate limits. */
const NO_LIMITS: RateLimitCursor = { term: 0, change: 0 };
/**
 * Time without contact after which an entry may fall back to its even share of rate limits; entries ask again within
 * about 1.2 s.
 */
const ACTIVE_WINDOW_MS = 1_500;
/** Interval between two lists of the entries that relay requests. */
const RELAY_LIST_INTERVAL_MS = 100;

interface KnownEntry {
    lastSeenMs: number;
    /** Log index of the state that the entry had when it last asked. */
    knownIndex: number;
    /** When the entry was last sent a change. */
    notifiedMs: number;
    readonly spending: RetryBudgetUsage;
    readonly domain: string | undefined;
    /** How other entries may send requests through this one. */
    readonly relay: RelayOffer | undefined;
}

interface PendingPoll {
    readonly parameters: SynchroniseParameters;
    readonly wake: () => void;
}

interface RelayList {
    readonly atMs: number;
    /** By instance. */
    readonly candidates: ReadonlyMap<string, RelayCandidate>;
    /** Position of each entry, so that entries start at different relays. */
    readonly positions: ReadonlyMap<string, number>;
}

/** Requests that a restarted entry had sent before; they count until the budget window has passed. */
interface FormerSpending {
    readonly lastSeenMs: number;
    readonly spending: RetryBudgetUsage;
}

/** Tracks entries and answers their synchronisation requests. */
export class EntryRegistry {
    /** Demand that the entries report. */
    readonly demand: DemandRegistry;
    private readonly entries = new Map<string, KnownEntry>();
    private readonly pacer: NotificationPacer;
    private readonly leaderWait: LeaderWait;
    private readonly totals = new ReportTotals(LOAD_EXPIRY_MS);
    private relayList: RelayList | undefined;
    private pendingPolls: PendingPoll[] = [];
    private formerSpending: FormerSpending[] = [];
    private term = 0;
    private leadingSinceMs = 0;

    /**
     * @param options - replica and clock
     */
    constructor(private readonly options: EntryRegistryOptions) {
        this.demand = new DemandRegistry(options.getNowMs);
        this.leaderWait = new LeaderWait(options.getNowMs);
        this.pacer = new NotificationPacer({ ...options, takeLoopUse: options.takeLoopUse ?? ((): number => 0) });
    }

    /** Answers all pending long polls, because something changed that entries have to know at once. */
    handleStateChange(): void {
        this.wakePolls(() => true);
    }

    /** Answers the pending long polls of entries that lack a change of the replicated state and learn of it only here. */
    handleReplicatedChange(): void {
        this.wakePolls((parameters) => this.hasUpdates(parameters));
    }

    private wakePolls(isDue: (parameters: SynchroniseParameters) => boolean): void {
        const { pendingPolls } = this;
        const due = new Set(pendingPolls.filter(({ parameters }) => isDue(parameters)));
        this.pendingPolls = pendingPolls.filter((poll) => !due.has(poll));
        due.forEach(({ wake }) => {
            wake();
        });
    }

    /**
     * Answers an entry. If the entry is up to date, holds the answer for a while until something changes; if no leader is known,
     * until there is one.
     * @param parameters - what the entry knows, and its load
     * @returns the changes it lacks, if this voter leads and holds its lease when it answers
     */
    async synchronise(parameters: SynchroniseParameters): Promise<SynchroniseResult> {
        const { host } = this.options;
        if (parameters.awaits_leader === true) {
            await this.leaderWait.waitForNews(() => this.hasNews(parameters));
        }
        if (!host.replica.hasLeaderLease()) {
            return this.createNotLeaderResult(parameters);
        }
        const entry = this.recordEntry(parameters);
        if (parameters.may_wait !== false && !this.hasUpdates(parameters)) {
            await this.waitForUpdate(parameters);
        }
        if (this.hasUpdates(parameters)) {
            await this.waitForNotifyInterval(entry);
        }
        // A poll that was held or paced shows that its entry is in contact.
        entry.lastSeenMs = this.options.getNowMs();
        return host.replica.hasLeaderLease() ? this.createState(parameters) : this.createNotLeaderResult(parameters);
    }

    /**
     * Whether this voter leads and holds its lease, follows a leader that the entry has not named as late, or has a document that is
     * newer than the one that such a leader, or another voter, has named to the entry.
     */
    private hasNews({ late_leader, known_version }: SynchroniseParameters): boolean {
        const { host } = this.options;
        if (host.replica.hasLeaderLease()) {
            return true;
        }
        const { leader } = host.replica.getStatus();
        if (leader === undefined || leader.id === host.self.id) {
            return false;
        }
        const version = host.state.getDocument()?.version ?? Number.NEGATIVE_INFINITY;
        return leader.address !== late_leader || version > (known_version ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Whether an entry has to be answered early. One that watches the state at another voter learns of changes there; requests that
     * may be quarantined are an exception, since their callers wait until all entries have reported here that they know of them.
     */
    private hasUpdates({ known_index, limits_known = NO_LIMITS, is_watching }: SynchroniseParameters): boolean {
        const { host, limits } = this.options;
        const { lastChangeIndex, crashes } = host.state;
        const lacksChanges = is_watching === true
            ? crashes.lastReportedIndex > this.limitIndex(known_index)
            : lastChangeIndex !== known_index;
        return lacksChanges || limits.hasUpdates(limits_known);
    }

    /** A leader with a lease has applied all that is committed, so an entry that names more has another state. */
    private limitIndex(knownIndex: number): number {
        return knownIndex > this.options.host.state.lastChangeIndex ? 0 : knownIndex;
    }

    private recordEntry(
        {
            instance,
            loads,
            spending = {},
            known_index,
            applied_version,
            domain,
            links,
            demand,
            relay,
        }: SynchroniseParameters,
    ): KnownEntry {
        this.trackTerm();
        if (domain !== undefined) {
            this.options.links?.record(instance, domain, links ?? {});
        }
        if (demand !== undefined) {
            this.demand.record(instance, demand);
        }
        const known = this.entries.get(instance);
        // An entry that knows nothing has restarted, and its counters begin at 0.
        if (known !== undefined && known_index === 0 && Object.keys(known.spending).length > 0) {
            this.formerSpending.push({ lastSeenMs: known.lastSeenMs, spending: known.spending });
        }
        const notifiedMs = known?.notifiedMs ?? Number.NEGATIVE_INFINITY;
        const report = limitReport({ loads, spending });
        const entry: KnownEntry = {
            lastSeenMs: this.options.getNowMs(),
            knownIndex: this.limitIndex(known_index),
            notifiedMs,
            spending: report.spending,
            domain,
            relay,
        };
        this.entries.set(instance, entry);
        this.totals.record(instance, report, entry.lastSeenMs);
        this.options.rollout.recordApplied(instance, applied_version);
        return entry;
    }

    /**
     * The requests that entries sent are known only from the moment at which they began to report to this leader. Where
     * another voter has led since this one last did, older counts lack what entries sent in the meantime.
     */
    private trackTerm(): void {
        const { term } = this.options.host.replica.getStatus();
        if (term !== this.term) {
            this.term = term;
            this.leadingSinceMs = this.options.getNowMs();
            this.forgetEntries(LOAD_EXPIRY_MS);
            this.options.links?.reset();
        }
    }

    /** Delays the answer to the minimum notification interval, so that changes in the meantime are batched. */
    private async waitForNotifyInterval(entry: KnownEntry): Promise<void> {
        const { getNowMs } = this.options;
        const intervalMs = this.pacer.computeIntervalMs(this.entries.size);
        const remainingMs = entry.notifiedMs + intervalMs - getNowMs();
        if (remainingMs > 0) {
            await waitMs(remainingMs);
        }
        entry.notifiedMs = getNowMs();
    }

    private waitForUpdate(parameters: SynchroniseParameters): Promise<void> {
        const holdMs = Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, this.entries.size * HOLD_MS_PER_ENTRY));
        return new Promise((resolve) => {
            const poll = {
                parameters,
                wake: (): void => {
                    clearTimeout(timer);
                    resolve();
                },
            };
            const timer = setTimeout(() => {
                this.pendingPolls = this.pendingPolls.filter((other) => other !== poll);
                resolve();
            }, holdMs);
            this.pendingPolls.push(poll);
        });
    }

    private createState(parameters: SynchroniseParameters): SynchronisedState {
        const { host, rollout } = this.options;
        this.totals.expire(this.options.getNowMs());
        const { replicas, term, commitIndex } = host.replica.getStatus();
        const links = parameters.domain === undefined ? undefined : this.options.links?.list(parameters.domain);
        return {
            kind: "state",
            ...describeChanges(host.state, parameters.known_index),
            ...describeDocument(host.state, rollout, parameters.applied_version),
            confirmed_by: { term, commit_index: commitIndex },
            entries: this.countEntries(),
            loads_elsewhere: this.totals.sumOtherLoads(parameters.instance),
            spending_elsewhere: this.sumSpendingElsewhere(parameters.instance, parameters.spending ?? {}),
            spending_known_ms: this.options.getNowMs() - this.leadingSinceMs,
            suspects: [...this.options.listSuspects()],
            limits: this.options.limits.listUpdates(parameters.limits_known ?? NO_LIMITS),
            ...(links === undefined ? {} : { links }),
            ...(parameters.relay === undefined ? {} : { relays: [...this.chooseRelays(parameters)] }),
            // An entry of an older build would only discard it.
            ...(parameters.demand === undefined ? {} : { demand: this.demand.summarise() }),
            voters: [...replicas.voters, ...replicas.learners].map((replica) => replica.address),
        };
    }

    /** Entries start at different relays, so that the load of those that are cut off together is spread. */
    private chooseRelays({ instance, domain }: SynchroniseParameters): readonly string[] {
        const { candidates, positions } = this.listRelays();
        const own = candidates.get(instance);
        const others = [...candidates.values()].filter((one) => one !== own);
        return chooseRelays(others, domain, positions.get(instance) ?? 0);
    }

    private listRelays(): RelayList {
        const nowMs = this.options.getNowMs();
        if (this.relayList === undefined || nowMs - this.relayList.atMs >= RELAY_LIST_INTERVAL_MS) {
            const candidates = [...this.entries].flatMap(([instance, { relay, lastSeenMs, domain }]) =>
                relay?.is_available === true && nowMs - lastSeenMs <= ACTIVE_WINDOW_MS
                    ? [[instance, { address: relay.address, domain }] as const]
                    : []
            );
            this.relayList = {
                atMs: nowMs,
                candidates: new Map(candidates),
                positions: new Map([...this.entries.keys()].map((instance, position) => [instance, position])),
            };
        }
        return this.relayList;
    }

    /** Reports the newest committed document, so that entries need not wait for a slow leader to learn of it. */
    private createNotLeaderResult(parameters: SynchroniseParameters): SynchroniseResult {
        const { host, rollout } = this.options;
        const { leader } = host.replica.getStatus();
        return {
            kind: "not-leader",
            ...(leader === undefined || leader.id === host.self.id ? {} : { leader }),
            ...describeDocument(host.state, rollout, parameters.applied_version),
        };
    }

    /**
     * Lists the entries seen recently.
     * @returns names of the entries that contacted this leader within the last 1.5 s
     */
    listActiveEntries(): readonly string[] {
        const sinceMs = this.options.getNowMs() - ACTIVE_WINDOW_MS;
        return [...this.entries].filter(([, { lastSeenMs }]) => lastSeenMs >= sinceMs).map(([instance]) => instance);
    }

    /**
     * Checks whether all entries in contact have the state at a log index.
     * @param index - the log index
     * @returns false also for a new leader that some entries may not have contacted yet
     */
    haveApplied(index: number): boolean {
        const nowMs = this.options.getNowMs();
        const isKnown = nowMs - this.leadingSinceMs >= ACTIVE_WINDOW_MS;
        return isKnown
            && [...this.entries.values()].every((entry) =>
                entry.knownIndex >= index || nowMs - entry.lastSeenMs > ACTIVE_WINDOW_MS
            );
    }

    /**
     * Lists the entries whose state is older than a log index.
     * @param index - the log index
     * @returns for each entry, also one that has not been in contact for a while, its name and the index of its state
     */
    listBehind(index: number): readonly string[] {
        return [...this.entries].filter(([, { knownIndex }]) => knownIndex < index)
            .map(([instance, { knownIndex }]) => `${instance}:${String(knownIndex)}`);
    }

    /**
     * Counts the entries that share budgets.
     * @returns the number of entries that have not expired; at least 1
     */
    countEntries(): number {
        this.forgetEntries(ENTRY_EXPIRY_MS);
        return Math.max(1, this.entries.size);
    }

    private forgetEntries(expiryMs: number): void {
        const nowMs = this.options.getNowMs();
        for (const [instance, { lastSeenMs }] of this.entries) {
            if (nowMs - lastSeenMs > expiryMs) {
                this.entries.delete(instance);
                this.totals.remove(instance);
            }
        }
    }

    /** Includes entries that are gone or restarted: what they had sent counts until the budget window has passed. */
    private sumSpendingElsewhere(instance: string, own: RetryBudgetUsage): RetryBudgetUsage {
        const sinceMs = this.options.getNowMs() - ENTRY_EXPIRY_MS;
        this.formerSpending = this.formerSpending.filter(({ lastSeenMs }) => lastSeenMs > sinceMs);
        const { getNowMs, budgetWindowMs = Number.POSITIVE_INFINITY } = this.options;
        // To an entry of an older build, which reports none, lost retries count as sent. One that has sent nothing yet reports
        // no spending at all.
        const isLostKnown = Object.values(own).every(({ lost }) => lost !== undefined);
        const sums: RetryBudgetUsage = {};
        const add = (service: string, { requests, repeats, lost = 0 }: RetryBudgetUsage[string]): void => {
            const sum = sums[service];
            sums[service] = {
                requests: (sum?.requests ?? 0) + requests,
                repeats: (sum?.repeats ?? 0) + repeats + (isLostKnown ? 0 : lost),
                ...(isLostKnown ? { lost: (sum?.lost ?? 0) + lost } : {}),
            };
        };
        this.totals.sumOtherSpending(instance).forEach((usage, service) => {
            add(service, usage);
        });
        [...this.listSilentEntries(instance), ...this.formerSpending].forEach(({ spending, lastSeenMs }) => {
            Object.entries(spending).forEach(([service, reported]) => {
                add(service, decaySpending(reported, getNowMs() - lastSeenMs, budgetWindowMs));
            });
        });
        return sums;
    }

    /** Entries whose reports are too old for the totals. */
    private listSilentEntries(except: string): readonly KnownEntry[] {
        return this.entries.size === this.totals.size
            ? []
            : [...this.entries].filter(([instance]) => instance !== except && !this.totals.has(instance))
                .map(([, entry]) => entry);
    }
}
