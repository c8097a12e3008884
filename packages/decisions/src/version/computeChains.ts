/**
 * Paths through the engines that run every layer once and in order, with what a request costs on each.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";

/** An engine that holds layers. */
export interface HoldingEngine {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly accelerator: string;
    readonly span: LayerSpan;
    /** How many times slower it is than its accelerator should be. */
    readonly slowness: number;
}

/** One engine's part of a path. */
export interface ChainStage {
    readonly engine: HoldingEngine;
    readonly span: LayerSpan;
}

/** A path over all layers. */
export interface Chain {
    /** Names the path: the ids of its engines. */
    readonly id: string;
    readonly stages: readonly ChainStage[];
    /** Time of one token step of one request, in milliseconds. */
    readonly stepMs: number;
    /** Time to read one token of a prompt, in milliseconds. */
    readonly readMs: number;
    /** Tokens of context that its tightest stage has room for. */
    readonly contextTokens: number;
}

/** Cost of a crossing in the search, in milliseconds of a step: so high that one is taken only where nothing is left. */
const CROSSING_COST_MS = 1_000;
/** Cost of one more stage, so that of two equal paths the shorter is taken. */
const STAGE_COST_MS = 0.01;
const BYTES_A_MB = 1_000_000;
const MS_A_SECOND = 1_000;

/**
 * Computes paths, fastest first in each failure domain. They share no engine, but for those that begin at copies of a
 * first stage: these share the later stages.
 * @param engines - engines that work may be sent to
 * @param profile - the model and the accelerators
 * @returns paths inside failure domains; where there is none at all, one path across them if there is any
 */
export function computeChains(engines: readonly HoldingEngine[], profile: EngineProfile): readonly Chain[] {
    const domains = [...new Set(engines.map((engine) => engine.failureDomain))].sort();
    const inside = domains.flatMap((domain) => {
        const here = engines.filter((engine) => engine.failureDomain === domain);
        return addSharingChains(computeDisjointChains(here, profile), here, profile);
    });
    return inside.length > 0 ? inside : computeDisjointChains(engines, profile).slice(0, 1);
}

/** Adds a path for each engine that is left over and holds a copy of the first stage of one. */
function addSharingChains(
    chains: readonly Chain[],
    engines: readonly HoldingEngine[],
    profile: EngineProfile,
): readonly Chain[] {
    const used = new Set(chains.flatMap((chain) => chain.stages.map((stage) => stage.engine.id)));
    const groups = chains.map((chain) => [chain]);
    engines.filter(({ id, span }) => !used.has(id) && span.first === 0).forEach((engine) => {
        const [group] = groups
            .filter(([chain]) => chain?.stages[0]?.span.end === engine.span.end)
            .sort((left, right) => left.length - right.length);
        const [model] = group ?? [];
        if (model !== undefined) {
            group?.push(createChain([{ engine, span: engine.span }, ...model.stages.slice(1)], profile));
        }
    });
    return groups.flatMap((group) => group.map((chain) => shareContext(chain, group.length)));
}

/** The memory of the later stages is divided evenly among the paths that share them. */
function shareContext(chain: Chain, paths: number): Chain {
    return { ...chain, contextTokens: chain.contextTokens / paths };
}

function computeDisjointChains(engines: readonly HoldingEngine[], profile: EngineProfile): readonly Chain[] {
    const chains: Chain[] = [];
    let free = engines;
    for (let chain = findChain(free, profile); chain !== undefined; chain = findChain(free, profile)) {
        chains.push(chain);
        const used = new Set(chain.stages.map((stage) => stage.engine.id));
        free = free.filter((engine) => !used.has(engine.id));
    }
    return chains;
}

interface Step {
    readonly costMs: number;
    readonly stage: ChainStage;
    readonly previous: Step | undefined;
}

