/**
 * Chains of engines that run every layer once and in order, with the cost of a request on each.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";
import { hasLayers, isWithinModel } from "./isWithinModel.js";

/** An engine that holds layers. */
export interface HoldingEngine {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly accelerator: string;
    readonly span: LayerSpan;
    /** Factor by which it is slower than its accelerator should be. */
    readonly slowness: number;
}

/** One engine's stage of a chain. */
export interface ChainStage {
    readonly engine: HoldingEngine;
    readonly span: LayerSpan;
}

/** A chain of engines over all layers. */
export interface Chain {
    /** The ids of its engines, joined. */
    readonly id: string;
    readonly stages: readonly ChainStage[];
    /** Time of one decoding step of one request, in milliseconds. */
    readonly stepMs: number;
    /** Prefill time of one prompt token, in milliseconds. */
    readonly prefillMs: number;
    /** Tokens of context that fit into the stage with the least memory for them. */
    readonly contextTokens: number;
    /** Whether its stages are in more than one failure domain. */
    readonly isCrossDomain: boolean;
}

/**
 * Search cost of a link between failure domains, in milliseconds of a step: high enough that one is used only where
 * there is no alternative.
 */
const CROSS_DOMAIN_COST_MS = 1_000;
/** Search cost of each stage, so that the shorter of two equal chains wins. */
const STAGE_COST_MS = 0.01;
const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;
/** Largest time of a step or a token. Chains without a finite time could not be compared, and would get no requests. */
const MAX_TIME_MS = 1e12;
const BITS_PER_BYTE = 8;
/** Utilisation from which a link counts as busy: one more chain would wait for it nearly all of its time. */
const BUSY_LINK_UTILISATION = 0.9;

/**
 * Computes chains: inside each failure domain, the fastest first, then across failure domains from the remaining
 * engines. Chains share no engine, except that chains which begin at copies of a first stage share the later stages.
 *
 * Chains across failure domains are for domains that are too small for the model, and for the remaining engines of a
 * domain that has lost a stage.
 * @param holders - engines that may get requests; those that report layers beyond the model are left out
 * @param profile - the model and the accelerators
 * @returns chains
 */
export function computeChains(holders: readonly HoldingEngine[], profile: EngineProfile): readonly Chain[] {
    if (!hasLayers(profile)) {
        return [];
    }
    const engines = holders.filter(({ span }) => isWithinModel(span, profile));
    const domains = [...new Set(engines.map((engine) => engine.failureDomain))].sort();
    const inside = domains.flatMap((domain) =>
        computeDisjointChains(engines.filter((engine) => engine.failureDomain === domain), profile)
    );
    const shared = addSharingChains(inside, engines, profile);
    const rest = listUnused(engines, inside);
    const across = domains.length > 1 ? computeCrossDomainChains(rest, profile) : [];
    const used = new Set(across.flatMap((chain) => chain.stages.map(({ engine }) => engine.id)));
    return [...shared.filter(({ stages }) => !stages.some(({ engine }) => used.has(engine.id))), ...across];
}

function listUnused(engines: readonly HoldingEngine[], chains: readonly Chain[]): readonly HoldingEngine[] {
    const used = new Set(chains.flatMap((chain) => chain.stages.map((stage) => stage.engine.id)));
    return engines.filter(({ id }) => !used.has(id));
}

/**
 * Chains across failure domains, as many as keep the link between two domains busy. More would not increase prefill
 * throughput, and each pass would wait for the activations of the others, so that prompts are processed but few tokens
 * are produced in time.
 */
function computeCrossDomainChains(engines: readonly HoldingEngine[], profile: EngineProfile): readonly Chain[] {
    const transferMs = computeTransferMs(profile);
    const utilisations = new Map<string, number>();
    const chains = computeDisjointChains(engines, profile).filter(({ stages, prefillMs }) => {
        const links = listLinks(stages);
        if (links.some((link) => (utilisations.get(link) ?? 0) >= BUSY_LINK_UTILISATION)) {
            return false;
        }
        links.forEach((link) => utilisations.set(link, (utilisations.get(link) ?? 0) + transferMs / prefillMs));
        return true;
    });
    return chains.map((chain) => shareLinks(chain, chains, transferMs));
}

/** Transfers on a link between two failure domains are serialized, so a chain also waits for those of the others. */
function shareLinks(chain: Chain, chains: readonly Chain[], transferMs: number): Chain {
    const links = new Set(listLinks(chain.stages));
    const others = chains.filter((one) => one !== chain).flatMap(({ stages }) => listLinks(stages));
    const waitMs = others.filter((link) => links.has(link)).length * transferMs;
    return { ...chain, prefillMs: chain.prefillMs + waitMs, stepMs: chain.stepMs + waitMs };
}

/** The pair of failure domains of each link that the stages use, as one string per link. */
function listLinks(stages: readonly ChainStage[]): readonly string[] {
    return stages.slice(1).flatMap(({ engine }, index) => {
        const before = stages[index]?.engine.failureDomain ?? "";
        return before === engine.failureDomain ? [] : [[before, engine.failureDomain].sort().join(" ")];
    });
}

