/**
 * Which upstream holds which layers. See docs/design/placement.md.
 *
 * Engines are grouped into pipelines, the fastest first, each just large enough for the model. Inside a pipeline layers
 * are split by speed, so that the slowest stage is as fast as memory allows. Remaining engines replicate the slowest
 * stages that fit them.
 */
import type { Model, Placement, Upstream } from "@crankfork/schemas";

/** Why a model can't be placed. */
export interface PlacementFault {
    readonly model: string;
    readonly neededLayers: number;
    readonly foundLayers: number;
}

/** Placements, and the models that could not be placed. */
export interface PlacementResult {
    readonly placements: readonly Placement[];
    readonly faults: readonly PlacementFault[];
}

/**
 * Computes placements for all models.
 * @param models - the models
 * @param upstreams - all upstreams; those that are not engines are ignored
 * @param present - placements in force; kept where they still serve, so that few layers move
 * @returns placements, and a fault for each model that does not fit
 */
export function computePlacement(
    models: readonly Model[],
    upstreams: readonly Upstream[],
    present: readonly Placement[],
): PlacementResult {
    const engines = upstreams.filter((upstream) => upstream.kind === "engine");
    const shares = splitEngines(models, engines, present);
    const placements: Placement[] = [];
    const faults: PlacementFault[] = [];
    for (const [index, model] of models.entries()) {
        const share = shares[index] ?? [];
        const kept = getKeptPlacements(model, share, present);
        const computed = kept ?? computeModelPlacement(model, share);
        placements.push(...computed);
        if (computed.length === 0) {
            faults.push({ model: model.name, neededLayers: model.layers, foundLayers: countMemory(share) });
        }
    }
    return { placements, faults };
}

/**
 * Splits layers over the stages of one pipeline.
 * @param engines - the engines in the order of the pipeline
 * @param layers - layers to split
 * @returns layers for each engine, in proportion to speed within memory; undefined where they don't fit
 */
export function splitLayers(engines: readonly Upstream[], layers: number): readonly number[] | undefined {
    if (countMemory(engines) < layers) {
        return undefined;
    }
    const counts = computeLeastShares(engines, layers);
    for (let layer = counts.reduce((sum, count) => sum + count, 0); layer < layers; layer += 1) {
        const next = findLeastLoaded(engines, counts);
        counts[next] = (counts[next] ?? 0) + 1;
    }
    return counts;
}

/**
 * Layers that each stage gets in any case, by speed and memory: all but a few per stage, so that the time to split does not depend
 * on the number of layers.
 */
function computeLeastShares(engines: readonly Upstream[], layers: number): number[] {
    const counts = engines.map(() => 0);
    for (let isOneFilled = true; isOneFilled;) {
        const open = engines.map((engine, index) => ({ engine, index }))
            .filter(({ engine, index }) => (counts[index] ?? 0) < engine.memory_layers);
        const isOpen = new Set(open.map(({ index }) => index));
        const filled = counts.reduce((sum, count, index) => isOpen.has(index) ? sum : sum + count, 0);
        // Speeds relative to the fastest, whose sum is finite.
        const fastest = open.reduce((most, { engine }) => Math.max(most, engine.speed), 0);
        const speeds = open.reduce((sum, { engine }) => sum + engine.speed / fastest, 0);
        // One layer per stage is kept back for rounding.
        const left = Math.max(0, layers - filled - open.length);
        isOneFilled = false;
        for (const { engine, index } of open) {
            const share = Math.floor(left * (engine.speed / fastest) / speeds);
            counts[index] = Math.min(engine.memory_layers, share);
            isOneFilled ||= share >= engine.memory_layers;
        }
    }
    return counts;
}

/** The stage that would be fastest with one more layer, among those with memory left. */
function findLeastLoaded(engines: readonly Upstream[], counts: readonly number[]): number {
    let best = -1;
    let bestTime = Number.POSITIVE_INFINITY;
    engines.forEach((engine, index) => {
        const count = counts[index] ?? 0;
        const time = (count + 1) / engine.speed;
        if (count < engine.memory_layers && (best === -1 || time < bestTime)) {
            best = index;
            bestTime = time;
        }
    });
    return best;
}

/** Engines stay with the model that they serve now; others go to the model with the least memory for its layers. */
function splitEngines(
    models: readonly Model[],
    engines: readonly Upstream[],
    present: readonly Placement[],
): readonly Upstream[][] {
    const shares: Upstream[][] = models.map(() => []);
    const modelOf = new Map(present.map((placement) => [placement.upstream, placement.model]));
    for (const engine of [...engines].sort(compareEngines)) {
        const presentIndex = models.findIndex((model) => model.name === modelOf.get(engine.name));
        const index = presentIndex === -1 ? findLeastCovered(models, shares) : presentIndex;
        shares[index]?.push(engine);
    }
    return shares;
}

