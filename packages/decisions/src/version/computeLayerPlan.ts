/**
 * Which layers each engine of a failure domain is to hold.
 *
 * A token visits every stage of its path, so what stages hand on must not cross the pipes between failure domains, and
 * a path is as slow as its stages together: the fastest engines are gathered into few short paths inside each failure
 * domain (figures: docs/design/layer-plan.md). Engines that hold layers keep them; a gap is filled by the fastest
 * empty engine, so that a lost stage costs the fewest loads.
 *
 * Paths are filled from the last layer down, so that their first stage is the smallest, on the slowest engine. Engines
 * that are left over hold copies of it. Each copy begins a path of its own, which shares the later stages: while one
 * path's pass is in a later stage, another's is in the first (pipelining by small batches, as in GPipe, Huang et al.,
 * 2019).
 */
import type { Accelerator, EngineProfile, LayerSpan } from "@crankfork/schemas";
import type { AssignableEngine, LayerOrder } from "./assignableEngine.js";
import { chooseFasterHolder } from "./chooseFasterHolder.js";
import { computeLayerCapacity, TIGHT_CONTEXT_SHARE } from "./computeLayerCapacity.js";
import { fillChains, type FilledChains } from "./fillChains.js";
import type { LayerCoverage } from "./layerCoverage.js";

/**
 * An engine that is so many times slower than it should be is covered by others where these are faster than it is now:
 * the slowest cards of the users' fleets are five times slower than the fastest, so a little slowness is no reason.
 */
const SLOW = 2;

/** An engine as the plan sees it. */
export interface PlannedEngine {
    readonly id: string;
    readonly failureDomain: string;
    readonly accelerator: string;
    /** Layers that it holds, or that it was ordered to hold; undefined for an empty engine. */
    readonly span: LayerSpan | undefined;
    /** How many times slower it is than its accelerator should be. */
    readonly slowness: number;
    /** Whether an order may be sent to it now. */
    readonly mayBeOrdered: boolean;
}

/**
 * Computes what empty engines, and those that others can do without, are to take.
 * @param engines - engines of one service that are alive
 * @param profile - the model and the accelerators
 * @returns orders; none where the fleet holds what it can
 */
export function computeLayerPlan(engines: readonly PlannedEngine[], profile: EngineProfile): readonly LayerOrder[] {
    const domains = [...new Set(engines.map((engine) => engine.failureDomain))].sort();
    const plans = domains.map((domain) =>
        fillGroup(engines.filter((engine) => engine.failureDomain === domain), profile)
    );
    const whole = plans.filter(({ filled }) => filled.isComplete);
    const short = plans.filter(({ filled }) => !filled.isComplete);
    const orders = [...whole.flatMap((plan) => completeGroup(plan, profile)), ...fillAcross(short, profile)];
    const mayBeOrdered = new Set(engines.filter((engine) => engine.mayBeOrdered).map(({ id }) => id));
    return orders.filter(({ id }) => mayBeOrdered.has(id));
}

/** Nothing is known of it: it keeps what it holds and takes nothing. */
const UNKNOWN_ACCELERATOR: Omit<Accelerator, "name"> = { memory_mb: 0, step_factor: 1, read_factor: 1 };

/** Engines that make up paths together, and how their gaps are filled. */
interface GroupPlan {
    readonly sound: readonly PlannedEngine[];
    readonly all: readonly AssignableEngine[];
    readonly free: readonly AssignableEngine[];
    readonly filled: FilledChains;
}

function fillGroup(engines: readonly PlannedEngine[], profile: EngineProfile): GroupPlan {
    const all = listEngines(engines, profile);
    const sound = listSoundEngines(engines, all);
    const free = all.filter(({ id }) => sound.some((engine) => engine.id === id));
    return { sound, all, free, filled: fillChains(free, profile.layers) };
}

