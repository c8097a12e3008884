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
    readonly prefillMs: number;
    /** Tokens of context that its tightest stage has room for. */
    readonly contextTokens: number;
    /** Whether its stages are in more than one failure domain. */
    readonly isCrossDomain: boolean;
}

/** Cost of a crossing in the search, in milliseconds of a step: so high that one is taken only where nothing is left. */
const CROSSING_COST_MS = 1_000;
/** Cost of one more stage, so that of two equal paths the shorter is taken. */
const STAGE_COST_MS = 0.01;
const BYTES_A_MB = 1_000_000;
const MS_A_SECOND = 1_000;
const BITS_A_BYTE = 8;
/** Part of its time from which a pipe counts as busy: one more path would wait for it nearly all of its time. */
const BUSY_PIPE_SHARE = 0.9;

/**
 * Computes paths: inside each failure domain the fastest first, then across them what is left over. They share no
 * engine, but for those that begin at copies of a first stage: these share the later stages.
 *
 * Purpose of the paths across: where each failure domain is too small for the model there are no others, and where one
 * has lost a stage the rest of its engines go on beside a stage elsewhere.
 * @param engines - engines that work may be sent to
 * @param profile - the model and the accelerators
 * @returns paths
 */
export function computeChains(engines: readonly HoldingEngine[], profile: EngineProfile): readonly Chain[] {
    const domains = [...new Set(engines.map((engine) => engine.failureDomain))].sort();
    const inside = domains.flatMap((domain) =>
        computeDisjointChains(engines.filter((engine) => engine.failureDomain === domain), profile)
    );
    const shared = addSharingChains(inside, engines, profile);
    const rest = listUnused(engines, inside);
    const across = domains.length > 1 ? computeCrossingChains(rest, profile) : [];
    const used = new Set(across.flatMap((chain) => chain.stages.map(({ engine }) => engine.id)));
    return [...shared.filter(({ stages }) => !stages.some(({ engine }) => used.has(engine.id))), ...across];
}

function listUnused(engines: readonly HoldingEngine[], chains: readonly Chain[]): readonly HoldingEngine[] {
    const used = new Set(chains.flatMap((chain) => chain.stages.map((stage) => stage.engine.id)));
    return engines.filter(({ id }) => !used.has(id));
}

/**
 * Paths across failure domains, as many as keep the pipe between two of these busy. More would not read faster, and each
 * pass would wait for the activations of the others, so that prompts are read and hardly a token is written in time.
 */
function computeCrossingChains(engines: readonly HoldingEngine[], profile: EngineProfile): readonly Chain[] {
    const crossingMs = computeCrossingMs(profile);
    const busyShares = new Map<string, number>();
    const chains = computeDisjointChains(engines, profile).filter(({ stages, prefillMs: readMs }) => {
        const pipes = listPipes(stages);
        if (pipes.some((pipe) => (busyShares.get(pipe) ?? 0) >= BUSY_PIPE_SHARE)) {
            return false;
        }
        pipes.forEach((pipe) => busyShares.set(pipe, (busyShares.get(pipe) ?? 0) + crossingMs / readMs));
        return true;
    });
    return chains.map((chain) => sharePipes(chain, chains, crossingMs));
}

/** What crosses between two failure domains goes in turn, so that a path also waits for what the others hand on there. */
function sharePipes(chain: Chain, chains: readonly Chain[], crossingMs: number): Chain {
    const pipes = new Set(listPipes(chain.stages));
    const others = chains.filter((one) => one !== chain).flatMap(({ stages }) => listPipes(stages));
    const waitMs = others.filter((pipe) => pipes.has(pipe)).length * crossingMs;
    return { ...chain, prefillMs: chain.prefillMs + waitMs, stepMs: chain.stepMs + waitMs };
}

/** Names the two failure domains of each crossing. */
function listPipes(stages: readonly ChainStage[]): readonly string[] {
    return stages.slice(1).flatMap(({ engine }, index) => {
        const before = stages[index]?.engine.failureDomain ?? "";
        return before === engine.failureDomain ? [] : [[before, engine.failureDomain].sort().join(" ")];
    });
}

/** Time that one token's activations take from one failure domain to another, in milliseconds. */
function computeCrossingMs({ activation_bytes = 0, crossing_mbps }: EngineProfile): number {
    return crossing_mbps === undefined
        ? 0
        : activation_bytes * BITS_A_BYTE * MS_A_SECOND / (crossing_mbps * BYTES_A_MB);
}

/** Adds a path for each engine that is left over and holds a copy of the first stage of one in its failure domain. */
function addSharingChains(
    chains: readonly Chain[],
    engines: readonly HoldingEngine[],
    profile: EngineProfile,
): readonly Chain[] {
    const groups = chains.map((chain) => [chain]);
    listUnused(engines, chains).filter(({ span }) => span.first === 0).forEach((engine) => {
        const [group] = groups
            .filter(([chain]) => isCopyOf(engine, chain?.stages[0]))
            .sort((left, right) => left.length - right.length);
        const [model] = group ?? [];
        if (model !== undefined) {
            group?.push(createChain([{ engine, span: engine.span }, ...model.stages.slice(1)], profile));
        }
    });
    return groups.flatMap((group) => group.map((chain) => shareContext(chain, group.length)));
}

function isCopyOf(engine: HoldingEngine, first: ChainStage | undefined): boolean {
    return first?.span.end === engine.span.end && first.engine.failureDomain === engine.failureDomain;
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
    const crossedMs = listPipes(stages).length * computeCrossingMs(profile);
    return {
        id: stages.map((stage) => stage.engine.id).join("+"),
        stages,
        isCrossDomain: listPipes(stages).length > 0,
        stepMs: stages.reduce((sum, stage) => sum + computeStepMs(stage, profile), crossedMs),
        prefillMs: stages.reduce((sum, stage) => sum + computeReadMs(stage, profile), crossedMs),
        contextTokens: Math.min(...stages.map((stage) => computeContextTokens(stage, profile))),
    };
}
