/**
 * Demand over all entries, as last summed by the leader. Without a recent sum, the demand at this entry times the number
 * of entries stands in for it, since callers are spread evenly over the entries.
 */
import { type ClassDemand, classDemandSchema, type DemandSummary } from "@crankfork/schemas";

/** Demand of one class over all entries. */
export interface FleetClassDemand {
    readonly arrivalsPerS: number;
    /** Average of `arrivalsPerS` with a time constant of 10 s. */
    readonly slowArrivalsPerS: number;
    readonly admittedPerS: number;
    readonly refusedPerS: number;
    readonly promptTokensPerS: number;
    readonly answerTokensPerS: number;
    readonly waiting: number;
    /** Refused callers whose `Retry-After` has not passed yet. */
    readonly returns: number;
    /** Offered tokens a second of the largest organisations; the others are summed under the empty name. */
    readonly organisations: ReadonlyMap<string, number>;
}

/** Demand of one service over all entries. */
export interface FleetDemandView {
    /** Classes by rank, without gaps; ranks beyond the last have no demand. */
    readonly classes: readonly FleetClassDemand[];
    /** Time since the leader's last sum arrived; infinite before the first. */
    readonly ageMs: number;
    /** Whether the figures are this entry's own, times the number of entries. */
    readonly isEstimated: boolean;
}

/** Dependencies of {@link FleetDemand}. */
export interface FleetDemandOptions {
    readonly getNowMs: () => number;
    readonly countEntries: () => number;
    /** Demand of a service at this entry, by rank. */
    readonly measureOwn: (service: string) => ReadonlyMap<number, ClassDemand>;
    /** Services of which the entries report their demand; a sum says nothing about the others. */
    readonly getReportedServices: () => ReadonlySet<string>;
}

/** Longer than the interval between two answers of a leader; the leader drops reports of this age, too. */
const SUMMARY_VALIDITY_MS = 1_500;
/**
 * Time for which a new leader has to have received reports before its sum is used: entries contact it once within the
 * longest hold time of a long poll. The previous sum or the estimate is used until then.
 */
const COMPLETE_AFTER_MS = 600;
/** Time constant of the slow average: it outlasts bursts, which take up to 5.5 s. */
const SLOW_TIME_CONSTANT_MS = 10_000;

interface SlowAverages {
    updatedMs: number;
    /** Arrivals a second by rank. */
    readonly byRank: number[];
}

/** Stores the last sum and the slow averages. */
export class FleetDemand {
    private services = new Map<string, readonly ClassDemand[]>();
    private readonly sums = new Map<string, readonly FleetClassDemand[]>();
    private receivedMs = Number.NEGATIVE_INFINITY;
    private reporters = 0;
    private readonly slowAverages = new Map<string, SlowAverages>();

    /**
     * @param options - clock, own demand and number of entries
     */
    constructor(private readonly options: FleetDemandOptions) {}

    /** Number of entries in the last sum. */
    get reporterCount(): number {
        return this.reporters;
    }

    /**
     * Records the sum in an answer of the leader.
     * @param summary - the sum; undefined where the leader is of an older build
     * @param knownMs - time for which this leader has received reports
     * @returns whether the sum is used
     */
    record(summary: DemandSummary | undefined, knownMs: number = Number.POSITIVE_INFINITY): boolean {
        if (summary === undefined || knownMs < COMPLETE_AFTER_MS) {
            return false;
        }
        if (this.receivedMs === Number.NEGATIVE_INFINITY) {
            // Averages of estimates after a start begin near 0, and would take 10 s to reach the fleet's demand.
            this.slowAverages.clear();
        }
        this.receivedMs = this.options.getNowMs();
        this.reporters = summary.reporters;
        this.services = new Map(
            Object.entries(summary.services).map(([service, { classes }]) => [
                service,
                arrangeByRank(
                    Object.entries(classes).map(([rank, sent]) => [Number(rank), classDemandSchema.parse(sent)]),
                ),
            ]),
        );
        const reported = this.options.getReportedServices();
        [...this.slowAverages.keys()].filter((service) => !reported.has(service)).forEach((service) => {
            this.slowAverages.delete(service);
        });
        reported.forEach((service) => {
            this.updateSlowAverages(service, this.services.get(service) ?? []);
        });
        this.sums.clear();
        return true;
    }

