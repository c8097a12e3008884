/**
 * Records from which upstreams this entry receives bytes over its own connections. Shows whether one upstream is silent or
 * all of them are.
 */
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";

/** Dependencies of {@link UpstreamContact}. */
export interface UpstreamContactOptions {
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "recordUpstreamContact">;
}

/** Receives what happens in one exchange with an upstream. */
export interface ExchangeTracker {
    /** Bytes were received. */
    readonly recordBytes: () => void;
    /** The exchange is over; `isFailed` if the connection failed or broke. */
    readonly end: (isFailed: boolean) => void;
}

interface OpenExchange {
    readonly upstream: string;
    lastMs: number;
}

const REPORT_INTERVAL_MS = 1_000;

/** Tracks exchanges with upstreams. */
export class UpstreamContact {
    private readonly open = new Set<OpenExchange>();
    /** Upstreams that sent bytes, and those that failed an exchange, since the last report. */
    private readonly answering = new Set<string>();
    private readonly failing = new Set<string>();
    private lastBytesMs = Number.NEGATIVE_INFINITY;
    private isLost = false;
    private lostSinceMs = 0;

    /**
     * @param options - clock, log and metrics
     */
    constructor(private readonly options: UpstreamContactOptions) {}

    /**
     * Starts the periodic report.
     * @returns stops it
     */
    start(): StopPeriodicTask {
        return startPeriodicTask("upstream-contact", REPORT_INTERVAL_MS, () => {
            this.report();
        });
    }

    /**
     * Starts to track an exchange.
     * @param upstream - the upstream
     * @returns receives its progress
     */
    trackExchange(upstream: string): ExchangeTracker {
        const exchange: OpenExchange = { upstream, lastMs: this.options.getNowMs() };
        this.open.add(exchange);
        return {
            recordBytes: () => {
                exchange.lastMs = this.options.getNowMs();
                this.lastBytesMs = exchange.lastMs;
                this.answering.add(upstream);
            },
            end: (isFailed) => {
                this.open.delete(exchange);
                if (isFailed) {
                    this.failing.add(upstream);
                }
            },
        };
    }

    /** Time since an upstream last sent a byte, in milliseconds. */
    get sinceBytesMs(): number {
        return this.options.getNowMs() - this.lastBytesMs;
    }

    /**
     * Time for which exchanges have been open and no upstream has sent a byte, in milliseconds; 0 without open exchanges.
     */
    get silentMs(): number {
        const nowMs = this.options.getNowMs();
        const oldestMs = [...this.open].reduce((oldest, { lastMs }) => Math.min(oldest, lastMs), nowMs);
        return nowMs - Math.max(oldestMs, this.lastBytesMs);
    }

    private report(): void {
        const nowMs = this.options.getNowMs();
        const silent = [...this.open].filter(({ lastMs }) => nowMs - lastMs >= REPORT_INTERVAL_MS);
        const unanswered = new Set([...this.failing, ...silent.map(({ upstream }) => upstream)]);
        this.answering.forEach((upstream) => unanswered.delete(upstream));
        const counts = { answering: this.answering.size, unanswered: unanswered.size };
        this.answering.clear();
        this.failing.clear();
        this.options.metrics.recordUpstreamContact(counts);
        const isLost = counts.answering === 0 && counts.unanswered > 0;
        // A second without any exchange shows nothing.
        if (isLost === this.isLost || counts.answering + counts.unanswered === 0) {
            return;
        }
        this.isLost = isLost;
        if (isLost) {
            this.lostSinceMs = nowMs;
            this.options.log.record("warn", "upstream-contact", { change: "lost", ...counts, open: this.open.size });
        }
        else {
            const forMs = Math.round(nowMs - this.lostSinceMs);
            this.options.log.record("info", "upstream-contact", { change: "regained", ...counts, ms: forMs });
        }
    }
}