/** Transfer time of one token's activations between failure domains, in milliseconds. */
function computeTransferMs({ activation_bytes = 0, crossing_mbps }: EngineProfile): number {
    return crossing_mbps === undefined
        ? 0
        : limitMs(activation_bytes * BITS_PER_BYTE * MS_PER_SECOND / (crossing_mbps * BYTES_PER_MB));
}

function limitMs(timeMs: number): number {
    return timeMs >= 0 ? Math.min(MAX_TIME_MS, timeMs) : MAX_TIME_MS;
}

/** Adds a chain for each unused engine that holds a copy of a first stage in the same failure domain. */
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
        const [template] = group ?? [];
        if (template !== undefined) {
            group?.push(createChain([{ engine, span: engine.span }, ...template.stages.slice(1)], profile));
        }
    });
    return groups.flatMap((group) => group.map((chain) => shareContext(chain, group.length)));
}

function isCopyOf(engine: HoldingEngine, first: ChainStage | undefined): boolean {
    return first?.span.end === engine.span.end && first.engine.failureDomain === engine.failureDomain;
}

/** The memory of the shared stages is divided equally among their chains. */
function shareContext(chain: Chain, sharingChains: number): Chain {
    return { ...chain, contextTokens: chain.contextTokens / sharingChains };
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

interface SearchNode {
    readonly costMs: number;
    readonly stage: ChainStage;
    readonly previous: SearchNode | undefined;
}

/** Shortest path over the layers at which some engine's span begins or ends (dynamic programming). */
function findChain(engines: readonly HoldingEngine[], profile: EngineProfile): Chain | undefined {
    const bounds = new Set([0, profile.layers, ...engines.flatMap(({ span }) => [span.first, span.end])]);
    const layers = [...bounds].filter((layer) => layer <= profile.layers).sort((left, right) => left - right);
    const best = new Map<number, SearchNode | undefined>([[0, undefined]]);
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

function hasVisited(last: SearchNode | undefined, id: string): boolean {
    let node = last;
    while (node !== undefined && node.stage.engine.id !== id) {
        node = node.previous;
    }
    return node !== undefined;
}

function listStages(last: SearchNode): readonly ChainStage[] {
    const stages: ChainStage[] = [];
    for (let node: SearchNode | undefined = last; node !== undefined; node = node.previous) {
        stages.unshift(node.stage);
    }
    return stages;
}

function computeStageCostMs(stage: ChainStage, previous: ChainStage | undefined, profile: EngineProfile): number {
    const isCrossDomain = previous !== undefined && previous.engine.failureDomain !== stage.engine.failureDomain;
    return computeStepMs(stage, profile) + STAGE_COST_MS + (isCrossDomain ? CROSS_DOMAIN_COST_MS : 0);
}

function computeLayerShare(span: LayerSpan, profile: EngineProfile): number {
    return (span.end - span.first) / profile.layers;
}

function getAccelerator(engine: HoldingEngine, profile: EngineProfile): EngineProfile["accelerators"][number] {
    const known = profile.accelerators.find((one) => one.name === engine.accelerator);
    return known ?? { name: engine.accelerator, memory_mb: profile.layer_mb, step_factor: 1, read_factor: 1 };
}

function computeStepMs(stage: ChainStage, profile: EngineProfile): number {
    const { step_factor } = getAccelerator(stage.engine, profile);
    return limitMs(computeLayerShare(stage.span, profile) * profile.step_ms * step_factor * stage.engine.slowness);
}

function computePrefillMs(stage: ChainStage, profile: EngineProfile): number {
    const { read_factor } = getAccelerator(stage.engine, profile);
    const msPerToken = read_factor * stage.engine.slowness * MS_PER_SECOND / profile.read_tokens_a_second;
    return limitMs(computeLayerShare(stage.span, profile) * msPerToken);
}

/**
 * Computes the memory of a stage's engine.
 * @param stage - the engine and the layers that a chain uses
 * @param profile - the model and the accelerators
 * @returns tokens of context that fit beside the layers that it holds
 */
export function computeContextTokens(stage: ChainStage, profile: EngineProfile): number {
    const { span } = stage.engine;
    const freeMb = getAccelerator(stage.engine, profile).memory_mb - (span.end - span.first) * profile.layer_mb;
    const bytesPerToken = (stage.span.end - stage.span.first) * profile.token_bytes / profile.layers;
    const tokens = Math.max(0, freeMb) / bytesPerToken * BYTES_PER_MB;
    return bytesPerToken === 0 ? Number.MAX_SAFE_INTEGER : Math.min(Number.MAX_SAFE_INTEGER, tokens);
}

function createChain(stages: readonly ChainStage[], profile: EngineProfile): Chain {
    const transferMs = listLinks(stages).length * computeTransferMs(profile);
    return {
        id: stages.map((stage) => stage.engine.id).join("+"),
        stages,
        isCrossDomain: listLinks(stages).length > 0,
        stepMs: stages.reduce((sum, stage) => sum + computeStepMs(stage, profile), transferMs),
        prefillMs: stages.reduce((sum, stage) => sum + computePrefillMs(stage, profile), transferMs),
        contextTokens: stages.reduce(
            (least, stage) => Math.min(least, computeContextTokens(stage, profile)),
            Number.MAX_SAFE_INTEGER,
        ),
    };
}
