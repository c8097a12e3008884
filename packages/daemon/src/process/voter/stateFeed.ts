/**
 * Reports changes of the replicated state to entries that watch it at this voter. What a voter has applied is committed, so entries
 * learn of it from followers as well, whether or not the leader has time to answer them. Leases are renewed by the leader alone.
 */
import type { StateChanges, WatchParameters, WatchResult } from "@crankfork/schemas";
import { waitMs } from "../waitMs.js";
import { describeChanges, describeDocument } from "./describeState.js";
import type { DocumentRollout } from "./documentRollout.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import { NotificationPacer } from "./notificationPacer.js";

/** Dependencies of {@link StateFeed}. */
export interface StateFeedOptions {
    readonly host: FleetReplicaHost;
    readonly getNowMs: () => number;
    /** Rollout state of the newest document. */
    readonly rollout: Pick<DocumentRollout, "ageMs" | "getBehindMs">;
    /** Share of the time since the last call for which the event loop was busy, 0 to 1. */
    readonly takeLoopUse: () => number;
}

/** Shorter than the time for which an entry waits for an answer. */
const MAX_HOLD_MS = 600;
/** Minimum interval between two answers with changes to an entry, which batches changes that follow each other. */
const MIN_INTERVAL_MS = 50;
/** Time after which an entry that watches this voter no longer counts. */
const WATCHER_EXPIRY_MS = 3_000;
/** Upper bound of the reported staleness, which is infinite before a leader was heard. */
const MAX_STALE_MS = 1_000_000;

interface Watcher {
    seenMs: number;
    /** When the entry was last sent a change. */
    notifiedMs: number;
}

/** Answers entries that watch the state. */
export class StateFeed {
    private readonly watchers = new Map<string, Watcher>();
    private readonly pacer: NotificationPacer;
    private pending: { readonly knownIndex: number; readonly wake: () => void; }[] = [];

    /**
     * @param options - replica and clock
     */
    constructor(private readonly options: StateFeedOptions) {
        this.pacer = new NotificationPacer(options);
    }

    /** Answers the entries that lack a change; call it after each change of the state. */
    handleStateChange(): void {
        const { lastChangeIndex } = this.options.host.state;
        const due = this.pending.filter(({ knownIndex }) => knownIndex < lastChangeIndex);
        this.pending = this.pending.filter(({ knownIndex }) => knownIndex >= lastChangeIndex);
        due.forEach(({ wake }) => {
            wake();
        });
    }

    /**
     * Answers an entry once this voter has applied changes that the entry lacks, and after {@link MAX_HOLD_MS} at the latest.
     * @param parameters - what the entry has
     * @returns the changes; none if this voter has applied less than the entry knows
     */
    async watch(parameters: WatchParameters): Promise<WatchResult> {
        const watcher = this.recordWatcher(parameters.instance);
        if (parameters.may_wait !== false && !this.hasChanges(parameters)) {
            await this.waitForChange(parameters.known_index);
        }
        if (this.hasChanges(parameters)) {
            await this.waitForInterval(watcher);
        }
        return this.createResult(parameters);
    }

    private hasChanges({ known_index }: WatchParameters): boolean {
        return known_index < this.options.host.state.lastChangeIndex;
    }

    private recordWatcher(instance: string): Watcher {
        const nowMs = this.options.getNowMs();
        const watcher = this.watchers.get(instance) ?? { seenMs: nowMs, notifiedMs: Number.NEGATIVE_INFINITY };
        watcher.seenMs = nowMs;
        // Moves the entry to the end, so that the first ones are those seen longest ago.
        this.watchers.delete(instance);
        this.watchers.set(instance, watcher);
        for (const [other, { seenMs }] of this.watchers) {
            if (nowMs - seenMs <= WATCHER_EXPIRY_MS) {
                break;
            }
            this.watchers.delete(other);
        }
        return watcher;
    }

    private waitForChange(knownIndex: number): Promise<void> {
        return new Promise((resolve) => {
            const wake = (): void => {
                clearTimeout(timer);
                resolve();
            };
            const one = { knownIndex, wake };
            const timer = setTimeout(() => {
                this.pending = this.pending.filter((other) => other !== one);
                resolve();
            }, MAX_HOLD_MS);
            this.pending.push(one);
        });
    }

    private async waitForInterval(watcher: Watcher): Promise<void> {
        const { getNowMs } = this.options;
        const intervalMs = Math.max(MIN_INTERVAL_MS, this.pacer.computeIntervalMs(this.watchers.size));
        const remainingMs = watcher.notifiedMs + intervalMs - getNowMs();
        if (remainingMs > 0) {
            await waitMs(remainingMs);
        }
        watcher.notifiedMs = getNowMs();
    }

    private createResult({ known_index, applied_version }: WatchParameters): WatchResult {
        const { host: { state, replica }, rollout } = this.options;
        const hasChanges = known_index < state.lastChangeIndex;
        return {
            ...(hasChanges ? describeChanges(state, known_index) : createNoChanges(state.lastChangeIndex)),
            ...describeDocument(state, rollout, applied_version),
            stale_ms: Math.min(MAX_STALE_MS, Math.max(0, replica.getStalenessMs())),
        };
    }
}

/** Also for an entry that knows more than this voter has applied. */
function createNoChanges(index: number): StateChanges {
    return { index, is_whole: false, upstreams: [], removed: [] };
}
