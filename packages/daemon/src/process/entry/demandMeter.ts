/**
 * Measures the demand at this entry, by service, rank and organisation.
 */
import { DecayingRate, encodeClassDemand, type RequestSize } from "@crankfork/decisions";
import { type ClassDemand, type DemandReport, MAX_DEMAND_CLASSES, type SentClassDemand } from "@crankfork/schemas";

/** What a request counts under. */
export interface DemandKey {
    readonly service: string;
    /** Index of the request's class; 0 is the most urgent. */
    readonly rank: number;
    /** Undefined for a request without a key; such requests count under the empty name. */
    readonly organisation: string | undefined;
}

/** Dependencies of {@link DemandMeter}. */
export interface DemandMeterOptions {
    readonly getNowMs: () => number;
    /** Services whose demand is reported to the leader. */
    readonly getReportedServices: () => ReadonlySet<string>;
}

/** Organisations held for each service; the demand of the smallest is moved to the empty name beyond that. */
const MAX_ORGANISATIONS = 64;
/** Bound of the tokens of one request: callers state them, and engines here hold far fewer. */
const MAX_REQUEST_TOKENS = 100_000;
/** Name under which organisations that are not held by themselves are summed. */
const OTHERS = "";
/** Width of the intervals by which callers are counted that are due to retry. */
const RETURN_INTERVAL_MS = 100;
/** Longest `Retry-After` that is counted, so that a wrong value does not stay in the sum for good. */
const MAX_RETURN_MS = 60_000;

interface MeteredClass {
    readonly arrivals: DecayingRate;
    readonly admitted: DecayingRate;
    readonly refused: DecayingRate;
    readonly promptTokens: DecayingRate;
    readonly answerTokens: DecayingRate;
    readonly organisations: Map<string, DecayingRate>;
    waiting: number;
    /** Callers that are due to retry, by interval. */
    readonly returns: Map<number, number>;
}

/** Measures rates, waiting requests and returning callers. */
export class DemandMeter {
    private readonly services = new Map<string, Map<number, MeteredClass>>();

    /**
     * @param options - clock and the services to report
     */
    constructor(private readonly options: DemandMeterOptions) {}

    /**
     * Records a request that was admitted by key and route.
     * @param key - what it counts under
     * @param size - its tokens; undefined for a request that states none
     */
    recordArrival(key: DemandKey, size: RequestSize | undefined): void {
        const nowMs = this.options.getNowMs();
        const promptTokens = clamp(size?.promptTokens, MAX_REQUEST_TOKENS);
        const answerTokens = clamp(size?.answerTokens, MAX_REQUEST_TOKENS);
        const metered = this.getClass(key);
        metered.arrivals.add(1, nowMs);
        metered.promptTokens.add(promptTokens, nowMs);
        metered.answerTokens.add(answerTokens, nowMs);
        this.getOrganisation(key, metered, nowMs).add(promptTokens + answerTokens, nowMs);
    }

    /**
     * Records that a request is sent to an upstream for the first time.
     * @param key - what it counts under
     */
    recordAdmitted(key: DemandKey): void {
        this.getClass(key).admitted.add(1, this.options.getNowMs());
    }

    /**
     * Records that a request was refused and has not run.
     * @param key - what it counts under
     */
    recordRefused(key: DemandKey): void {
        this.getClass(key).refused.add(1, this.options.getNowMs());
    }

    /**
     * Records that a request begins or ends to wait for room.
     * @param key - what it counts under
     * @param change - 1 or -1
     */
    recordWaiting(key: DemandKey, change: 1 | -1): void {
        const metered = this.getClass(key);
        metered.waiting = Math.max(0, metered.waiting + change);
    }

    /**
     * Records that a refused caller got a `Retry-After`.
     * @param key - what it counts under
     * @param retryAfterMs - time from now until it is due, in milliseconds
     */
    recordReturn(key: DemandKey, retryAfterMs: number): void {
        const atMs = this.options.getNowMs() + clamp(retryAfterMs, MAX_RETURN_MS);
        const { returns } = this.getClass(key);
        const interval = Math.floor(atMs / RETURN_INTERVAL_MS);
        returns.set(interval, (returns.get(interval) ?? 0) + 1);
    }

