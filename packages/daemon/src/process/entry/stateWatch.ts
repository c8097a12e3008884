/**
 * Watches the replicated state at a voter other than the leader, so that shutdowns, crashes and versions of the document reach this entry
 * although the leader is late.
 */
import { type WatchParameters, type WatchResult, watchResultSchema } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { EventLog } from "../eventLog.js";
import { ExponentialBackoffs } from "../exponentialBackoffs.js";
import { runLoop, startTask } from "../startTask.js";
import { waitMs } from "../waitMs.js";

/** Dependencies of {@link StateWatch}. */
export interface StateWatchOptions {
    readonly peers: Pick<PeerClient, "call">;
    readonly log: Pick<EventLog, "record">;
    readonly getNowMs: () => number;
    /** Peer addresses of all voters but the leader, as far as known. */
    readonly listFollowers: () => readonly string[];
    readonly createParameters: () => WatchParameters;
    /** Handles an answer; `sentMs` is when its request was sent, and `appliedVersion` the document applied here at that time. */
    readonly handleResult: (
        address: string,
        context: { readonly sentMs: number; readonly appliedVersion: number | undefined; },
        result: WatchResult,
    ) => void;
    /** Returns a number from 0 up to, but excluding, 1. */
    readonly random: () => number;
}

/** Longer than a voter holds a request. */
const REQUEST_TIMEOUT_MS = 1_000;
/**
 * Time-out of a first request to a voter, which it answers at once. With two voters that do not answer, a third one reports a
 * change within 2 s.
 */
const FIRST_TIMEOUT_MS = 400;
const RETRY_MS = 60;
/** Bounds of the delay while no voter is known, or after none has answered; it doubles. */
const MIN_UNREACHABLE_DELAY_MS = 500;
const MAX_UNREACHABLE_DELAY_MS = 2_000;
/** Bounds of the time after which voters that were stale are asked again, while all are; it doubles. */
const MIN_STALE_DELAY_MS = 1_000;
const MAX_STALE_DELAY_MS = 4_000;
/** Staleness from which on a voter may lack changes, and a fresher one is preferred; several heartbeats of a leader. */
const MAX_STALE_MS = 800;
/** Age of the last answer up to which the leader can rely on the watch; longer than a request takes. */
const ACTIVE_MS = 1_100;
/** All voters share one backoff. */
const ANY_VOTER = "";

/** Watches one voter at a time. */
export class StateWatch {
    private source: string | undefined;
    /** Whether the source has answered. */
    private isReached = false;
    private answeredMs = Number.NEGATIVE_INFINITY;
    private isStopped = false;
    /** Voters that have not answered since another one did. */
    private readonly unreachable = new Set<string>();
    /** Voters that were stale, and when all are asked again while no fresh one is reached. */
    private readonly stale = new Set<string>();
    private staleUntilMs = Number.POSITIVE_INFINITY;
    private readonly unreachableRounds = new ExponentialBackoffs(MIN_UNREACHABLE_DELAY_MS, MAX_UNREACHABLE_DELAY_MS);
    private readonly staleRounds = new ExponentialBackoffs(MIN_STALE_DELAY_MS, MAX_STALE_DELAY_MS);

    /**
     * @param options - voters and state handler
     */
    constructor(private readonly options: StateWatchOptions) {}

    /** Starts watching. */
    start(): void {
        startTask("state-watch", () => this.run());
    }

    /** Stops watching. */
    stop(): void {
        this.isStopped = true;
    }

    /** Whether a voter has reported the state a moment ago. */
    get isActive(): boolean {
        return this.options.getNowMs() - this.answeredMs <= ACTIVE_MS;
    }

    private async run(): Promise<void> {
        await runLoop("state-watch", () => !this.isStopped, async () => {
            const source = this.chooseSource();
            this.isReached &&= source === this.source;
            this.source = source;
            if (source === undefined) {
                this.unreachable.clear();
                await waitMs(this.unreachableRounds.recordFailure(ANY_VOTER));
            }
            else {
                await this.watchVoter(source);
            }
        });
    }

    /**
     * Keeps to a voter while it answers and is fresh; another one is chosen at random, which spreads the entries over them. While
     * all are stale, because a leader is late or missing, it keeps to one of them: what that has applied counts.
     */
    private chooseSource(): string | undefined {
        const { getNowMs, listFollowers, random } = this.options;
        if (getNowMs() >= this.staleUntilMs) {
            this.stale.clear();
            this.unreachable.clear();
            this.staleUntilMs = Number.POSITIVE_INFINITY;
        }
        const reachable = listFollowers().filter((address) => !this.unreachable.has(address));
        const fresh = reachable.filter((address) => !this.stale.has(address));
        if (fresh.length === 0 && reachable.length > 0 && !Number.isFinite(this.staleUntilMs)) {
            this.staleUntilMs = getNowMs() + this.staleRounds.recordFailure(ANY_VOTER);
        }
        const usable = fresh.length > 0 ? fresh : reachable;
        return this.source !== undefined && usable.includes(this.source)
            ? this.source
            : usable[Math.floor(random() * usable.length)];
    }

    private async watchVoter(address: string): Promise<void> {
        const { peers, getNowMs, createParameters, handleResult, log } = this.options;
        const parameters = createParameters();
        const context = { sentMs: getNowMs(), appliedVersion: parameters.applied_version };
        try {
            const raw = this.isReached
                ? await peers.call(address, "watch", parameters, REQUEST_TIMEOUT_MS)
                : await peers.call(address, "watch", { ...parameters, may_wait: false }, FIRST_TIMEOUT_MS);
            const result = watchResultSchema.parse(raw);
            this.isReached = true;
            this.answeredMs = getNowMs();
            this.unreachableRounds.clear(ANY_VOTER);
            handleResult(address, context, result);
            if (result.stale_ms > MAX_STALE_MS) {
                this.stale.add(address);
                return;
            }
            this.stale.clear();
            this.unreachable.clear();
            this.staleRounds.clear(ANY_VOTER);
            this.staleUntilMs = Number.POSITIVE_INFINITY;
        }
        catch (error) {
            this.unreachable.add(address);
            const reason = error instanceof Error ? error.message : String(error);
            log.record("info", "watch-failed", { peer: address, reason });
            await waitMs(RETRY_MS);
        }
    }
}