function findLeastCovered(models: readonly Model[], shares: readonly Upstream[][]): number {
    const coverage = models.map((model, index) => countMemory(shares[index] ?? []) / model.layers);
    return coverage.indexOf(Math.min(...coverage));
}

function getKeptPlacements(
    model: Model,
    engines: readonly Upstream[],
    present: readonly Placement[],
): readonly Placement[] | undefined {
    const kept = present.filter((one) => one.model === model.name && one.version === model.version);
    const fits = kept.every((one) => {
        const engine = engines.find((candidate) => candidate.name === one.upstream);
        return engine !== undefined && one.end_layer - one.first_layer <= engine.memory_layers;
    });
    const isWhole = kept.length === engines.length && hasAllLayers(kept, model.layers);
    return fits && isWhole ? kept : undefined;
}

function hasAllLayers(placements: readonly Placement[], layers: number): boolean {
    const reached = new Set([0]);
    const sorted = [...placements].sort((left, right) => left.first_layer - right.first_layer);
    for (const { first_layer, end_layer } of sorted) {
        if (reached.has(first_layer)) {
            reached.add(end_layer);
        }
    }
    return reached.has(layers);
}

function computeModelPlacement(model: Model, engines: readonly Upstream[]): readonly Placement[] {
    const placements: Placement[] = [];
    let rest = [...engines].sort(compareEngines);
    for (;;) {
        const pipeline = takePipeline(rest, model.layers);
        const counts = pipeline === undefined ? undefined : splitLayers(pipeline, model.layers);
        if (pipeline === undefined || counts === undefined) {
            break;
        }
        placements.push(...createStages(model, pipeline, counts));
        rest = rest.filter((engine) => !pipeline.includes(engine));
    }
    return placements.length === 0 ? [] : [...placements, ...addSlowStageReplicas(placements, rest, engines)];
}

/** Takes engines of one failure domain where they suffice: hops inside it are short. */
function takePipeline(engines: readonly Upstream[], layers: number): readonly Upstream[] | undefined {
    const domains = [...new Set(engines.map((engine) => engine.failure_domain))];
    for (const domain of domains) {
        const local = engines.filter((engine) => engine.failure_domain === domain);
        if (countMemory(local) >= layers) {
            return takeEnough(local, layers);
        }
    }
    return countMemory(engines) >= layers ? takeEnough(engines, layers) : undefined;
}

function takeEnough(engines: readonly Upstream[], layers: number): readonly Upstream[] {
    const taken: Upstream[] = [];
    for (const engine of engines) {
        if (countMemory(taken) >= layers) {
            return taken;
        }
        taken.push(engine);
    }
    return taken;
}

function createStages(model: Model, pipeline: readonly Upstream[], counts: readonly number[]): readonly Placement[] {
    let layer = 0;
    return pipeline.flatMap((engine, index) => {
        const first_layer = layer;
        layer += counts[index] ?? 0;
        return layer === first_layer
            ? []
            : [{ upstream: engine.name, model: model.name, version: model.version, first_layer, end_layer: layer }];
    });
}

function addSlowStageReplicas(
    placements: readonly Placement[],
    rest: readonly Upstream[],
    engines: readonly Upstream[],
): readonly Placement[] {
    const speeds = new Map(engines.map((engine) => [engine.name, engine.speed]));
    const added: Placement[] = [];
    for (const engine of rest) {
        const fitting = placements.filter((one) => one.end_layer - one.first_layer <= engine.memory_layers);
        const loadOf = (one: Placement): number => computeStageTime(one, [...placements, ...added], speeds);
        const slowest = fitting.sort((left, right) => loadOf(right) - loadOf(left))[0];
        if (slowest !== undefined) {
            added.push({ ...slowest, upstream: engine.name });
        }
    }
    return added;
}

/** Time of a stage over the total speed of all holders of the same range. */
function computeStageTime(
    stage: Placement,
    all: readonly Placement[],
    speeds: ReadonlyMap<string, number>,
): number {
    const holders = all.filter((one) => one.first_layer === stage.first_layer && one.end_layer === stage.end_layer);
    const speed = holders.reduce((sum, holder) => sum + (speeds.get(holder.upstream) ?? 0), 0);
    return (stage.end_layer - stage.first_layer) / speed;
}

function countMemory(engines: readonly Upstream[]): number {
    return engines.reduce((sum, engine) => sum + engine.memory_layers, 0);
}

function compareEngines(left: Upstream, right: Upstream): number {
    return right.speed - left.speed || right.memory_layers - left.memory_layers || (left.name < right.name ? -1 : 1);
}