/** Adds an upgrade and copies to what fills the gaps of a failure domain. */
function completeGroup({ sound, all, filled }: GroupPlan, profile: EngineProfile): readonly LayerOrder[] {
    const { orders, rest, loaded, chains: paths } = filled;
    const copies = copyFirstStages(listHeld(sound, orders), listIdle(rest, loaded, paths));
    // One at a time, and while nothing else is under way: each changes what the next is worth.
    const upgrade = paths > 0 && orders.length === 0 && all.every((engine) => engine.mayBeOrdered)
        ? chooseFasterHolder(rest, profile.layers)
        : undefined;
    const others = copies.filter(({ id }) => id !== upgrade?.id);
    return [...orders, ...(upgrade === undefined ? [] : [upgrade]), ...others];
}

/**
 * Plans the failure domains that don't hold the model as one, those with the most room first, so that a path crosses as
 * seldom as may be. Such paths get no copies: the pipes bound them.
 */
function fillAcross(short: readonly GroupPlan[], profile: EngineProfile): readonly LayerOrder[] {
    const free = [...short].sort((left, right) => countRoom(right) - countRoom(left)).flatMap((plan) => plan.free);
    const empty = free.filter(({ span }) => span === undefined);
    const holding = free.filter(({ span }) => span !== undefined);
    return fillChains([...empty, ...holding], profile.layers).orders;
}

function countRoom({ free }: GroupPlan): number {
    return free.reduce((sum, { layerCapacity: room }) => sum + room, 0);
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
    })).filter(({ layerCapacity: room, span }) => room > 0 || span !== undefined);
}

/** A slow engine counts as long as nothing that could take its layers is faster. */
function listSoundEngines(
    engines: readonly PlannedEngine[],
    all: readonly AssignableEngine[],
): readonly PlannedEngine[] {
    const sound = engines.filter(({ slowness }) => slowness < SLOW);
    const isSound = new Set(sound.map(({ id }) => id));
    const held = sound.flatMap(({ span }) => span ?? []);
    const takers = all.filter(({ id, span }) =>
        isSound.has(id) && (span === undefined || countEqualSpans(held, span) > 1)
    );
    const fastest = Math.min(...takers.map(({ stepFactor }) => stepFactor));
    const slow = engines.filter(({ id, span }) => {
        const stepFactor = all.find((one) => one.id === id)?.stepFactor ?? Number.POSITIVE_INFINITY;
        return !isSound.has(id) && span !== undefined && stepFactor <= fastest;
    });
    return [...sound, ...slow];
}

function countEqualSpans(spans: readonly LayerSpan[], span: LayerSpan): number {
    return spans.filter(({ first, end }) => first === span.first && end === span.end).length;
}

/**
 * Empty engines, and those whose layers more engines hold than there are paths: what filled a gap or stood in for a slow
 * engine is of no use once that is back.
 */
function listIdle(
    free: readonly AssignableEngine[],
    loaded: LayerCoverage,
    paths: number,
): readonly AssignableEngine[] {
    const left = loaded.copy();
    const idle = free.filter(({ span }) => span !== undefined).reverse().filter(({ span, mayBeOrdered }) => {
        const isIdle = span !== undefined && span.first > 0 && mayBeOrdered && left.isCovered(span, paths + 1);
        if (isIdle) {
            left.remove(span);
        }
        return isIdle;
    });
    return [...free.filter(({ span }) => span === undefined), ...(paths > 0 ? idle : [])];
}

function listHeld(engines: readonly PlannedEngine[], orders: readonly LayerOrder[]): readonly LayerSpan[] {
    const ordered = new Map(orders.map(({ id, span }) => [id, span]));
    return engines.flatMap(({ id, span }) => ordered.get(id) ?? span ?? []);
}

/** Idle engines hold copies of first stages, those that have the fewest first. */
function copyFirstStages(held: readonly LayerSpan[], idle: readonly AssignableEngine[]): readonly LayerOrder[] {
    const ends = held.filter(({ first }) => first === 0).map(({ end }) => end);
    return idle.flatMap(({ id, layerCapacity: room }) => {
        const fitting = [...new Set(ends)].filter((end) => end <= room);
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
