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
import { LayerCoverage } from "./layerCoverage.js";

/**
 * Part of the profile's tokens of context for which an engine keeps memory free beside its layers. All of it: with
 * less the fastest cards run out of memory first, and the rounding to whole layers costs nothing more.
 */
const CONTEXT_SHARE = 1;

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

/** An engine is to take layers; what it held before is given up. */
export interface LayerOrder {
    readonly id: string;
    readonly span: LayerSpan;
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
 * @returns whole layers; 0 where not one fits
 */
export function computeLayerRoom(accelerator: Accelerator, profile: EngineProfile): number {
    const contextMb = profile.capacity_tokens * CONTEXT_SHARE * profile.token_bytes / profile.layers / BYTES_A_MB;
    return Math.min(profile.layers, Math.floor(accelerator.memory_mb / (profile.layer_mb + contextMb)));
}

const BYTES_A_MB = 1_000_000;

/** An engine that may take layers, or more than it holds. */
export interface FreeEngine {
    readonly id: string;
    /** Layers that it holds beside the memory for requests. */
    readonly room: number;
    /** Time of a step against the fastest accelerator there could be; grows with the engine's slowness. */
    readonly stepFactor: number;
    readonly mayBeOrdered: boolean;
    /** What it holds though others hold it as well; undefined for an empty engine. */
    readonly span: LayerSpan | undefined;
}

function computeDomainPlan(engines: readonly PlannedEngine[], profile: EngineProfile): readonly LayerOrder[] {
    const all = listEngines(engines, profile);
    const sound = listSoundEngines(engines, all);
    const coverage = new LayerCoverage(profile.layers, sound.flatMap(({ span }) => span ?? []));
    const loaded = new LayerCoverage(
        profile.layers,
        sound.flatMap(({ span, mayBeOrdered }) => mayBeOrdered ? span ?? [] : []),
    );
    let free = all.filter(({ id }) => sound.some((engine) => engine.id === id));
    const orders: LayerOrder[] = [];
    let paths = 0;
    // Each turn completes one more path; the last that can't be completed is not begun.
    for (;;) {
        const turn = fillUpTo({ coverage, loaded }, paths + 1, free);
        if (turn === undefined) {
            break;
        }
        paths += 1;
        orders.push(...turn);
        const used = new Set(turn.map(({ id }) => id));
        free = free.filter((engine) => !used.has(engine.id));
    }
    const held = listHeld(sound, orders);
    const copies = copyFirstStages(held, listIdle(free, loaded, paths));
    const mayBeOrdered = new Set(engines.filter((engine) => engine.mayBeOrdered).map(({ id }) => id));
    // One at a time, and while nothing else is under way: each changes what the next is worth.
    const upgrade = paths > 0 && orders.length === 0 && all.every((engine) => engine.mayBeOrdered)
        ? chooseUpgrade(free, profile.layers)
        : undefined;
    const others = copies.filter(({ id }) => id !== upgrade?.id);
    return [...orders, ...(upgrade === undefined ? [] : [upgrade]), ...others].filter(({ id }) => mayBeOrdered.has(id));
}

/** Empty engines, the fastest first, then those that hold layers. */
function listEngines(engines: readonly PlannedEngine[], profile: EngineProfile): readonly FreeEngine[] {
    const accelerators = new Map(profile.accelerators.map((one) => [one.name, one]));
    return engines.flatMap((engine) => {
        const accelerator = accelerators.get(engine.accelerator);
        const room = accelerator === undefined ? 0 : computeLayerRoom(accelerator, profile);
        return accelerator === undefined || room === 0
            ? []
            : [{ engine, room, accelerator, cost: accelerator.step_factor * accelerator.read_factor }];
    }).sort((left, right) =>
        Number(left.engine.span !== undefined) - Number(right.engine.span !== undefined)
        || left.cost - right.cost
        || left.engine.id.localeCompare(right.engine.id)
    ).map(({ engine, room, accelerator }) => ({
        id: engine.id,
        room,
        stepFactor: accelerator.step_factor * engine.slowness,
        mayBeOrdered: engine.mayBeOrdered,
        span: engine.span,
    }));
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

/** What is held or ordered, and what is held and loaded: only the latter can replace what is given up. */
interface Coverages {
    readonly coverage: LayerCoverage;
    readonly loaded: LayerCoverage;
}

/** Fills all layers that fewer than `depth` engines hold; undefined where the free engines don't reach. */
function fillUpTo(
    { coverage, loaded }: Coverages,
    depth: number,
    free: readonly FreeEngine[],
): readonly LayerOrder[] | undefined {
    const trial = coverage.copy();
    const trialLoaded = loaded.copy();
    const orders: LayerOrder[] = [];
    const used = new Set<string>();
    for (let gap = trial.findLastGap(depth); gap !== undefined; gap = trial.findLastGap(depth)) {
        const engine = free.find((one) => !used.has(one.id) && canBeTaken(one, trialLoaded, depth));
        if (engine === undefined) {
            if (depth > 1 || orders.length === 0) {
                return undefined;
            }
            // A first path that has a hole is filled as far as it goes: the next engine may close it.
            break;
        }
        const span = { first: Math.max(gap.first, gap.end - engine.room), end: gap.end };
        trial.remove(engine.span);
        trialLoaded.remove(engine.span);
        trial.add(span);
        used.add(engine.id);
        orders.push({ id: engine.id, span });
    }
    coverage.replaceBy(trial);
    loaded.replaceBy(trialLoaded);
    return orders;
}

/** An engine that holds layers is taken for a gap only where others hold all of them as well. */
function canBeTaken(engine: FreeEngine, loaded: LayerCoverage, depth: number): boolean {
    return engine.span === undefined || (engine.mayBeOrdered && loaded.isCovered(engine.span, depth + 1));
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
