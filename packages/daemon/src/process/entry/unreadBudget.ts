/**
 * Bounds the bytes that callers have not read yet, for each response and in sum over all responses of this entry. While
 * callers do not read, their upstreams are paused.
 */
import { chooseReadersToPause } from "@crankfork/decisions";
import type { ServerResponse } from "node:http";
import type { OpenExchange } from "../../connection/upstreamExchange.js";
import type { EventLog } from "../eventLog.js";

/** Dependencies of the budget. */
export interface UnreadBudgetOptions {
    /** Most unread bytes in sum. */
    readonly budgetBytes: number;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    /** Counts an upstream that is paused. */
    readonly countPause: () => void;
}

/** Unread bytes of one response above which its upstream pauses. */
const MAX_UNREAD_BYTES = 256 * 1_024;
/** Budget if the settings do not specify the memory. */
const DEFAULT_BUDGET_BYTES = 16_000_000;
const BUDGET_SHARE = 0.1;
const BYTES_PER_MB = 1_000_000;
/** Above this share of the unread bytes an organisation gets no further requests while the budget is exceeded. */
const REFUSED_SHARE = 0.5;
const LOG_INTERVAL_MS = 1_000;
/** Time after its last pause in which a caller is still reading what was sent before. */
const CATCH_UP_MS = 1_000;

/**
 * Computes the budget.
 * @param memoryMb - memory of the instance, in MB, if known
 * @returns bytes
 */
export function computeBudgetBytes(memoryMb: number | undefined): number {
    return memoryMb === undefined ? DEFAULT_BUDGET_BYTES : memoryMb * BYTES_PER_MB * BUDGET_SHARE;
}

/** The unread bytes of all responses. */
export class UnreadBudget {
    private readonly responses = new Set<UnreadResponse>();
    /** Sum of the bytes at the last write of each response; never below the present sum by more than one write. */
    private sumBytes = 0;
    private pausesSinceLog = 0;
    private loggedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - budget, clock and log
     */
    constructor(readonly options: UnreadBudgetOptions) {}

    /** Present number of unread bytes. */
    get unreadBytes(): number {
        this.refresh();
        return this.sumBytes;
    }

    /**
     * Counts a response until it closes.
     * @param response - the response
     * @param organisation - name of the caller's organisation, empty for anonymous callers
     * @returns its unread bytes
     */
    open(response: ServerResponse, organisation: string): UnreadResponse {
        const opened = new UnreadResponse(response, organisation, this);
        this.responses.add(opened);
        response.once("close", () => {
            this.responses.delete(opened);
            this.sumBytes -= opened.unreadBytes;
        });
        return opened;
    }

    /**
     * Checks whether requests of an organisation are refused.
     * @param organisation - its name
     * @returns true while the budget is exceeded and the organisation holds more than half of the unread bytes
     */
    isRefused(organisation: string): boolean {
        const { budgetBytes } = this.options;
        if (this.sumBytes <= budgetBytes || this.unreadBytes <= budgetBytes) {
            return false;
        }
        const own = [...this.responses].filter((one) => one.organisation === organisation);
        return own.reduce((sum, one) => sum + one.unreadBytes, 0) > this.sumBytes * REFUSED_SHARE;
    }

    /**
     * Records a change of a response's unread bytes; called for each event, so it only compares within the budget.
     * @param changeBytes - the change
     */
    recordChange(changeBytes: number): void {
        this.sumBytes += changeBytes;
        const { budgetBytes } = this.options;
        if (this.sumBytes > budgetBytes && this.unreadBytes > budgetBytes) {
            chooseReadersToPause([...this.responses], budgetBytes).forEach((one) => {
                one.pause();
                this.pausesSinceLog += 1;
            });
            this.logPauses();
        }
    }

    /** Responses shrink without notice, so the sum may be too large until they are asked. */
    private refresh(): void {
        this.sumBytes = 0;
        this.responses.forEach((one) => {
            this.sumBytes += one.refresh();
        });
    }

    private logPauses(): void {
        const { budgetBytes, getNowMs, log } = this.options;
        if (this.pausesSinceLog === 0 || getNowMs() - this.loggedMs < LOG_INTERVAL_MS) {
            return;
        }
        const byOrganisation = new Map<string, number>();
        this.responses.forEach(({ organisation, unreadBytes }) => {
            byOrganisation.set(organisation, (byOrganisation.get(organisation) ?? 0) + unreadBytes);
        });
        const [largest] = [...byOrganisation].sort(([, one], [, other]) => other - one);
        log.record("warn", "readers-paused", {
            readers: this.pausesSinceLog,
            unread_bytes: this.sumBytes,
            budget_bytes: budgetBytes,
            organisation: largest?.[0],
            organisation_bytes: largest?.[1],
        });
        this.loggedMs = getNowMs();
        this.pausesSinceLog = 0;
    }
}

/** The unread bytes of one response. */
export class UnreadResponse {
    /** Unread bytes when last asked. */
    unreadBytes = 0;
    /** Whether its upstream is paused. */
    isPaused = false;
    /** Called when its upstream pauses (true) and resumes (false). */
    handlePause: ((isPaused: boolean) => void) | undefined;
    private exchange: OpenExchange | undefined;
    private behindSinceMs = Number.NEGATIVE_INFINITY;
    private resumedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param response - the response
     * @param organisation - name of the caller's organisation
     * @param budget - the budget of all responses
     */
    constructor(
        private readonly response: ServerResponse,
        readonly organisation: string,
        private readonly budget: UnreadBudget,
    ) {}

    /** How long the caller has not kept up, in milliseconds, from a pause on; 0 once it has caught up. */
    get behindMs(): number {
        const nowMs = this.budget.options.getNowMs();
        if (this.isPaused) {
            return nowMs - this.behindSinceMs;
        }
        return nowMs - this.resumedMs < CATCH_UP_MS ? this.resumedMs - this.behindSinceMs : 0;
    }

    /** Whether the caller does not keep up, so that Node emits `drain` once it has read, and the upstream still sends. */
    get isPausable(): boolean {
        return !this.isPaused && this.exchange !== undefined && this.response.writableNeedDrain;
    }

    /**
     * Reads the present number of unread bytes.
     * @returns bytes
     */
    refresh(): number {
        this.unreadBytes = this.response.writableLength;
        return this.unreadBytes;
    }

    /**
     * Records that bytes were written.
     * @param exchange - the exchange that delivers more of them; undefined where the response is complete
     */
    recordWrite(exchange: OpenExchange | undefined): void {
        if (this.isPaused && exchange !== this.exchange) {
            exchange?.pause();
        }
        this.exchange = exchange;
        if (this.response.destroyed) {
            return;
        }
        const beforeBytes = this.unreadBytes;
        this.budget.recordChange(this.refresh() - beforeBytes);
        if (this.unreadBytes > MAX_UNREAD_BYTES) {
            this.pause();
        }
    }

    /** Pauses the upstream until the caller has read. */
    pause(): void {
        if (!this.isPausable) {
            return;
        }
        const { countPause, getNowMs } = this.budget.options;
        if (this.behindMs === 0) {
            this.behindSinceMs = getNowMs();
        }
        this.isPaused = true;
        countPause();
        this.exchange?.pause();
        this.handlePause?.(true);
        this.response.once("drain", () => {
            this.resumedMs = getNowMs();
            this.isPaused = false;
            this.handlePause?.(false);
            this.exchange?.resume();
        });
    }
}
