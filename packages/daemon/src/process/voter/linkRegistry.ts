/**
 * Sums the entries' reports on their streams by pairs of failure domains and detects the pairs whose links lose packets.
 * The state is that of one leader's term; reports are rates, so that a lost or repeated one changes nothing.
 */
import {
    computeInsideShare,
    computeLateShare,
    fleetLinkEvidence,
    type LinkLoss,
    type LinkRates,
    type LinkView,
    updateLinkLoss,
} from "@crankfork/decisions";
import type { LinkReport, LossyLink } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";

/** Dependencies of the registry. */
export interface LinkRegistryOptions {
    readonly getNowMs: () => number;
    readonly log: Pick<EventLog, "record">;
    readonly metrics: Pick<FleetMetrics, "recordLossyLinks">;
}

/** Age from which a report no longer counts; entries report every 0.2 to 0.6 s. */
const REPORT_EXPIRY_MS = 1_500;
/** Minimum time between two evaluations. */
const EVALUATION_INTERVAL_MS = 100;
/** Longest time in which each entry reports once; before, the sums lack entries and are not answered. */
const FIRST_ROUND_MS = 1_200;
/**
 * Highest rate that one entry can report for a domain. An event costs an entry some 0.2 ms, so that one with a core
 * reads 5,000 a second.
 */
const MAX_EVENTS_PER_S = 5_000;
/** Domains that are known at once, which bounds the pairs; there are 3 in the largest deployments. */
const MAX_DOMAINS = 32;
/** Pairs in an answer. */
const MAX_PAIRS = 32;
/** Below this rate an entry counts as having seen no late events. */
const MIN_GAPS_PER_S = 0.05;
/** Entries from which on the one with the most late events is left out of the sums inside domains. */
const MIN_INSIDE_REPORTERS = 3;

interface EntryReport {
    readonly domain: string;
    readonly receivedMs: number;
    readonly rates: ReadonlyMap<string, LinkRates>;
}

/** Sum over the entries of a domain. */
interface PairSum {
    eventsPerS: number;
    gapsPerS: number;
    reporters: number;
    /** The entry that saw the most late events. */
    largest: LinkRates;
    entries: number;
}

interface LossyPair {
    readonly from: string;
    readonly to: string;
    readonly loss: LinkLoss;
    readonly view: LinkView;
}

/** Detects links that lose packets. */
export class LinkRegistry {
    private readonly reports = new Map<string, EntryReport>();
    private pairs = new Map<string, LossyPair>();
    private evaluatedMs = Number.NEGATIVE_INFINITY;
    private resetMs: number;

    /**
     * @param options - clock, log and metrics
     */
    constructor(private readonly options: LinkRegistryOptions) {
        this.resetMs = options.getNowMs();
    }

    /**
     * Records the report of an entry; it replaces the one before.
     * @param instance - the entry
     * @param domain - its failure domain
     * @param report - rates by the domain of engines
     */
    record(instance: string, domain: string, report: LinkReport): void {
        const rates = Object.entries(report).map(([to, one]): [string, LinkRates] => [to, clampRates(one)]);
        this.reports.set(instance, { domain, receivedMs: this.options.getNowMs(), rates: new Map(rates) });
    }

    /**
     * Lists the pairs of domains whose links lose packets.
     * @param domain - the domain of the entry that asks; its own pairs come first
     * @returns at most 32 pairs; undefined until each entry can have reported, so that entries keep their own view
     */
    list(domain: string): LossyLink[] | undefined {
        this.update();
        const nowMs = this.options.getNowMs();
        if (nowMs - this.resetMs < FIRST_ROUND_MS) {
            return undefined;
        }
        const pairs = [...this.pairs.values()].sort((left, right) =>
            Number(right.from === domain) - Number(left.from === domain)
        );
        return pairs.slice(0, MAX_PAIRS).map(({ from, to, loss, view }) => ({
            from,
            to,
            late_share: roundShare(view),
            age_ms: Math.round(nowMs - loss.beganMs),
        }));
    }

    /** Evaluates the reports, at most once in 100 ms. */
    update(): void {
        const nowMs = this.options.getNowMs();
        if (nowMs - this.evaluatedMs < EVALUATION_INTERVAL_MS) {
            return;
        }
        this.evaluatedMs = nowMs;
        for (const [instance, { receivedMs }] of this.reports) {
            if (nowMs - receivedMs > REPORT_EXPIRY_MS) {
                this.reports.delete(instance);
            }
        }
        this.evaluate(sumReports([...this.reports.values()]), nowMs);
    }

    /** Forgets everything; another term has begun, or this voter does not lead. */
    reset(): void {
        this.reports.clear();
        this.pairs.clear();
        this.resetMs = this.options.getNowMs();
        this.options.metrics.recordLossyLinks(0);
    }

