/**
 * Assigns layers to the engines of each failure domain.
 *
 * A token visits every stage of its chain, so activations must not cross the links between failure domains, and a chain
 * is as slow as the sum of its stages: the fastest engines form few short chains inside each failure domain (figures:
 * docs/design/layer-plan.md). Engines that hold layers keep them; a gap is filled by the fastest empty engine, so that
 * a lost stage costs the fewest loads.
 *
 * Chains are filled from the last layer down, so that their first stage is the smallest, on the slowest engine. Unused
 * engines hold copies of it. Each copy begins a chain of its own that shares the later stages: while one chain's pass
 * is in a later stage, another's is in the first (pipelining with micro-batches, as in GPipe, Huang et al., 2019).
 */
import type { Accelerator, EngineProfile, LayerSpan } from "@crankfork/schemas";
import type { AssignableEngine, LayerOrder } from "./assignableEngine.js";
import { chooseFasterHolder } from "./chooseFasterHolder.js";
import { computeLayerCapacity, TIGHT_CONTEXT_SHARE } from "./computeLayerCapacity.js";
import { fillChains, type FilledChains } from "./fillChains.js";
import { hasLayers, isWithinModel } from "./isWithinModel.js";
import type { LayerCoverage } from "./layerCoverage.js";

/**
 * Slowness from which an engine's layers are assigned to other engines, where these are faster than it is now. Smaller
 * slowness is no reason: the slowest cards of the users' fleets are five times slower than the fastest.
 */
const SLOWNESS_THRESHOLD = 2;

/** An engine as an input of the plan. */
export interface PlannedEngine {
    readonly id: string;
    readonly failureDomain: string;
    readonly accelerator: string;
    /** Layers that it holds or was ordered to hold; undefined for an empty engine. */
    readonly span: LayerSpan | undefined;
    /** Factor by which it is slower than its accelerator should be. */
    readonly slowness: number;
    /** Whether an order may be sent to it now. */
    readonly mayBeOrdered: boolean;
}

/**
 * Computes orders for empty engines and for those whose layers others hold as well. Engines that report layers beyond the model
 * are left out.
 * @param live - live engines of one service
 * @param profile - the model and the accelerators
 * @returns orders; empty where no change is useful
 */
export function computeLayerPlan(live: readonly PlannedEngine[], profile: EngineProfile): readonly LayerOrder[] {
    if (!hasLayers(profile)) {
        return [];
    }
    const engines = live.filter(({ span }) => isWithinModel(span, profile));
    const domains = [...new Set(engines.map((engine) => engine.failureDomain))].sort();
    const plans = domains.map((domain) =>
        fillGroup(engines.filter((engine) => engine.failureDomain === domain), profile)
    );
    const complete = plans.filter(({ filled }) => filled.isComplete);
    const incomplete = plans.filter(({ filled }) => !filled.isComplete);
    const orders = [...complete.flatMap((plan) => completeGroup(plan, profile)), ...fillAcross(incomplete, profile)];
    const mayBeOrdered = new Set(engines.filter((engine) => engine.mayBeOrdered).map(({ id }) => id));
    return orders.filter(({ id }) => mayBeOrdered.has(id));
}

/** An engine with an unknown accelerator keeps what it holds and is assigned nothing. */
const UNKNOWN_ACCELERATOR: Omit<Accelerator, "name"> = { memory_mb: 0, step_factor: 1, read_factor: 1 };

/** Engines that form chains together, and the orders that fill their gaps. */
interface GroupPlan {
    readonly healthy: readonly PlannedEngine[];
    readonly all: readonly AssignableEngine[];
    readonly free: readonly AssignableEngine[];
    readonly filled: FilledChains;
}

function fillGroup(engines: readonly PlannedEngine[], profile: EngineProfile): GroupPlan {
    const all = listEngines(engines, profile);
    const healthy = listHealthyEngines(engines, all);
    const free = all.filter(({ id }) => healthy.some((engine) => engine.id === id));
    return { healthy, all, free, filled: fillChains(free, profile.layers) };
}

/** Adds a move to a faster engine and copies of first stages to the orders that fill the gaps of a failure domain. */
function completeGroup({ healthy, all, filled }: GroupPlan, profile: EngineProfile): readonly LayerOrder[] {
    const { orders, rest, loaded, chains } = filled;
    const copies = copyFirstStages(listHeld(healthy, orders), listIdle(rest, loaded, chains));
    // One at a time, and only while no other order is pending: each changes what the next is worth.
    const move = chains > 0 && orders.length === 0 && all.every((engine) => engine.mayBeOrdered)
        ? chooseFasterHolder(rest, profile.layers)
        : undefined;
    const others = copies.filter(({ id }) => id !== move?.id);
    return [...orders, ...(move === undefined ? [] : [move]), ...others];
}

/**
 * Plans the failure domains that can't hold the model alone as one group, those with the most capacity first, so that a
 * chain crosses as seldom as possible. Such chains get no copies: their throughput is bound by the links.
 */
