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
import { chooseUpgrade } from "./chooseUpgrade.js";
import { fillPaths } from "./fillPaths.js";
import type { FreeEngine, LayerOrder } from "./freeEngine.js";
import type { LayerCoverage } from "./layerCoverage.js";

/**
 * Part of the profile's tokens of context for which an engine keeps memory free beside its layers. More than all of it:
 * after a loss the others take its requests, and the fastest engines, which hold the most layers, run out of memory
 * first. With 1 in place of 1.25 twice as many requests were refused for good (0.7 in 100 for 0.3, mean of seven
 * loaded days with faults).
 */
const CONTEXT_SHARE = 1.25;

/**
 * The same for an engine that fills a gap which can't be closed otherwise. A path with room for half as many requests is
 * better than none: where the fastest engine of a failure domain was lost, three others reached over 24 of its 28 layers,
 * and no path ran there for 5.4 s.
 */
const TIGHT_CONTEXT_SHARE = 0.5;

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
 * @returns orders; none where every failure domain holds what it can
 */
export function computeLayerPlan(engines: readonly PlannedEngine[], profile: EngineProfile): readonly LayerOrder[] {
    const domains = new Set(engines.map((engine) => engine.failureDomain));
    return [...domains].sort().flatMap((domain) =>
        computeDomainPlan(engines.filter((engine) => engine.failureDomain === domain), profile)
    );
}

/**
 * Computes how many layers an accelerator holds beside the memory for requests.
 * @param accelerator - its memory
 * @param profile - sizes of layers and tokens
 * @param contextShare - part of the profile's tokens that it keeps memory for
 * @returns whole layers; 0 where not one fits
 */
export function computeLayerRoom(
    accelerator: Accelerator,
    profile: EngineProfile,
    contextShare: number = CONTEXT_SHARE,
): number {
    const contextMb = profile.capacity_tokens * contextShare * profile.token_bytes / profile.layers / BYTES_A_MB;
    return Math.min(profile.layers, Math.floor(accelerator.memory_mb / (profile.layer_mb + contextMb)));
}

const BYTES_A_MB = 1_000_000;
/** Nothing is known of it: it keeps what it holds and takes nothing. */
const UNKNOWN_ACCELERATOR: Omit<Accelerator, "name"> = { memory_mb: 0, step_factor: 1, read_factor: 1 };

function computeDomainPlan(engines: readonly PlannedEngine[], profile: EngineProfile): readonly LayerOrder[] {
    const all = listEngines(engines, profile);
    const sound = listSoundEngines(engines, all);
    const free = all.filter(({ id }) => sound.some((engine) => engine.id === id));
    const { orders, rest, loaded, paths } = fillPaths(free, profile.layers);
    const held = listHeld(sound, orders);
    const copies = copyFirstStages(held, listIdle(rest, loaded, paths));
    const mayBeOrdered = new Set(engines.filter((engine) => engine.mayBeOrdered).map(({ id }) => id));
    // One at a time, and while nothing else is under way: each changes what the next is worth.
    const upgrade = paths > 0 && orders.length === 0 && all.every((engine) => engine.mayBeOrdered)
        ? chooseUpgrade(rest, profile.layers)
        : undefined;
    const others = copies.filter(({ id }) => id !== upgrade?.id);
    return [...orders, ...(upgrade === undefined ? [] : [upgrade]), ...others].filter(({ id }) => mayBeOrdered.has(id));
}

/** Empty engines, the fastest first, then those that hold layers; without those that can't hold any. */
function listEngines(engines: readonly PlannedEngine[], profile: EngineProfile): readonly FreeEngine[] {
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
        room: computeLayerRoom(accelerator, profile),
        tightRoom: computeLayerRoom(accelerator, profile, TIGHT_CONTEXT_SHARE),
        stepFactor: accelerator.step_factor * engine.slowness,
        mayBeOrdered: engine.mayBeOrdered,
        span: engine.span,
    })).filter(({ room, span }) => room > 0 || span !== undefined);
}

/** A slow engine counts as long as nothing that could take its layers is faster. */
function listSoundEngines(engines: readonly PlannedEngine[], all: readonly FreeEngine[]): readonly PlannedEngine[] {
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
function listIdle(free: readonly FreeEngine[], loaded: LayerCoverage, paths: number): readonly FreeEngine[] {
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
function copyFirstStages(held: readonly LayerSpan[], idle: readonly FreeEngine[]): readonly LayerOrder[] {
    const ends = held.filter(({ first }) => first === 0).map(({ end }) => end);
    return idle.flatMap(({ id, room }) => {
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