    private evaluate(sums: ReadonlyMap<string, ReadonlyMap<string, PairSum>>, nowMs: number): void {
        const insides = [...sums].flatMap(([domain, byDomain]) => {
            const inside = byDomain.get(domain);
            return inside === undefined ? [] : [inside];
        });
        const allInside = insides.map(omitLargestInside).reduce(addRates, NO_EVENTS);
        const getInside = (domain: string): LinkRates => {
            const inside = sums.get(domain)?.get(domain);
            return inside === undefined ? NO_EVENTS : omitLargestInside(inside);
        };
        const previous = this.pairs;
        this.pairs = new Map();
        for (const [key, { from, to, loss, view }] of previous) {
            // A pair without reports is still evaluated, so that it ends after a while.
            if (sums.get(from)?.get(to) === undefined) {
                this.applyUpdate(key, from, to, loss, { ...view, eventsPerS: 0, gapsPerS: 0 }, nowMs);
            }
        }
        for (const [from, byDomain] of sums) {
            for (const [to, sum] of byDomain) {
                if (from !== to) {
                    const insideShare = computeInsideShare([allInside, getInside(from), getInside(to)]);
                    const key = JSON.stringify([from, to]);
                    const view = createView(sum, insideShare);
                    this.applyUpdate(key, from, to, previous.get(key)?.loss, view, nowMs);
                }
            }
        }
        this.options.metrics.recordLossyLinks(this.pairs.size);
    }

    private applyUpdate(
        key: string,
        from: string,
        to: string,
        previous: LinkLoss | undefined,
        view: LinkView,
        nowMs: number,
    ): void {
        const loss = updateLinkLoss(previous, view, fleetLinkEvidence, nowMs);
        if (loss !== undefined) {
            this.pairs.set(key, { from, to, loss, view });
        }
        if ((loss === undefined) !== (previous === undefined)) {
            this.options.log.record(loss === undefined ? "info" : "warn", "link-loss", {
                change: loss === undefined ? "ended" : "begun",
                from,
                to,
                late_share: roundShare(view),
                inside_share: Math.round(view.insideShare * SHARE_SCALE) / SHARE_SCALE,
                events_per_s: Math.round(view.eventsPerS),
                late_per_s: Math.round(view.gapsPerS),
                entries: view.reporters,
                ms: previous === undefined ? undefined : Math.round(nowMs - previous.beganMs),
            });
        }
    }
}

const NO_EVENTS: LinkRates = { eventsPerS: 0, gapsPerS: 0 };
const SHARE_SCALE = 10_000;

function roundShare(rates: LinkRates): number {
    return Math.round(computeLateShare(rates) * SHARE_SCALE) / SHARE_SCALE;
}

/** Lowers both rates by the same factor, so that their share stays. */
function clampRates({ events_per_s, gaps_per_s }: LinkReport[string]): LinkRates {
    const factor = Math.min(1, MAX_EVENTS_PER_S / Math.max(events_per_s, 1));
    return { eventsPerS: events_per_s * factor, gapsPerS: Math.min(gaps_per_s, events_per_s) * factor };
}

function sumReports(reports: readonly EntryReport[]): Map<string, Map<string, PairSum>> {
    const domains = new Set([...new Set(reports.map(({ domain }) => domain))].slice(0, MAX_DOMAINS));
    const sums = new Map<string, Map<string, PairSum>>();
    for (const { domain, rates } of reports) {
        if (domains.has(domain)) {
            let byDomain = sums.get(domain);
            if (byDomain === undefined) {
                byDomain = new Map();
                sums.set(domain, byDomain);
            }
            addReport(byDomain, rates);
        }
    }
    return sums;
}

function addReport(byDomain: Map<string, PairSum>, rates: ReadonlyMap<string, LinkRates>): void {
    for (const [to, one] of rates) {
        let sum = byDomain.get(to);
        if (sum === undefined && byDomain.size < MAX_DOMAINS) {
            sum = { eventsPerS: 0, gapsPerS: 0, reporters: 0, largest: NO_EVENTS, entries: 0 };
            byDomain.set(to, sum);
        }
        if (sum !== undefined) {
            sum.eventsPerS += one.eventsPerS;
            sum.gapsPerS += one.gapsPerS;
            sum.reporters += one.gapsPerS >= MIN_GAPS_PER_S ? 1 : 0;
            sum.entries += 1;
            sum.largest = one.gapsPerS > sum.largest.gapsPerS ? one : sum.largest;
        }
    }
}

function addRates(left: LinkRates, right: LinkRates): LinkRates {
    return { eventsPerS: left.eventsPerS + right.eventsPerS, gapsPerS: left.gapsPerS + right.gapsPerS };
}

function omitLargest({ eventsPerS, gapsPerS, largest }: PairSum): LinkRates {
    return {
        eventsPerS: Math.max(0, eventsPerS - largest.eventsPerS),
        gapsPerS: Math.max(0, gapsPerS - largest.gapsPerS),
    };
}

/** One entry with wrong counts must not hide a loss; in a small fleet each entry's counts are needed. */
function omitLargestInside(sum: PairSum): LinkRates {
    return sum.entries >= MIN_INSIDE_REPORTERS ? omitLargest(sum) : sum;
}

function createView(sum: PairSum, insideShare: number): LinkView {
    const { eventsPerS, gapsPerS, reporters } = sum;
    return { eventsPerS, gapsPerS, reporters, withoutLargest: omitLargest(sum), insideShare };
}