function fillAcross(plans: readonly GroupPlan[], profile: EngineProfile): readonly LayerOrder[] {
    const free = [...plans].sort((left, right) => sumLayerCapacity(right) - sumLayerCapacity(left))
        .flatMap((plan) => plan.free);
    const empty = free.filter(({ span }) => span === undefined);
    const holding = free.filter(({ span }) => span !== undefined);
    return fillChains([...empty, ...holding], profile.layers).orders;
}

function sumLayerCapacity({ free }: GroupPlan): number {
    return free.reduce((sum, { layerCapacity }) => sum + layerCapacity, 0);
}

/** Empty engines, the fastest first, then those that hold layers; without those that can't hold any. */
function listEngines(engines: readonly PlannedEngine[], profile: EngineProfile): readonly AssignableEngine[] {
    const accelerators = new Map(profile.accelerators.map((one) => [one.name, one]));
    return engines.map((engine) => {
        const accelerator = accelerators.get(engine.accelerator)
            ?? { ...UNKNOWN_ACCELERATOR, name: engine.accelerator };
        return { engine, accelerator, cost: accelerator.step_factor * accelerator.read_factor };
    }).sort((left, right) =>
        Number(left.engine.span !== undefined) - Number(right.engine.span !== undefined)
        || left.cost - right.cost
        || left.engine.id.localeCompare(right.engine.id)
    ).map(({ engine, accelerator }) => ({
        id: engine.id,
        failureDomain: engine.failureDomain,
        layerCapacity: computeLayerCapacity(accelerator, profile),
        tightLayerCapacity: computeLayerCapacity(accelerator, profile, TIGHT_CONTEXT_SHARE),
        stepFactor: accelerator.step_factor * engine.slowness,
        mayBeOrdered: engine.mayBeOrdered,
        span: engine.span,
    })).filter(({ layerCapacity, span }) => layerCapacity > 0 || span !== undefined);
}

/** A slow engine stays in use while no engine that could take its layers is faster. */
function listHealthyEngines(
    engines: readonly PlannedEngine[],
    all: readonly AssignableEngine[],
): readonly PlannedEngine[] {
    const healthy = engines.filter(({ slowness }) => slowness < SLOWNESS_THRESHOLD);
    const healthyIds = new Set(healthy.map(({ id }) => id));
    const held = healthy.flatMap(({ span }) => span ?? []);
    const takers = all.filter(({ id, span }) =>
        healthyIds.has(id) && (span === undefined || countEqualSpans(held, span) > 1)
    );
    const fastest = takers.reduce((least, { stepFactor }) => Math.min(least, stepFactor), Number.POSITIVE_INFINITY);
    const slow = engines.filter(({ id, span }) => {
        const stepFactor = all.find((one) => one.id === id)?.stepFactor ?? Number.POSITIVE_INFINITY;
        return !healthyIds.has(id) && span !== undefined && stepFactor <= fastest;
    });
    return [...healthy, ...slow];
}

function countEqualSpans(spans: readonly LayerSpan[], span: LayerSpan): number {
    return spans.filter(({ first, end }) => first === span.first && end === span.end).length;
}

/**
 * Empty engines, and those whose layers are held more often than there are chains: an engine that filled a gap or
 * replaced a slow engine is not needed once that one is back.
 */
function listIdle(
    free: readonly AssignableEngine[],
    loaded: LayerCoverage,
    chains: number,
): readonly AssignableEngine[] {
    const left = loaded.copy();
    const idle = free.filter(({ span }) => span !== undefined).reverse().filter(({ span, mayBeOrdered }) => {
        const isIdle = span !== undefined && span.first > 0 && mayBeOrdered && left.isCovered(span, chains + 1);
        if (isIdle) {
            left.remove(span);
        }
        return isIdle;
    });
    return [...free.filter(({ span }) => span === undefined), ...(chains > 0 ? idle : [])];
}

function listHeld(engines: readonly PlannedEngine[], orders: readonly LayerOrder[]): readonly LayerSpan[] {
    const ordered = new Map(orders.map(({ id, span }) => [id, span]));
    return engines.flatMap(({ id, span }) => ordered.get(id) ?? span ?? []);
}

/** Idle engines hold copies of first stages, those with the fewest copies first. */
function copyFirstStages(held: readonly LayerSpan[], idle: readonly AssignableEngine[]): readonly LayerOrder[] {
    const ends = held.filter(({ first }) => first === 0).map(({ end }) => end);
    return idle.flatMap(({ id, layerCapacity }) => {
        const fitting = [...new Set(ends)].filter((end) => end <= layerCapacity);
        const [end] = fitting.sort((left, right) => countEqual(ends, left) - countEqual(ends, right));
        if (end === undefined) {
            return [];
        }
        ends.push(end);
        return [{ id, span: { first: 0, end } }];
    });
}

function countEqual(values: readonly number[], value: number): number {
    return values.filter((one) => one === value).length;
}
