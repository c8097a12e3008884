/**
 * Records the requests of an entry as demand, and holds the demand of the fleet.
 */
import type {
    DemandReport,
    DemandSummary,
    FleetSettings,
    Route,
    RoutedOrganisation,
    RoutingTable,
} from "@crankfork/schemas";
import type { RequestEnd } from "../../request/refuseRequest.js";
import type { RequestContext } from "../../request/requestContext.js";
import type { TargetChoice } from "../../request/requestFunctions.js";
import type { RoutingView } from "../../version/fleetView.js";
import { type DemandKey, DemandMeter } from "./demandMeter.js";
import { FleetDemand } from "./fleetDemand.js";

/** Dependencies of {@link EntryDemand}. */
export interface EntryDemandOptions {
    readonly settings: { readonly admission: Pick<FleetSettings["admission"], "report_demand">; };
    readonly getNowMs: () => number;
    readonly countEntries: () => number;
    readonly getRouting: () => RoutingView | undefined;
    /** Rank of a request; by default that of its service's ranks. */
    readonly getRank?: (
        route: Route,
        organisation: RoutedOrganisation | undefined,
        service: string,
    ) => number;
}

/**
 * Minimum interval between two reports to a leader that answers. An entry asks again as soon as it is answered, which
 * during changes in quick succession is every 70 ms at 69 entries: reports and sums would take 25 KB a second.
 */
const MIN_REPORT_INTERVAL_MS = 400;
/** Largest rank that a message can name. */
const MAX_RANK = 99;

/** Demand at an entry. */
export class EntryDemand {
    /** Demand at this entry. */
    readonly meter: DemandMeter;
    /** Demand over all entries. */
    readonly fleet: FleetDemand;
    private readonly keys = new WeakMap<RequestContext, DemandKey>();
    /** Requests that were sent to an upstream. */
    private readonly admitted = new WeakSet<RequestContext>();
    private reportedMs = Number.NEGATIVE_INFINITY;
    /** Whether a leader has answered with a complete sum since the last report was sent. */
    private isReportAnswered = false;
    private reported: { readonly table: RoutingTable; readonly services: ReadonlySet<string>; } | undefined;

    /**
     * @param options - settings, clock and routing table
     */
    constructor(private readonly options: EntryDemandOptions) {
        const { getNowMs, countEntries } = options;
        const getReportedServices = (): ReadonlySet<string> => this.getReportedServices();
        this.meter = new DemandMeter({ getNowMs, getReportedServices });
        this.fleet = new FleetDemand({
            getNowMs,
            countEntries,
            getReportedServices,
            measureOwn: (service) => this.meter.measure(service),
        });
    }

    /**
     * Creates the report for a voter. It is left out if the leader has just answered one with a complete sum, but not
     * while a leader is sought or new, since each voter that is asked may be the leader, and a new one needs all reports.
     * @returns the report; undefined where none is due, or no service is reported
     */
    createReport(): DemandReport | undefined {
        const nowMs = this.options.getNowMs();
        if (this.isReportAnswered && nowMs - this.reportedMs < MIN_REPORT_INTERVAL_MS) {
            return undefined;
        }
        this.reportedMs = nowMs;
        this.isReportAnswered = false;
        return this.meter.createReport();
    }

    /**
     * Records the sum in an answer of the leader.
     * @param summary - the sum; undefined where the leader has sent none
     * @param knownMs - time for which this leader has received reports
     */
    recordSummary(summary: DemandSummary | undefined, knownMs: number | undefined): void {
        if (this.fleet.record(summary, knownMs)) {
            this.isReportAnswered = true;
        }
    }

    /**
     * Gets what a request counts under. It stays the same for the whole request: a new routing table may change ranks
     * while a request waits, and its wait has to end under the rank under which it began.
     * @param run - the request
     * @returns its service, rank and organisation
     */
    getKey(run: RequestContext): DemandKey {
        const known = this.keys.get(run);
        if (known !== undefined) {
            return known;
        }
        const { service, route, organisation } = run.admitted;
        const { getRank = this.getRank } = this.options;
        const rank = Math.min(MAX_RANK, Math.max(0, getRank(route, organisation, service.name)));
        const key = { service: service.name, rank, organisation: organisation?.name };
        this.keys.set(run, key);
        return key;
    }

    /**
     * Checks whether the demand of a service is reported; that of ranked services always is.
     * @param service - its name
     * @returns false also before the first routing table
     */
    isReported(service: string): boolean {
        return this.getReportedServices().has(service);
    }

    /**
     * Lists the services that are reported, or have requests here.
     * @returns their names
     */
    listServices(): readonly string[] {
        return [...new Set([...this.getReportedServices(), ...this.meter.listServices()])];
    }

    /**
     * Records a request that was admitted by key and route.
     * @param run - the request
     */
    recordArrival(run: RequestContext): void {
        this.meter.recordArrival(this.getKey(run), run.admitted.call.size);
    }

    /**
     * Records the choice of a target: the first one admits the request.
     * @param run - the request
     * @param choice - its target, or why there is none
     */
    recordChoice(run: RequestContext, choice: TargetChoice): void {
        if (choice.kind === "target" && !this.admitted.has(run)) {
            this.admitted.add(run);
            this.meter.recordAdmitted(this.getKey(run));
        }
    }

    /**
     * Records the end of a request. One that was declined by upstreams and then refused counts as admitted and refused.
     * @param run - the request
     * @param end - how it ended
     */
    recordEnd(run: RequestContext, end: RequestEnd): void {
        if (end.outcome === "refused") {
            this.meter.recordRefused(this.getKey(run));
        }
    }

    /** Ranks of a service that is not ranked order its effective priorities. */
    private readonly getRank = (route: Route, organisation: RoutedOrganisation | undefined, service: string): number =>
        this.options.getRouting()?.ranks.get(service)?.getRank(route, organisation)
            ?? organisation?.priority ?? route.priority;

    private getReportedServices(): ReadonlySet<string> {
        const routing = this.options.getRouting();
        if (routing === undefined) {
            return NO_SERVICES;
        }
        if (this.reported?.table !== routing.table) {
            this.reported = { table: routing.table, services: new Set(this.listReportedServices(routing)) };
        }
        return this.reported.services;
    }

    private listReportedServices({ table, ranks }: RoutingView): readonly string[] {
        return table.services.map(({ name }) => name).filter((name) =>
            this.options.settings.admission.report_demand || ranks.get(name)?.isRanked === true
        );
    }
}

const NO_SERVICES: ReadonlySet<string> = new Set();