    /**
     * Creates the report for the leader, and drops classes without any demand.
     * @returns the report; undefined where no service is reported
     */
    createReport(): DemandReport | undefined {
        this.prune();
        const reported = this.options.getReportedServices();
        const services: Record<string, { classes: Record<string, SentClassDemand>; }> = {};
        let remaining = MAX_DEMAND_CLASSES;
        for (const service of reported) {
            // The leader drops a report with more classes; the most urgent ones are sent.
            const classes = [...this.measure(service)].sort(([left], [right]) => left - right)
                .flatMap(([rank, demand]) => {
                    const sent = encodeClassDemand(demand);
                    return sent === undefined ? [] : [[String(rank), sent] as const];
                }).slice(0, remaining);
            remaining -= classes.length;
            if (classes.length > 0) {
                services[service] = { classes: Object.fromEntries(classes) };
            }
        }
        return reported.size === 0 ? undefined : { services };
    }

    /**
     * Lists the services with demand here.
     * @returns their names
     */
    listServices(): readonly string[] {
        return [...this.services.keys()];
    }

    /**
     * Measures the demand of a service at this entry.
     * @param service - its name
     * @returns demand by rank
     */
    measure(service: string): ReadonlyMap<number, ClassDemand> {
        const nowMs = this.options.getNowMs();
        const classes = this.services.get(service) ?? new Map<number, MeteredClass>();
        return new Map([...classes].map(([rank, metered]) => [rank, measureClass(metered, nowMs)]));
    }

    private prune(): void {
        this.services.forEach((classes, service) => {
            this.measure(service).forEach((demand, rank) => {
                if (encodeClassDemand(demand) === undefined) {
                    classes.delete(rank);
                }
            });
            if (classes.size === 0) {
                this.services.delete(service);
            }
        });
    }

    private getClass({ service, rank }: DemandKey): MeteredClass {
        const classes = this.services.get(service) ?? new Map<number, MeteredClass>();
        this.services.set(service, classes);
        const metered = classes.get(rank) ?? createMeteredClass();
        classes.set(rank, metered);
        return metered;
    }

    private getOrganisation(
        { service, organisation = OTHERS }: DemandKey,
        metered: MeteredClass,
        nowMs: number,
    ): DecayingRate {
        const known = metered.organisations.get(organisation);
        if (known !== undefined) {
            return known;
        }
        if (organisation !== OTHERS) {
            this.limitOrganisations(service, organisation, nowMs);
        }
        const rate = new DecayingRate();
        metered.organisations.set(organisation, rate);
        return rate;
    }

    /** Moves the smallest organisation of a service to the others where a new one would be too many. */
    private limitOrganisations(service: string, added: string, nowMs: number): void {
        const classes = [...this.services.get(service)?.values() ?? []];
        const totals = new Map<string, number>();
        classes.forEach(({ organisations }) => {
            organisations.forEach((rate, name) => totals.set(name, (totals.get(name) ?? 0) + rate.get(nowMs)));
        });
        totals.delete(OTHERS);
        if (totals.has(added) || totals.size < MAX_ORGANISATIONS) {
            return;
        }
        const [smallest] = [...totals].reduce((least, one) => one[1] < least[1] ? one : least);
        classes.forEach(({ organisations }) => {
            const rate = organisations.get(smallest);
            if (rate !== undefined) {
                const others = organisations.get(OTHERS) ?? new DecayingRate();
                others.add(rate.get(nowMs), nowMs);
                organisations.set(OTHERS, others);
                organisations.delete(smallest);
            }
        });
    }
}

/** A value that is no number counts as 0: it would never decay. */
function clamp(value: number | undefined, max: number): number {
    return value !== undefined && value > 0 ? Math.min(max, value) : 0;
}

function createMeteredClass(): MeteredClass {
    return {
        arrivals: new DecayingRate(),
        admitted: new DecayingRate(),
        refused: new DecayingRate(),
        promptTokens: new DecayingRate(),
        answerTokens: new DecayingRate(),
        organisations: new Map(),
        waiting: 0,
        returns: new Map(),
    };
}

function measureClass(metered: MeteredClass, nowMs: number): ClassDemand {
    const { returns, organisations } = metered;
    [...returns.keys()].filter((interval) => (interval + 1) * RETURN_INTERVAL_MS <= nowMs).forEach((interval) => {
        returns.delete(interval);
    });
    return {
        arrivals_per_s: metered.arrivals.get(nowMs),
        admitted_per_s: metered.admitted.get(nowMs),
        refused_per_s: metered.refused.get(nowMs),
        prompt_tokens_per_s: metered.promptTokens.get(nowMs),
        answer_tokens_per_s: metered.answerTokens.get(nowMs),
        waiting: metered.waiting,
        returns: [...returns.values()].reduce((sum, one) => sum + one, 0),
        organisations: Object.fromEntries([...organisations].map(([name, rate]) => [name, rate.get(nowMs)])),
    };
}
