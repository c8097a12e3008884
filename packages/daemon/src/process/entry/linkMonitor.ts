/**
 * Counts the events of the streams that this entry reads, by the failure domain of the path's first engine, and those
 * that came late as after a lost packet. Holds the domains to which this entry's links lose packets: as last reported by
 * the leader and, without a recent report, as updated by its own counts.
 */
import {
    computeInsideShare,
    createLinkLoss,
    entryLinkEvidence,
    type LinkLoss,
    type LinkRates,
    updateLinkLoss,
} from "@crankfork/decisions";
import type { LinkReport, LossyLink } from "@crankfork/schemas";
import type { StreamTracker } from "./pathStallDetector.js";

/** Dependencies of the monitor. */
export interface LinkMonitorOptions {
    /** Failure domain of this entry. */
    readonly domain: string;
    readonly getNowMs: () => number;
}

/**
 * Gap after which an event counts as late. A lost packet is sent again after 200 ms or more (RFC 6298); 10 ms are for
 * events that are passed on faster than the one before.
 */
const LATE_MS = 190;
/** Longer gaps come from engines that are down or streams that were paused. */
const MAX_LATE_MS = 1_000;
/** A path with gaps of this length is slow by itself; its late events show nothing about links. */
const SLOW_GAP_MS = 120;
/** A path with fewer usual gaps than this for each late one is slow by itself, too; a lossy link has some 20. */
const USUAL_GAPS_PER_LATE = 3;
const KEPT_GAPS = 64;
/** Half-life of the estimate of a path's longest gap. */
const GAP_HALF_LIFE_MS = 2_000;
/** Late events of one path that come together have one cause: a silent engine stops all its streams at once. */
const SAME_CAUSE_MS = 50;
/** A pause of this process of this length turns a usual gap of 90 ms into a late one. */
const PROCESS_PAUSE_MS = 100;
/** How long the gaps of a path without streams are kept. */
const PATH_EXPIRY_MS = 10_000;
/** Time constant of the rates. */
const RATE_TIME_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Longer than the interval between answers of a leader. */
const ANSWER_VALIDITY_MS = 1_500;
/** Minimum time between two evaluations of this entry's own counts. */
const EVALUATION_INTERVAL_MS = 100;
/** Lowest rate that is reported; what is left of an average without events for some seconds. */
const MIN_REPORTED_EVENTS_PER_S = 0.1;
/** Domains in a report; a leader ignores a report with more. */
const MAX_DOMAINS = 32;

interface DomainRates {
    /** Since the rates were updated. */
    events: number;
    gaps: number;
    eventsPerS: number;
    gapsPerS: number;
}

interface LinkPath {
    /** Until when its longest recent gap is at least {@link SLOW_GAP_MS}. */
    slowUntilMs: number;
    /** Recent gaps below {@link SLOW_GAP_MS}, and recent late ones; both are halved from time to time. */
    usualGaps: number;
    lateGaps: number;
    lastLateMs: number;
    streams: number;
    closedMs: number;
}

/** Counts events and late events. */
export class LinkMonitor {
    private readonly domains = new Map<string, DomainRates>();
    private readonly paths = new Map<string, LinkPath>();
    private losses = new Map<string, LinkLoss>();
    private answeredMs = Number.NEGATIVE_INFINITY;
    private updatedMs: number;
    private pausedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - domain and clock
     */
    constructor(private readonly options: LinkMonitorOptions) {
        this.updatedMs = options.getNowMs();
    }

    /**
     * Follows a stream.
     * @param path - key of its path
     * @param domain - failure domain of the path's first engine
     * @returns receives the events of the stream
     */
    follow(path: string, domain: string): StreamTracker {
        const { getNowMs } = this.options;
        const rates = this.getRates(domain);
        const linkPath = this.getPath(path);
        linkPath.streams += 1;
        let lastMs: number | undefined;
        let isOpen = true;
        return {
            recordEvent: () => {
                const nowMs = getNowMs();
                rates.events += 1;
                if (lastMs !== undefined) {
                    const gapMs = nowMs - lastMs;
                    if (gapMs < SLOW_GAP_MS) {
                        linkPath.usualGaps += 1;
                    }
                    else if (this.pausedMs < lastMs) {
                        recordLongGap(linkPath, rates, gapMs, nowMs);
                    }
                }
                lastMs = nowMs;
            },
            close: () => {
                linkPath.streams -= isOpen ? 1 : 0;
                linkPath.closedMs = getNowMs();
                isOpen = false;
            },
        };
    }

    /**
     * Records that this process did not run for a while: events that arrived in the meantime are not late.
     * @param durationMs - for how long
     */
    recordProcessPause(durationMs: number): void {
        if (durationMs >= PROCESS_PAUSE_MS) {
            this.pausedMs = this.options.getNowMs();
        }
    }

    /**
     * Creates the report that goes to the leader.
     * @returns rates by domain; only domains with events
     */
    createReport(): LinkReport {
        this.updateRates();
        const entries = [...this.domains].filter(([, { eventsPerS }]) => eventsPerS >= MIN_REPORTED_EVENTS_PER_S);
        return Object.fromEntries(
            entries.slice(0, MAX_DOMAINS).map(([domain, { eventsPerS, gapsPerS }]) => [domain, {
                events_per_s: Math.round(eventsPerS * 10) / 10,
                gaps_per_s: Math.round(gapsPerS * 100) / 100,
            }]),
        );
    }

