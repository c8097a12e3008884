/**
 * Places layers on engines according to the computed plan. Only a leader that holds its lease gives orders. An order without an
 * answer may still be carried out later, so its engine gets no other order until that time has passed or its report settles it.
 */
import {
    canHoldModel,
    computeEngineOrders,
    type computeLayerPlan,
    isPlacementDue,
    isWithinModel,
    type LayerOrder,
    type PlannedEngine,
} from "@crankfork/decisions";
import type { EngineProfile, LayerSpan, RegisteredUpstream, RoutedService } from "@crankfork/schemas";
import type { EngineControl, EngineReport, OrderOutcome } from "../../connection/engineControl.js";
import type { EventLog } from "../eventLog.js";
import { ExponentialBackoffs } from "../exponentialBackoffs.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { runForEach, startTask } from "../startTask.js";
import type { FleetReplicaHost } from "../voter/fleetProposal.js";
import type { UpstreamRegistry } from "../voter/upstreamRegistry.js";
import { ArrivalTracker } from "./arrivalTracker.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";
import { formatSpan, isSameSpan, isWithin } from "./layerSpans.js";
import { OutsideOrders } from "./outsideOrders.js";
import { PlanThrottle } from "./planThrottle.js";

/** Dependencies of {@link PlacementController}. */
export interface PlacementControllerOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegistry;
    readonly control: EngineControl;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Services of the newest document that run a model. */
    readonly getServices: () => readonly RoutedService[];
    /** Interval between two heartbeats of an upstream. */
    readonly heartbeatMs: number;
    /** Whether an engine is backing off at its own request, so that orders would be rejected. */
    readonly isBackingOff: (id: string) => boolean;
    readonly computePlan: typeof computeLayerPlan;
}

const TICK_INTERVAL_MS = 100;
/** Intervals between orders to an engine that refuses them, for instance while it carries out an earlier one. */
const MIN_REFUSAL_INTERVAL_MS = 250;
const MAX_REFUSAL_INTERVAL_MS = 2_000;
/** Interval between two report requests to an engine that is loading. */
const REPORT_INTERVAL_MS = 250;
/** Slack for report requests that are late only because ticks are discrete. */
const REPORT_SLACK_MS = 2 * TICK_INTERVAL_MS;
/** An unanswered order may be carried out up to 12 s later (see the platform's documentation); one more second covers transit. */
const UNCLEAR_ORDER_TIMEOUT_MS = 13_000;
/** Longest interval between orders to an engine that goes on reporting layers beyond the model. */
const MAX_OUTSIDE_INTERVAL_MS = 300_000;
/** Multiple of the expected load time after which an order is dropped and its engine planned again. */
const LOAD_TIMEOUT_FACTOR = 6;
const MIN_LOAD_TIMEOUT_MS = 3_000;
/**
 * Maximum number of concurrent orders, each preceded by a report request. Thousands at once take longer to send than the report
 * timeout, and would be counted as failed reports.
 */
const MAX_PENDING_ORDERS = 250;
/**
 * Maximum number of orders being sent at a time, each with its report request, so that messages of the log and renewals of the
 * lease are handled in between.
 */
const MAX_CONCURRENT_SENDS = 32;
/**
 * Maximum number of loading engines asked for a report per tick, so that the leader's load does not grow with their number;
 * heartbeats list their layers too.
 */
const MAX_REPORTS_PER_TICK = 25;

interface OpenOrder {
    readonly span: LayerSpan;
    /** What the engine held when the order was given; its reports lag and may list this for a while. */
    readonly previousSpan: LayerSpan | undefined;
    deadlineMs: number;
    state: "pending" | "loading" | "unclear" | "refused";
    lastReportMs: number;
    /** Whether the engine refused the order and reported another one in progress. */
    isBlocked?: boolean;
}

/** Outcome of an order, with the report on which it was based; absent if there is none, or if it ruled the order out. */
type SentOrderOutcome = OrderOutcome & { readonly report?: EngineReport; readonly isWithoutReport?: boolean; };

/** Gives placement orders and tracks them to completion. */
export class PlacementController {
    private readonly orders = new Map<string, OpenOrder>();
    private readonly arrivals = new Map<string, ArrivalTracker>();
    /** Services whose engines cannot hold the whole model. */
    private readonly shortServices = new Set<string>();
    private readonly throttle = new PlanThrottle();
    private readonly refusals = new ExponentialBackoffs(MIN_REFUSAL_INTERVAL_MS, MAX_REFUSAL_INTERVAL_MS);
    /** Orders to engines that report layers beyond the model. */
    private readonly outside = new OutsideOrders(UNCLEAR_ORDER_TIMEOUT_MS, MAX_OUTSIDE_INTERVAL_MS);
    private readonly sends = new ConcurrencyLimit(MAX_CONCURRENT_SENDS);
    /** Layers of engines by their reports, until the registry lists them. */
    private readonly reportedSpans = new Map<string, LayerSpan | undefined>();
    private term: number | undefined;
    private stopTask: StopPeriodicTask | undefined;

