/**
 * Brings layers to the engines, as the plan says. Only a leader inside its lease gives orders; an order without an
 * answer may still be carried out later, so its engine gets no other until that time is over or its report is clear.
 */
import {
    canHoldModel,
    type computeLayerPlan,
    isPlacementDue,
    type LayerOrder,
    type PlannedEngine,
} from "@crankfork/decisions";
import type { EngineProfile, LayerSpan, RegisteredUpstream, RoutedService } from "@crankfork/schemas";
import type { EngineControl, OrderOutcome } from "../../connection/engineControl.js";
import type { EventLog } from "../eventLog.js";
import { startTicking, type StopTicking } from "../startTicking.js";
import type { FleetReplicaHost } from "../voter/fleetProposal.js";
import type { UpstreamRegister } from "../voter/upstreamRegister.js";
import { ArrivalWatch } from "./arrivalWatch.js";
import { formatSpan, isSameSpan, isWithin } from "./layerSpans.js";
import { PlanGate } from "./planGate.js";

/** What the keeper needs from the process. */
export interface LayerKeeperOptions {
    readonly host: FleetReplicaHost;
    readonly upstreams: UpstreamRegister;
    readonly control: EngineControl;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Services of the newest document that run a model. */
    readonly getServices: () => readonly RoutedService[];
    /** Between two heartbeats of an upstream. */
    readonly heartbeatMs: number;
    /** Whether an engine asked this leader for rest, so that no order reaches it. */
    readonly isResting: (id: string) => boolean;
    readonly computePlan: typeof computeLayerPlan;
}

const TICK_MS = 100;
/** Between two reports of an engine that loads. */
const REPORT_MS = 250;
/** Ticks by which a report may be asked for later than that where nothing else holds it up. */
const TURN_MARGIN_MS = 2 * TICK_MS;
/** An order without an answer may be carried out up to 12 s later (the platform's pages); a second more for its way. */
const UNCLEAR_MS = 13_000;
/** A load that takes longer than this many times its expected time is looked at anew. */
const SLOW_LOAD_FACTOR = 6;
const LEAST_LOAD_LIMIT_MS = 3_000;
/**
 * Orders under way at a time, each with its report. Thousands at once take longer to send than an engine has for its report, which
 * then counts as none.
 */
const MOST_ASKING = 250;
/**
 * Engines that load are asked for reports so often in a tick, at the most, so that the leader's work does not grow with them;
 * heartbeats tell their layers, too.
 */
const MOST_REPORTS_A_TICK = 25;

interface OpenOrder {
    readonly span: LayerSpan;
    /** What the engine held when it was ordered; its reports lag, and may tell it for a while. */
    readonly before: LayerSpan | undefined;
    limitMs: number;
    state: "asking" | "loading" | "unclear";
    reportedMs: number;
}

/** Gives orders and follows them. */
export class LayerKeeper {
    private readonly orders = new Map<string, OpenOrder>();
    private readonly arrivals = new Map<string, ArrivalWatch>();
    /** Services whose engines do not hold the model. */
    private readonly short = new Set<string>();
    private readonly gate = new PlanGate();
    private stopTicking: StopTicking | undefined;

    /**
     * @param options - replica, engines and log
     */
    constructor(private readonly options: LayerKeeperOptions) {}

    /** Starts. */
    start(): void {
        this.stopTicking = startTicking(TICK_MS, () => {
            this.tick();
        });
    }

    /** Stops. */
    stop(): void {
        this.stopTicking?.();
    }

    private tick(): void {
        const { host, getServices } = this.options;
        if (!host.replica.hasNewestState()) {
            this.orders.clear();
            this.gate.reset();
            return;
        }
        this.forgetOldOrders();
        getServices().forEach((service) => {
            if (service.engine !== undefined) {
                this.planService(service.name, service.engine);
            }
        });
        this.followOrders();
    }