    /**
     * Records the answer of a leader.
     * @param links - pairs of domains that lose packets; undefined where its build has none, or it
     * leads only since a moment ago and lacks reports
     */
    recordAnswer(links: readonly LossyLink[] | undefined): void {
        if (links !== undefined) {
            const nowMs = this.options.getNowMs();
            this.answeredMs = nowMs;
            const own = links.filter(({ from, to }) => from === this.options.domain && to !== from);
            this.losses = new Map(own.map(({ to, age_ms }) => [to, createLinkLoss(nowMs - age_ms, nowMs)]));
        }
    }

    /**
     * Checks whether the links of this entry to a domain lose packets now.
     * @param domain - the domain of an engine
     * @returns what the leader says; where no leader said anything for 1.5 s, its last answer as updated by this
     * entry's own counts
     */
    isLossy(domain: string): boolean {
        const nowMs = this.options.getNowMs();
        if (!this.hasValidAnswer(nowMs) && nowMs - this.updatedMs >= EVALUATION_INTERVAL_MS) {
            this.updateRates();
        }
        return this.losses.has(domain);
    }

    private hasValidAnswer(nowMs: number): boolean {
        return nowMs - this.answeredMs <= ANSWER_VALIDITY_MS;
    }

    /** Events are only counted when they come; the averages are computed from the counts here. */
    private updateRates(): void {
        const nowMs = this.options.getNowMs();
        const elapsedMs = nowMs - this.updatedMs;
        if (elapsedMs <= 0) {
            return;
        }
        this.updatedMs = nowMs;
        const kept = Math.exp(-elapsedMs / RATE_TIME_MS);
        const added = (1 - kept) * MS_PER_SECOND / elapsedMs;
        for (const rates of this.domains.values()) {
            rates.eventsPerS = rates.eventsPerS * kept + rates.events * added;
            rates.gapsPerS = rates.gapsPerS * kept + rates.gaps * added;
            rates.events = 0;
            rates.gaps = 0;
        }
        for (const [key, path] of this.paths) {
            if (path.streams === 0 && nowMs - path.closedMs > PATH_EXPIRY_MS) {
                this.paths.delete(key);
            }
        }
        if (!this.hasValidAnswer(nowMs)) {
            this.updateLosses(nowMs);
        }
    }

    private updateLosses(nowMs: number): void {
        const inside = this.domains.get(this.options.domain) ?? NO_EVENTS;
        const insideShare = computeInsideShare([inside]);
        for (const domain of new Set([...this.domains.keys(), ...this.losses.keys()])) {
            if (domain !== this.options.domain) {
                const { eventsPerS, gapsPerS } = this.domains.get(domain) ?? NO_EVENTS;
                const rates: LinkRates = { eventsPerS, gapsPerS };
                const view = { ...rates, reporters: 1, withoutLargest: rates, insideShare };
                const loss = updateLinkLoss(this.losses.get(domain), view, entryLinkEvidence, nowMs);
                if (loss === undefined) {
                    this.losses.delete(domain);
                }
                else {
                    this.losses.set(domain, loss);
                }
            }
        }
    }

    private getRates(domain: string): DomainRates {
        let rates = this.domains.get(domain);
        if (rates === undefined) {
            rates = { events: 0, gaps: 0, eventsPerS: 0, gapsPerS: 0 };
            this.domains.set(domain, rates);
        }
        return rates;
    }

    private getPath(key: string): LinkPath {
        let path = this.paths.get(key);
        if (path === undefined) {
            path = {
                slowUntilMs: Number.NEGATIVE_INFINITY,
                usualGaps: 0,
                lateGaps: 0,
                lastLateMs: Number.NEGATIVE_INFINITY,
                streams: 0,
                closedMs: 0,
            };
            this.paths.set(key, path);
        }
        return path;
    }
}

const NO_EVENTS: LinkRates = { eventsPerS: 0, gapsPerS: 0 };

function recordLongGap(path: LinkPath, rates: DomainRates, gapMs: number, nowMs: number): void {
    if (gapMs < LATE_MS) {
        // From then on the estimate of the longest gap is below the limit.
        path.slowUntilMs = Math.max(path.slowUntilMs, nowMs + GAP_HALF_LIFE_MS * Math.log2(gapMs / SLOW_GAP_MS));
    }
    else if (gapMs <= MAX_LATE_MS) {
        if (path.usualGaps > KEPT_GAPS) {
            path.usualGaps /= 2;
            path.lateGaps /= 2;
        }
        const isUnusual = path.usualGaps > path.lateGaps * USUAL_GAPS_PER_LATE && path.slowUntilMs <= nowMs;
        path.lateGaps += 1;
        if (isUnusual && nowMs - path.lastLateMs > SAME_CAUSE_MS) {
            rates.gaps += 1;
        }
        path.lastLateMs = nowMs;
    }
}