/** Shortest path over the layers at which some engine's part begins or ends (Bellman's principle). */
function findChain(engines: readonly HoldingEngine[], profile: EngineProfile): Chain | undefined {
    const bounds = new Set([0, profile.layers, ...engines.flatMap(({ span }) => [span.first, span.end])]);
    const layers = [...bounds].filter((layer) => layer <= profile.layers).sort((left, right) => left - right);
    const best = new Map<number, Step | undefined>([[0, undefined]]);
    for (const from of layers) {
        if (!best.has(from)) {
            continue;
        }
        const here = best.get(from);
        engines.filter(({ span }) => span.first <= from && span.end > from).forEach((engine) => {
            if (hasVisited(here, engine.id)) {
                return;
            }
            layers.filter((to) => to > from && to <= engine.span.end).forEach((to) => {
                const stage = { engine, span: { first: from, end: to } };
                const costMs = (here?.costMs ?? 0) + computeStageCostMs(stage, here?.stage, profile);
                const known = best.get(to);
                if (known === undefined || costMs < known.costMs) {
                    best.set(to, { costMs, stage, previous: here });
                }
            });
        });
    }
    const last = best.get(profile.layers);
    return last === undefined ? undefined : createChain(listStages(last), profile);
}

function hasVisited(step: Step | undefined, id: string): boolean {
    return step !== undefined && (step.stage.engine.id === id || hasVisited(step.previous, id));
}

function listStages(last: Step): readonly ChainStage[] {
    const stages: ChainStage[] = [];
    for (let step: Step | undefined = last; step !== undefined; step = step.previous) {
        stages.unshift(step.stage);
    }
    return stages;
}

function computeStageCostMs(stage: ChainStage, previous: ChainStage | undefined, profile: EngineProfile): number {
    const isCrossing = previous !== undefined && previous.engine.failureDomain !== stage.engine.failureDomain;
    return computeStepMs(stage, profile) + STAGE_COST_MS + (isCrossing ? CROSSING_COST_MS : 0);
}

function computeShare(span: LayerSpan, profile: EngineProfile): number {
    return (span.end - span.first) / profile.layers;
}

function getAccelerator(engine: HoldingEngine, profile: EngineProfile): EngineProfile["accelerators"][number] {
    const known = profile.accelerators.find((one) => one.name === engine.accelerator);
    return known ?? { name: engine.accelerator, memory_mb: profile.layer_mb, step_factor: 1, read_factor: 1 };
}

function computeStepMs(stage: ChainStage, profile: EngineProfile): number {
    const { step_factor } = getAccelerator(stage.engine, profile);
    return computeShare(stage.span, profile) * profile.step_ms * step_factor * stage.engine.slowness;
}

function computeReadMs(stage: ChainStage, profile: EngineProfile): number {
    const { read_factor } = getAccelerator(stage.engine, profile);
    const msAToken = read_factor * stage.engine.slowness * MS_A_SECOND / profile.read_tokens_a_second;
    return computeShare(stage.span, profile) * msAToken;
}

function computeContextTokens(stage: ChainStage, profile: EngineProfile): number {
    const { span } = stage.engine;
    const freeMb = getAccelerator(stage.engine, profile).memory_mb - (span.end - span.first) * profile.layer_mb;
    const bytesAToken = (stage.span.end - stage.span.first) * profile.token_bytes / profile.layers;
    return bytesAToken === 0 ? Number.MAX_SAFE_INTEGER : Math.max(0, freeMb) * BYTES_A_MB / bytesAToken;
}

function createChain(stages: readonly ChainStage[], profile: EngineProfile): Chain {
    return {
        id: stages.map((stage) => stage.engine.id).join("+"),
        stages,
        stepMs: stages.reduce((sum, stage) => sum + computeStepMs(stage, profile), 0),
        readMs: stages.reduce((sum, stage) => sum + computeReadMs(stage, profile), 0),
        contextTokens: Math.min(...stages.map((stage) => computeContextTokens(stage, profile))),
    };
}