    private planService(name: string, profile: EngineProfile): void {
        const engines = this.options.host.state.listUpstreams()
            .filter((upstream) => upstream.service === name && upstream.status === "ready");
        if (!this.isPlacementDue(name, engines)) {
            return;
        }
        this.recordShortage(name, engines, profile);
        const key = this.formatPlanKey(engines, profile);
        const nowMs = this.options.getNowMs();
        if (!this.gate.isDue(name, key, engines.length, nowMs)) {
            return;
        }
        const planned = engines.flatMap((upstream) => this.createPlannedEngine(upstream) ?? []);
        const orders = this.options.computePlan(planned, profile);
        this.gate.recordPlan(name, key, orders.length === 0, nowMs);
        orders.slice(0, MOST_ASKING - this.countAsking()).forEach((order) => {
            void this.giveOrder(order, profile);
        });
    }

    /** Everything that a plan rests on: what the voters agreed on, orders under way, engines that rest, and the profile. */
    private formatPlanKey(engines: readonly RegisteredUpstream[], profile: EngineProfile): string {
        const { host, isResting } = this.options;
        const orders = [...this.orders].map(([id, { state, span }]) =>
            `${id} ${state} ${formatSpan({ held: span }) ?? ""}`
        );
        const resting = engines.map(({ id }) => id).filter(isResting);
        return [host.state.lastChange, orders.join(), resting.join(), JSON.stringify(profile)].join(";");
    }

    private countAsking(): number {
        return [...this.orders.values()].filter(({ state }) => state === "asking").length;
    }

    /** A line where engines become too few for the model, and one where they are enough again. */
    private recordShortage(service: string, engines: readonly RegisteredUpstream[], profile: EngineProfile): void {
        const isShort = !canHoldModel(engines.map(({ accelerator = "" }) => accelerator), profile);
        if (isShort === this.short.has(service)) {
            return;
        }
        if (isShort) {
            this.short.add(service);
        }
        else {
            this.short.delete(service);
        }
        this.options.log.record(isShort ? "warn" : "info", isShort ? "too-few-engines" : "enough-engines", {
            service,
            engines: engines.length,
            layers: profile.layers,
        });
    }

    private isPlacementDue(service: string, engines: readonly RegisteredUpstream[]): boolean {
        const { getNowMs, heartbeatMs } = this.options;
        const arrivals = this.arrivals.get(service) ?? new ArrivalWatch();
        this.arrivals.set(service, arrivals);
        const isBegun = engines.some(({ id, held }) => held !== undefined || this.orders.has(id));
        arrivals.update(engines.map(({ id }) => id), isBegun, getNowMs());
        return isPlacementDue({ isBegun, heartbeatMs, ...arrivals.computeAges(getNowMs()) });
    }

    private createPlannedEngine(upstream: RegisteredUpstream): PlannedEngine | undefined {
        const order = this.orders.get(upstream.id);
        if (order?.state === "unclear" && upstream.held === undefined) {
            return undefined;
        }
        return {
            id: upstream.id,
            failureDomain: upstream.failure_domain,
            accelerator: upstream.accelerator ?? "",
            span: order?.span ?? upstream.held,
            slowness: upstream.slowness ?? 1,
            mayBeOrdered: order === undefined && !this.options.isResting(upstream.id),
        };
    }

    private async giveOrder({ id, span }: LayerOrder, profile: EngineProfile): Promise<void> {
        const { host, log, getNowMs } = this.options;
        const upstream = host.state.getUpstream(id);
        if (upstream === undefined) {
            return;
        }
        const loadMs = profile.load_ms * (span.end - span.first) / profile.layers;
        const order: OpenOrder = {
            span,
            before: upstream.held,
            limitMs: getNowMs() + Math.max(LEAST_LOAD_LIMIT_MS, loadMs * SLOW_LOAD_FACTOR),
            state: "asking",
            reportedMs: getNowMs(),
        };
        this.orders.set(id, order);
        const end = await this.sendOrder(upstream, span);
        log.record("info", "order", {
            peer: id,
            address: upstream.address,
            layers: formatSpan({ held: span }),
            fence: host.replica.getStatus().term,
            outcome: end.kind,
            reason: end.kind === "refused" || end.kind === "unclear" ? end.reason : undefined,
        });
        this.applyOrderEnd(id, order, end);
    }

