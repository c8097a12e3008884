/**
 * Demand that entries report to the leader, summed over all of them. Nothing of it is replicated: a new leader has all
 * reports after one round.
 */
import { encodeClassDemand } from "@crankfork/decisions";
import {
    type ClassDemand,
    classDemandSchema,
    type DemandReport,
    type DemandSummary,
    MAX_DEMAND_CLASSES,
    type SentClassDemand,
} from "@crankfork/schemas";

/** Time for which a report counts; its entry may have ended since. */
const REPORT_EXPIRY_MS = 1_500;
/** Interval between two sums: at 1,000 answers a second, each sum over 300 entries serves 100 of them. */
const SUMMARY_INTERVAL_MS = 100;
/**
 * Bound of the requests a second, the waiting requests and the returning callers of one entry, so that a fault of one
 * does not close the fleet.
 */
const MAX_REQUESTS = 10_000;
/** Bound of the tokens a second of one entry: that many requests of 100 tokens each, or 1,250 prompts of 800 tokens. */
const MAX_TOKENS_PER_S = MAX_REQUESTS * 100;

/**
 * Bounds of a sum in bytes: names that a faulty entry reports would otherwise fill the leader's link. 30 classes with 8
 * organisations each, whose names have 15 characters, take less than either.
 */
const MAX_CLASS_BYTES = 8_000;
const MAX_ORGANISATION_BYTES = 7_500;

/** The members of a class that are numbers. */
const quantities = [
    "arrivals_per_s",
    "admitted_per_s",
    "refused_per_s",
    "prompt_tokens_per_s",
    "answer_tokens_per_s",
    "waiting",
    "returns",
] as const;
const noDemand = classDemandSchema.parse({});
const tokenRates: ReadonlySet<string> = new Set(["prompt_tokens_per_s", "answer_tokens_per_s"]);

interface StoredReport {
    readonly atMs: number;
    readonly services: ReadonlyMap<string, ReadonlyMap<string, ClassDemand>>;
}

interface ClassSum {
    readonly service: string;
    readonly rank: string;
    reporters: number;
    readonly demand: ClassDemand;
}

/** Stores the newest report of each entry. */
export class DemandRegistry {
    private readonly reports = new Map<string, StoredReport>();
    private summary: { readonly atMs: number; readonly value: DemandSummary; } | undefined;

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Records the report of an entry; it replaces the previous one.
     * @param instance - id of the entry
     * @param report - its demand
     */
    record(instance: string, report: DemandReport): void {
        const services = Object.entries(report.services).map(([service, { classes }]) => {
            const clamped = Object.entries(classes).map(([rank, sent]) => [rank, clampClass(sent)] as const);
            return [service, new Map(clamped)] as const;
        });
        this.reports.set(instance, { atMs: this.getNowMs(), services: new Map(services) });
    }

    /**
     * Sums the reports of the last 1.5 s.
     * @returns the sum, computed at most once in 100 ms
     */
    summarise(): DemandSummary {
        const nowMs = this.getNowMs();
        if (this.summary === undefined || nowMs - this.summary.atMs >= SUMMARY_INTERVAL_MS) {
            this.summary = { atMs: nowMs, value: this.computeSummary(nowMs) };
        }
        return this.summary.value;
    }

    /** Age of the last sum, in milliseconds; infinite before the first. */
    get summaryAgeMs(): number {
        return this.getNowMs() - (this.summary?.atMs ?? Number.NEGATIVE_INFINITY);
    }

    private computeSummary(nowMs: number): DemandSummary {
        this.reports.forEach(({ atMs }, instance) => {
            if (nowMs - atMs > REPORT_EXPIRY_MS) {
                this.reports.delete(instance);
            }
        });
        // Entries choose the names, and an object would find members of its prototype under some of them.
        const services = new Map<string, { readonly classes: Record<string, SentClassDemand>; }>();
        // Where there are too many classes, those that few entries report are more likely to be wrong.
        const sums = [...this.sumByClass().values()].sort((left, right) => right.reporters - left.reporters);
        let classBytes = 0;
        let organisationBytes = 0;
        for (const { service, rank, demand } of sums.slice(0, MAX_DEMAND_CLASSES)) {
            const { organisations, ...counts } = encodeClassDemand(demand) ?? {};
            const ownClassBytes = countBytes({ [service]: { classes: { [rank]: counts } } });
            if (Object.keys(counts).length === 0 || classBytes + ownClassBytes > MAX_CLASS_BYTES) {
                continue;
            }
            classBytes += ownClassBytes;
            const ownBytes = countBytes({ organisations });
            const hasSpace = organisationBytes + ownBytes <= MAX_ORGANISATION_BYTES;
            organisationBytes += hasSpace ? ownBytes : 0;
            const { classes } = services.get(service) ?? { classes: {} };
            classes[rank] = organisations === undefined
                ? counts
                : { ...counts, organisations: hasSpace ? organisations : sumUnderEmptyName(organisations) };
            services.set(service, { classes });
        }
        return { services: Object.fromEntries(services), reporters: this.reports.size };
    }

    private sumByClass(): ReadonlyMap<string, ClassSum> {
        const sums = new Map<string, ClassSum>();
        for (const report of this.reports.values()) {
            for (const [service, classes] of report.services) {
                for (const [rank, demand] of classes) {
                    const key = `${rank} ${service}`;
                    const sum = sums.get(key) ?? { service, rank, reporters: 0, demand: { ...noDemand } };
                    sums.set(key, sum);
                    sum.reporters += 1;
                    addDemand(sum.demand, demand);
                }
            }
        }
        return sums;
    }
}

function countBytes(value: object): number {
    return Buffer.byteLength(JSON.stringify(value));
}

function sumUnderEmptyName(organisations: Readonly<Record<string, number>>): Record<string, number> {
    return { "": Object.values(organisations).reduce((sum, one) => sum + one, 0) };
}

function clampClass(sent: SentClassDemand): ClassDemand {
    const demand: ClassDemand = { ...noDemand };
    quantities.forEach((name) => {
        demand[name] = clamp(sent[name], tokenRates.has(name) ? MAX_TOKENS_PER_S : MAX_REQUESTS);
    });
    demand.organisations = Object.fromEntries(
        Object.entries(sent.organisations ?? {}).map(([name, tokens]) => [name, clamp(tokens, MAX_TOKENS_PER_S)]),
    );
    return demand;
}

/** A value that is no number counts as 0. */
function clamp(value: number | undefined, max: number): number {
    return value !== undefined && value > 0 ? Math.min(max, value) : 0;
}

function addDemand(sum: ClassDemand, demand: ClassDemand): void {
    quantities.forEach((name) => {
        sum[name] += demand[name];
    });
    const organisations = sum.organisations ??= {};
    Object.entries(demand.organisations ?? {}).forEach(([name, tokens]) => {
        const known = Object.hasOwn(organisations, name) ? organisations[name] : undefined;
        organisations[name] = (known ?? 0) + tokens;
    });
}