    /**
     * Gets the demand of a service.
     * @param service - its name
     * @returns the demand over all entries, or an estimate
     */
    get(service: string): FleetDemandView {
        const ageMs = this.options.getNowMs() - this.receivedMs;
        const isEstimated = ageMs > SUMMARY_VALIDITY_MS || !this.options.getReportedServices().has(service);
        if (!isEstimated) {
            return { classes: this.getSum(service), ageMs, isEstimated };
        }
        const estimate = this.estimate(service);
        const { byRank } = this.updateSlowAverages(service, estimate);
        return { classes: estimate.map((demand, rank) => createView(demand, byRank[rank] ?? 0)), ageMs, isEstimated };
    }

    /** Created once for each sum, since each choice of a target reads it. */
    private getSum(service: string): readonly FleetClassDemand[] {
        const known = this.sums.get(service);
        if (known !== undefined) {
            return known;
        }
        const byRank = this.slowAverages.get(service)?.byRank ?? [];
        const sum = (this.services.get(service) ?? []).map((demand, rank) => createView(demand, byRank[rank] ?? 0));
        this.sums.set(service, sum);
        return sum;
    }

    private estimate(service: string): readonly ClassDemand[] {
        const entries = this.options.countEntries();
        // Before the first sum, nothing shows that other entries have work waiting as well.
        const waitingFactor = this.receivedMs === Number.NEGATIVE_INFINITY ? 1 : entries;
        return arrangeByRank(
            [...this.options.measureOwn(service)].map(([rank, own]) => [
                rank,
                {
                    arrivals_per_s: own.arrivals_per_s * entries,
                    admitted_per_s: own.admitted_per_s * entries,
                    refused_per_s: own.refused_per_s * entries,
                    prompt_tokens_per_s: own.prompt_tokens_per_s * entries,
                    answer_tokens_per_s: own.answer_tokens_per_s * entries,
                    waiting: own.waiting * waitingFactor,
                    returns: own.returns * waitingFactor,
                    organisations: Object.fromEntries(
                        Object.entries(own.organisations ?? {}).map(([name, tokens]) => [name, tokens * entries]),
                    ),
                },
            ]),
        );
    }

    private updateSlowAverages(service: string, classes: readonly ClassDemand[]): SlowAverages {
        const nowMs = this.options.getNowMs();
        const known = this.slowAverages.get(service);
        if (known === undefined) {
            const first = { updatedMs: nowMs, byRank: classes.map((one) => one.arrivals_per_s) };
            this.slowAverages.set(service, first);
            return first;
        }
        const weight = 1 - Math.exp(-(nowMs - known.updatedMs) / SLOW_TIME_CONSTANT_MS);
        for (let rank = 0; rank < Math.max(known.byRank.length, classes.length); rank += 1) {
            const slow = known.byRank[rank] ?? 0;
            known.byRank[rank] = slow + weight * ((classes[rank]?.arrivals_per_s ?? 0) - slow);
        }
        known.updatedMs = nowMs;
        return known;
    }
}

/** Fills gaps, so that the index is the rank. */
function arrangeByRank(classes: readonly (readonly [number, ClassDemand])[]): readonly ClassDemand[] {
    const byRank = new Map(classes);
    const count = Math.max(0, ...classes.map(([rank]) => rank + 1));
    return Array.from({ length: count }, (_unused, rank) => byRank.get(rank) ?? classDemandSchema.parse({}));
}

function createView(demand: ClassDemand, slowArrivalsPerS: number): FleetClassDemand {
    return {
        arrivalsPerS: demand.arrivals_per_s,
        slowArrivalsPerS,
        admittedPerS: demand.admitted_per_s,
        refusedPerS: demand.refused_per_s,
        promptTokensPerS: demand.prompt_tokens_per_s,
        answerTokensPerS: demand.answer_tokens_per_s,
        waiting: demand.waiting,
        returns: demand.returns,
        organisations: new Map(Object.entries(demand.organisations ?? {})),
    };
}
