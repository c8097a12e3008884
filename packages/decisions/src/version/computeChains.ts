/**
 * Chains of engines that run every layer once and in order, with the cost of a request on each.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";
import { ChainSearch } from "./chainSearch.js";
import { hasLayers, isWithinModel } from "./isWithinModel.js";
import { computePrefillMs, computeStepMs, getAccelerator, limitMs } from "./stageTimes.js";

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

const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;
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
    const uses = countLinks(chains.flatMap(({ stages }) => listLinks(stages)));
    return chains.map((chain) => shareLinks(chain, uses, transferMs));
}

function countLinks(links: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    links.forEach((link) => counts.set(link, (counts.get(link) ?? 0) + 1));
    return counts;
}

/** Transfers on a link between two failure domains are serialized, so a chain also waits for those of the others. */
function shareLinks(chain: Chain, uses: ReadonlyMap<string, number>, transferMs: number): Chain {
    const own = [...countLinks(listLinks(chain.stages))];
    const others = own.reduce((sum, [link, count]) => sum + (uses.get(link) ?? 0) - count, 0);
    const waitMs = others * transferMs;
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
    const search = new ChainSearch(engines, profile);
    const chains: Chain[] = [];
    for (let stages = search.takeNext(); stages !== undefined; stages = search.takeNext()) {
        chains.push(createChain(stages, profile));
    }
    return chains;
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
        stepMs: stages.reduce((sum, stage) => sum + computeStepMs(stage.span, stage.engine, profile), transferMs),
        prefillMs: stages.reduce((sum, stage) => sum + computePrefillMs(stage.span, stage.engine, profile), transferMs),
        contextTokens: stages.reduce(
            (least, stage) => Math.min(least, computeContextTokens(stage, profile)),
            Number.MAX_SAFE_INTEGER,
        ),
    };
}