    /**
     * @param options - replica, engines and log
     */
    constructor(private readonly options: PlacementControllerOptions) {}

    /** Starts the periodic check. */
    start(): void {
        this.stopTask = startPeriodicTask("placement", TICK_INTERVAL_MS, () => {
            this.tick();
        });
    }

    /** Stops the periodic check. */
    stop(): void {
        this.stopTask?.();
    }

    private tick(): void {
        const { host, getServices } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return;
        }
        this.resetOnNewTerm();
        this.removeExpiredOrders();
        const isKnown = (id: string): boolean => host.state.getUpstream(id) !== undefined;
        this.refusals.prune(isKnown);
        this.outside.prune(isKnown);
        runForEach("placement", getServices(), (service) => {
            if (service.engine !== undefined) {
                this.planService(service.name, service.engine);
            }
        });
        this.pollOrders();
    }

    /** In another term, another voter may have given orders. A lease that lapses and is renewed within a term changes nothing. */
    private resetOnNewTerm(): void {
        const { term } = this.options.host.replica.getStatus();
        if (term !== this.term) {
            this.term = term;
            this.orders.clear();
            this.throttle.reset();
            this.refusals.reset();
            this.outside.reset();
        }
    }

    private planService(name: string, profile: EngineProfile): void {
        const engines = this.options.host.state.listUpstreams()
            .filter((upstream) => upstream.service === name && upstream.status === "ready");
        if (!this.isPlacementDue(name, engines, profile)) {
            return;
        }
        this.logShortage(name, engines, profile);
        const key = this.formatPlanKey(engines, profile);
        const nowMs = this.options.getNowMs();
        if (!this.throttle.isDue(name, key, engines.length, nowMs)) {
            return;
        }
        const planned = engines.flatMap((upstream) => this.createPlannedEngine(upstream, profile) ?? []);
        const orders = computeEngineOrders(planned, profile, this.options.computePlan);
        this.throttle.recordPlan(name, key, orders.length === 0, nowMs);
        orders.slice(0, MAX_PENDING_ORDERS - this.countPendingOrders()).forEach((order) => {
            startTask("layer-order", () => this.giveOrder(order, profile), () => this.orders.delete(order.id));
        });
    }

    /** Everything a plan depends on: the replicated state, open orders, engines that may not be ordered, and the engine profile. */
    private formatPlanKey(engines: readonly RegisteredUpstream[], profile: EngineProfile): string {
        const { host, isBackingOff, getNowMs } = this.options;
        const orders = [...this.orders].map(([id, { state, span }]) =>
            `${id} ${state} ${formatSpan({ held: span }) ?? ""}`
        );
        const backingOff = engines.map(({ id }) => id).filter(isBackingOff);
        const waiting = engines.map(({ id }) => id).filter((id) => this.outside.isWaiting(id, getNowMs()));
        const reported = [...this.reportedSpans.keys()];
        return [
            host.state.lastChangeIndex,
            orders.join(),
            backingOff.join(),
            waiting.join(),
            reported.join(),
            JSON.stringify(profile),
        ].join(";");
    }

    private countPendingOrders(): number {
        return [...this.orders.values()].filter(({ state }) => state === "pending").length;
    }

    /** Logs once when the engines become too few for the model, and once when they suffice again. */
    private logShortage(service: string, engines: readonly RegisteredUpstream[], profile: EngineProfile): void {
        const isShort = !canHoldModel(engines.map(({ accelerator = "" }) => accelerator), profile);
        if (isShort === this.shortServices.has(service)) {
            return;
        }
        if (isShort) {
            this.shortServices.add(service);
        }
        else {
            this.shortServices.delete(service);
        }
        this.options.log.record(isShort ? "warn" : "info", isShort ? "too-few-engines" : "enough-engines", {
            service,
            engines: engines.length,
            layers: profile.layers,
        });
    }

    private isPlacementDue(
        service: string,
        engines: readonly RegisteredUpstream[],
        profile: EngineProfile,
    ): boolean {
        const { getNowMs, heartbeatMs } = this.options;
        const arrivals = this.arrivals.get(service) ?? new ArrivalTracker();
        this.arrivals.set(service, arrivals);
        const isPlacementStarted = engines.some(({ id, held }) =>
            (held !== undefined && isWithinModel(held, profile)) || this.orders.has(id)
        );
        arrivals.update(engines.map(({ id }) => id), isPlacementStarted, getNowMs());
        return isPlacementDue({ isPlacementStarted, heartbeatMs, ...arrivals.computeAges(getNowMs()) });
    }

    private createPlannedEngine(upstream: RegisteredUpstream, profile: EngineProfile): PlannedEngine | undefined {
        const order = this.orders.get(upstream.id);
        const isReported = this.reportedSpans.has(upstream.id);
        const held = isReported ? this.reportedSpans.get(upstream.id) : upstream.held;
        const isEmpty = held === undefined || !isWithinModel(held, profile);
        // An engine that waits may have been recorded as empty while it was to release layers beyond the model.
        const isWaiting = order === undefined && this.outside.isWaiting(upstream.id, this.options.getNowMs());
        if (isEmpty && (order?.state === "unclear" || isWaiting)) {
            return undefined;
        }
        return {
            id: upstream.id,
            failureDomain: upstream.failure_domain,
            accelerator: upstream.accelerator ?? "",
            span: order?.span ?? held,
            slowness: upstream.slowness ?? 1,
            mayBeOrdered: order === undefined && !isReported && !this.options.isBackingOff(upstream.id),
        };
    }

    private async giveOrder({ id, span }: LayerOrder, profile: EngineProfile): Promise<void> {
        const { host, log, getNowMs } = this.options;
        const upstream = host.state.getUpstream(id);
        if (upstream === undefined) {
            return;
        }
        if (!isWithinModel(upstream.held, profile)) {
            this.outside.record(id, getNowMs());
        }
        const loadMs = profile.load_ms * (span.end - span.first) / profile.layers;
        const order: OpenOrder = {
            span,
            previousSpan: upstream.held,
            deadlineMs: getNowMs() + Math.max(MIN_LOAD_TIMEOUT_MS, loadMs * LOAD_TIMEOUT_FACTOR),
            state: "pending",
            lastReportMs: getNowMs(),
        };
        this.orders.set(id, order);
        const end = await this.sends.run(() => this.sendOrder(upstream, order));
        log.record("info", "order", {
            peer: id,
            address: upstream.address,
            layers: formatSpan({ held: span }),
            fence: host.replica.getStatus().term,
            outcome: end.kind,
            reason: end.kind === "begun" ? undefined : end.reason,
        });
        this.applyOrderEnd(id, order, end);
    }

    /** Requests a report first, which gives the held layers and the order count that the engine expects with its next order. */
    private async sendOrder(upstream: RegisteredUpstream, order: OpenOrder): Promise<SentOrderOutcome> {
        const { host, control, upstreams } = this.options;
        const report = await control.getReport(upstream);
        if (report.kind !== "report") {
            return { kind: "refused", reason: report.reason, isWithoutReport: true };
        }
        if (!upstreams.recordReportedStart(upstream, report.startedAtMs)) {
            return { kind: "refused", reason: "report has another start time than expected" };
        }
        if (!isSameSpan(report.held, upstream.held)) {
            startTask("held-layers", () => this.recordReportedLayers(upstream, report.held));
            return { kind: "refused", reason: "engine holds other layers than expected" };
        }
        // While it waited, a new term may have begun, in which it was not planned.
        if (!host.replica.hasLeaderLease() || this.orders.get(upstream.id) !== order) {
            return { kind: "refused", reason: "leadership was lost" };
        }
        const { term } = host.replica.getStatus();
        const end = await control.placeLayers(upstream, order.span, { fence: term, expectedOrders: report.orders });
        return { ...end, report };
    }

    /** Until the change is committed, the engine is planned with the layers of its report, and gets no order. */
    private async recordReportedLayers(upstream: RegisteredUpstream, held: LayerSpan | undefined): Promise<void> {
        this.reportedSpans.set(upstream.id, held);
        await this.options.upstreams.recordHeldLayers(upstream, held).finally(() => {
            this.reportedSpans.delete(upstream.id);
        });
    }

    private applyOrderEnd(id: string, order: OpenOrder, end: SentOrderOutcome): void {
        if (this.orders.get(id) !== order) {
            return;
        }
        switch (end.kind) {
            case "begun":
                order.state = "loading";
                this.refusals.clear(id);
                this.recordRelease(id, order);
                return;
            case "unclear":
                order.state = "unclear";
                this.orders.set(id, { ...order, deadlineMs: this.options.getNowMs() + UNCLEAR_ORDER_TIMEOUT_MS });
                return;
            case "refused":
                if (end.report === undefined && end.isWithoutReport !== true) {
                    this.orders.delete(id);
                    return;
                }
                this.deferOrder(id, order, end.report?.isOrderInProgress === true);
                return;
            case "misdirected":
                this.orders.delete(id);
                this.markMisdirected(id);
                return;
        }
    }

    /** Keeps a refused order planned until the engine can take it, so that no other engine loads the same layers. */
    private deferOrder(id: string, order: OpenOrder, isOrderInProgress: boolean): void {
        const intervalMs = this.refusals.recordFailure(id);
        const waitMs = isOrderInProgress ? Math.max(intervalMs, MIN_LOAD_TIMEOUT_MS) : intervalMs;
        const deadlineMs = this.options.getNowMs() + waitMs;
        // A report is due at once; the one before the order lags and may not list another order yet.
        const lastReportMs = Number.NEGATIVE_INFINITY;
        this.orders.set(id, { ...order, state: "refused", deadlineMs, lastReportMs, isBlocked: isOrderInProgress });
    }

    private markMisdirected(id: string): void {
        const { host, upstreams } = this.options;
        const upstream = host.state.getUpstream(id);
        if (upstream !== undefined && host.replica.hasLeaderLease()) {
            upstreams.markLost(upstream, "gone", "another upstream answers at its address");
        }
    }

    /** A releasing engine accepts no new requests; entries have to know this before it declines theirs. */
    private recordRelease(id: string, order: OpenOrder): void {
        const upstream = this.options.host.state.getUpstream(id);
        if (upstream !== undefined && order.previousSpan !== undefined && !isWithin(order.previousSpan, order.span)) {
            this.options.upstreams.recordReleasedLayers(upstream);
        }
    }

    /** Requests reports, beginning with the engines that were asked longest ago. */
    private pollOrders(): void {
        const { host, getNowMs } = this.options;
        this.orders.forEach((order, id) => {
            const upstream = host.state.getUpstream(id);
            if (upstream === undefined || hasNewLayers(upstream.held, order)) {
                this.orders.delete(id);
            }
        });
        const due = [...this.orders].filter(([, { state, lastReportMs }]) =>
            state !== "pending" && getNowMs() - lastReportMs >= REPORT_INTERVAL_MS
        );
        due.sort(([, one], [, other]) => one.lastReportMs - other.lastReportMs);
        due.slice(0, MAX_REPORTS_PER_TICK).forEach(([id, order]) => {
            const upstream = host.state.getUpstream(id);
            if (upstream !== undefined) {
                order.lastReportMs = getNowMs();
                startTask("layer-order", () => this.pollOrder(upstream, order));
            }
        });
    }

    private async pollOrder(upstream: RegisteredUpstream, order: OpenOrder): Promise<void> {
        const { control, upstreams, getNowMs } = this.options;
        const report = await control.getReport(upstream);
        if (report.kind !== "report" || this.orders.get(upstream.id) !== order) {
            return;
        }
        if (!upstreams.recordReportedStart(upstream, report.startedAtMs)) {
            return;
        }
        if (hasNewLayers(report.held, order)) {
            startTask("held-layers", () => upstreams.recordHeldLayers(upstream, report.held));
        }
        else if (report.isOrderInProgress) {
            order.deadlineMs = Math.max(order.deadlineMs, getNowMs() + MIN_LOAD_TIMEOUT_MS);
            order.isBlocked = order.state === "refused";
        }
        else if (order.isBlocked === true) {
            this.orders.delete(upstream.id);
        }
    }

    private removeExpiredOrders(): void {
        const nowMs = this.options.getNowMs();
        for (const [id, order] of this.orders) {
            // With many engines loading, an engine may be polled only after its order's deadline; until then the order
            // is kept.
            const wasPolled = order.state === "refused"
                || nowMs - order.lastReportMs < REPORT_INTERVAL_MS + REPORT_SLACK_MS;
            if (order.state !== "pending" && nowMs > order.deadlineMs && wasPolled) {
                this.orders.delete(id);
            }
        }
    }
}

/** Tells whether an engine holds layers that it did not hold when the order was given. */
function hasNewLayers(held: LayerSpan | undefined, order: OpenOrder): boolean {
    return held !== undefined && !isSameSpan(held, order.previousSpan);
}
