/**
 * Reconciles the layers that engines hold with the placements of the configuration, while this instance leads.
 *
 * Each order carries a fencing token and is sent only within the leader's lease. Engines that check the token refuse
 * orders with an older one. For other engines, a new leader first waits until all orders of earlier leaders have expired.
 */
import type { FencingToken, ModelLayerRange, Placement } from "@crankfork/schemas";
import { ExchangeError } from "../../connection/httpClient.js";
import type { ConfigurationView } from "../../version/activeConfiguration.js";
import type { EventFields } from "../eventLog.js";
import type { ReplicaHost } from "../replicaHost.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { runForEach } from "../startTask.js";
import type { UpstreamState } from "./upstreamState.js";
import type { UpstreamTable } from "./upstreamTable.js";

/** Dependencies of the reconciler. */
export interface PlacementReconcilerOptions {
    readonly host: ReplicaHost;
    readonly upstreams: UpstreamTable;
    readonly getView: () => ConfigurationView;
    /** Maximum remaining lease of an earlier leader, in milliseconds. */
    readonly leaseMs: number;
    readonly record: (event: string, fields: EventFields) => void;
}

const RECONCILE_INTERVAL_MS = 200;
/** Time after which an order expires, from when it was sent. */
const ORDER_TTL_MS = 1_000;

/** Sends orders to engines whose layers differ from the configuration. */
export class PlacementReconciler {
    private stopTask: StopPeriodicTask | undefined;
    private leaderTerm = 0;
    private leaderSinceMs = 0;
    private readonly pending = new Set<string>();

    /**
     * @param options - dependencies
     */
    constructor(private readonly options: PlacementReconcilerOptions) {}

    /** Starts the periodic reconciliation. */
    start(): void {
        this.stopTask = startPeriodicTask("placement", RECONCILE_INTERVAL_MS, () => {
            this.reconcile();
        });
    }

    /** Stops the reconciliation. */
    stop(): void {
        this.stopTask?.();
    }

    private reconcile(): void {
        const { host, upstreams, getView } = this.options;
        const status = host.replica.getStatus();
        if (!host.replica.hasLeaderLease()) {
            return;
        }
        if (status.term !== this.leaderTerm) {
            this.leaderTerm = status.term;
            this.leaderSinceMs = performance.now();
        }
        const { placements } = getView().configuration;
        const wantedByUpstream = groupByUpstream(placements);
        runForEach("layer-order", upstreams.getAll(), async (state) => {
            const wanted = wantedByUpstream.get(state.upstream.name) ?? [];
            if (this.isOrderDue(state, wanted)) {
                await this.send(state, wanted, { term: status.term, index: status.commitIndex });
            }
        });
    }

    private isOrderDue(state: UpstreamState, wanted: readonly ModelLayerRange[]): boolean {
        const isResting = state.backoff.isBackingOff(performance.now());
        if (state.engine === undefined || state.lastStatus === undefined || state.isLeaving || isResting) {
            return false;
        }
        const isSafe = state.upstream.checks_fence
            || performance.now() - this.leaderSinceMs >= this.options.leaseMs + ORDER_TTL_MS;
        return isSafe && !this.pending.has(state.upstream.name) && !hasSameRanges(state.holds, wanted);
    }

    private async send(state: UpstreamState, wanted: readonly ModelLayerRange[], fence: FencingToken): Promise<void> {
        const { host, record, upstreams } = this.options;
        const peer = state.upstream.name;
        // The process may have been suspended since the round began, so the lease is checked again directly before sending.
        if (!host.replica.hasLeaderLease()) {
            return;
        }
        this.pending.add(peer);
        try {
            const answer = await state.engine?.sendOrder({ fence, life_ms: ORDER_TTL_MS, holds: [...wanted] });
            const layers = wanted.map((range) =>
                `${range.model}:${String(range.first_layer)}-${String(range.end_layer - 1)}`
            );
            record(answer?.kind === "accepted" ? "order-accepted" : "order-fenced", {
                peer,
                layers: layers.join(","),
                term: fence.term,
            });
        }
        catch (error) {
            if (error instanceof ExchangeError && error.retryAfterMs !== undefined) {
                upstreams.recordRest(state, error.retryAfterMs);
            }
            record("order-failed", { peer, reason: error instanceof Error ? error.message : String(error) });
        }
        finally {
            this.pending.delete(peer);
        }
    }
}

function groupByUpstream(placements: readonly Placement[]): ReadonlyMap<string, readonly ModelLayerRange[]> {
    const ranges = new Map<string, ModelLayerRange[]>();
    for (const { upstream, ...range } of placements) {
        ranges.set(upstream, [...ranges.get(upstream) ?? [], range]);
    }
    return ranges;
}

function hasSameRanges(left: readonly ModelLayerRange[], right: readonly ModelLayerRange[]): boolean {
    return formatRanges(left) === formatRanges(right);
}

function formatRanges(ranges: readonly ModelLayerRange[]): string {
    return ranges.map((range) =>
        `${range.model}@${range.version}:${String(range.first_layer)}-${String(range.end_layer)}`
    )
        .sort()
        .join(" ");
}
