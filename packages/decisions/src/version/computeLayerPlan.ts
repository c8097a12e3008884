/**
 * Which layers each engine of a failure domain is to hold.
 *
 * A token visits every stage of its path, so what stages hand on must not cross the pipes between failure domains, and
 * a path is as slow as its stages together: the fastest engines are gathered into few short paths inside each failure
 * domain (figures: docs/design/layer-plan.md). Engines that hold layers keep them; a gap is filled by the fastest
 * empty engine, so that a lost stage costs the fewest loads.
 */
import type { Accelerator, EngineProfile, LayerSpan } from "@crankfork/schemas";

/**
 * Part of the profile's tokens of context for which an engine keeps memory free beside its layers. All of it: with
 * less the fastest cards run out of memory first, and the rounding to whole layers costs nothing more.
 */
const CONTEXT_SHARE = 1;

/**
 * An engine that is so many times slower than it should be is passed over where an empty one can hold its layers: the
 * slowest cards of the users' fleets are five times slower than the fastest, so a little slowness is no reason.
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

/** An engine is to take layers. */
export interface LayerOrder {
    readonly id: string;
    readonly span: LayerSpan;
}

/**
 * Computes what empty engines are to take.
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

interface EmptyEngine {
    readonly id: string;
    readonly room: number;
    readonly mayBeOrdered: boolean;
}

function computeDomainPlan(engines: readonly PlannedEngine[], profile: EngineProfile): readonly LayerOrder[] {
    const coverage = new Array<number>(profile.layers).fill(0);
    engines.filter((engine) => engine.slowness < SLOW).forEach((engine) => {
        addCoverage(coverage, engine.span);
    });
    const empty = listEmptyEngines(engines, profile);
    const orders: LayerOrder[] = [];
    // Each turn completes one more path; the last that can't be completed is not begun.
    for (let depth = 1;; depth += 1) {
        const turn = fillUpTo(coverage, depth, empty);
        if (turn === undefined) {
            return orders;
        }
        orders.push(...turn.orders);
        empty.splice(0, empty.length, ...empty.filter((engine) => !turn.used.has(engine.id)));
    }
}

function listEmptyEngines(engines: readonly PlannedEngine[], profile: EngineProfile): EmptyEngine[] {
    const accelerators = new Map(profile.accelerators.map((one) => [one.name, one]));
    return engines.flatMap((engine) => {
        const accelerator = accelerators.get(engine.accelerator);
        const room = accelerator === undefined ? 0 : computeLayerRoom(accelerator, profile);
        return accelerator === undefined || engine.span !== undefined || room === 0 || engine.slowness >= SLOW
            ? []
            : [{ engine, room, step: accelerator.step_factor, read: accelerator.read_factor }];
    }).sort((left, right) =>
        left.step * left.read - right.step * right.read || left.engine.id.localeCompare(right.engine.id)
    ).map(({ engine, room }) => ({ id: engine.id, room, mayBeOrdered: engine.mayBeOrdered }));
}

interface FilledTurn {
    readonly orders: readonly LayerOrder[];
    readonly used: ReadonlySet<string>;
}

/** Fills all layers that fewer than `depth` engines hold; undefined where the empty engines don't reach. */
function fillUpTo(coverage: number[], depth: number, empty: readonly EmptyEngine[]): FilledTurn | undefined {
    const trial = [...coverage];
    const used = new Set<string>();
    const orders: LayerOrder[] = [];
    for (let gap = findGap(trial, depth); gap !== undefined; gap = findGap(trial, depth)) {
        const engine = empty.find((one) => !used.has(one.id));
        if (engine === undefined) {
            // A first path that has a hole is filled as far as it goes: the next engine may close it.
            return depth === 1 && used.size > 0 ? applyTurn(coverage, trial, orders, used) : undefined;
        }
        const span = { first: gap.first, end: Math.min(gap.end, gap.first + engine.room) };
        addCoverage(trial, span);
        used.add(engine.id);
        if (engine.mayBeOrdered) {
            orders.push({ id: engine.id, span });
        }
    }
    return applyTurn(coverage, trial, orders, used);
}

function applyTurn(
    coverage: number[],
    trial: readonly number[],
    orders: readonly LayerOrder[],
    used: ReadonlySet<string>,
): FilledTurn {
    coverage.splice(0, coverage.length, ...trial);
    return { orders, used };
}

function addCoverage(coverage: number[], span: LayerSpan | undefined): void {
    for (let layer = span?.first ?? 0; layer < (span?.end ?? 0); layer += 1) {
        coverage[layer] = (coverage[layer] ?? 0) + 1;
    }
}

function findGap(coverage: readonly number[], depth: number): LayerSpan | undefined {
    const first = coverage.findIndex((count) => count < depth);
    if (first === -1) {
        return undefined;
    }
    const length = coverage.slice(first).findIndex((count) => count >= depth);
    return { first, end: length === -1 ? coverage.length : first + length };
}