    /** Asks for the report first: what the engine holds, and the count of its orders that the next one expects. */
    private async sendOrder(upstream: RegisteredUpstream, span: LayerSpan): Promise<OrderOutcome> {
        const { host, control, upstreams } = this.options;
        const report = await control.getReport(upstream);
        if (report.kind !== "report") {
            return { kind: "refused", reason: report.reason };
        }
        if (!upstreams.recordReportedStart(upstream, report.startedAtMs)) {
            return { kind: "refused", reason: "another life runs there than expected" };
        }
        if (!isSameSpan(report.held, upstream.held)) {
            upstreams.recordHeld(upstream, report.held);
            return { kind: "refused", reason: "it holds other layers than expected" };
        }
        if (!host.replica.hasNewestState()) {
            return { kind: "refused", reason: "leadership was lost" };
        }
        const { term } = host.replica.getStatus();
        return await control.placeLayers(upstream, span, { fence: term, expectedOrders: report.orders });
    }

    private applyOrderEnd(id: string, order: OpenOrder, end: OrderOutcome): void {
        if (this.orders.get(id) !== order) {
            return;
        }
        switch (end.kind) {
            case "begun":
                order.state = "loading";
                this.recordGivenUp(id, order);
                return;
            case "unclear":
                order.state = "unclear";
                this.orders.set(id, { ...order, limitMs: this.options.getNowMs() + UNCLEAR_MS });
                return;
            case "refused":
                this.orders.delete(id);
                return;
        }
    }

    /** What an engine gives up takes nothing new; entries have to know before their requests are declined. */
    private recordGivenUp(id: string, order: OpenOrder): void {
        const upstream = this.options.host.state.getUpstream(id);
        if (upstream !== undefined && order.before !== undefined && !isWithin(order.before, order.span)) {
            this.options.upstreams.recordGivenUp(upstream);
        }
    }

    /** Those that were asked longest ago come first. */
    private followOrders(): void {
        const { host, getNowMs } = this.options;
        this.orders.forEach((order, id) => {
            const upstream = host.state.getUpstream(id);
            if (upstream === undefined || hasNews(upstream.held, order)) {
                this.orders.delete(id);
            }
        });
        const due = [...this.orders].filter(([, { state, reportedMs }]) =>
            state !== "asking" && getNowMs() - reportedMs >= REPORT_MS
        );
        due.sort(([, one], [, other]) => one.reportedMs - other.reportedMs);
        due.slice(0, MOST_REPORTS_A_TICK).forEach(([id, order]) => {
            const upstream = host.state.getUpstream(id);
            if (upstream !== undefined) {
                order.reportedMs = getNowMs();
                void this.readReport(upstream, order);
            }
        });
    }

    private async readReport(upstream: RegisteredUpstream, order: OpenOrder): Promise<void> {
        const { control, upstreams, getNowMs } = this.options;
        const report = await control.getReport(upstream);
        if (report.kind !== "report" || this.orders.get(upstream.id) !== order) {
            return;
        }
        if (!upstreams.recordReportedStart(upstream, report.startedAtMs)) {
            return;
        }
        if (hasNews(report.held, order)) {
            upstreams.recordHeld(upstream, report.held);
        }
        else if (report.isOrderInProgress) {
            order.limitMs = Math.max(order.limitMs, getNowMs() + LEAST_LOAD_LIMIT_MS);
        }
    }

    private forgetOldOrders(): void {
        const nowMs = this.options.getNowMs();
        for (const [id, order] of this.orders) {
            // Where many engines load, the turn of one to be asked may come later than its time.
            const hadTurn = nowMs - order.reportedMs < REPORT_MS + TURN_MARGIN_MS;
            if (order.state !== "asking" && nowMs > order.limitMs && hadTurn) {
                this.orders.delete(id);
            }
        }
    }
}

/** Whether an engine holds layers that it did not hold when it was ordered. */
function hasNews(held: LayerSpan | undefined, order: OpenOrder): boolean {
    return held !== undefined && !isSameSpan(held, order.before);
}
