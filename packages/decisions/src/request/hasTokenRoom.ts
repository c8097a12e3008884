/**
 * Whether the engines of a path have memory for one more request. Answers uneven sizes and stages that several paths
 * share: an engine without memory declines requests, which uses up the retry budget, or evicts streams under way, which
 * pauses them beyond what callers accept.
 */
import type { EngineProfile } from "@crankfork/schemas";
import { type Chain, computeContextTokens } from "../version/computeChains.js";
import type { RequestSize } from "./chooseChain.js";
import { type ChainLoad, computeHeldTokens, MIN_OPEN } from "./hasChainCapacity.js";

/** Engines that the same paths pass, so that they hold tokens of the same requests. */
export interface SharedMemory {
    /** First engines of these paths. */
    readonly firstIds: readonly string[];
    readonly engines: readonly { readonly id: string; readonly contextTokens: number; }[];
}

/** Requests that hold tokens in an engine. */
export interface MemoryLoad {
    readonly open: number;
    /** Tokens that they hold on average over their time. */
    readonly tokens: number;
    /** Requests expected since the last reports, as many of which are known as from their mean. */
    readonly unreported: number;
}

/**
 * Standard deviations of the tokens in use that are kept free. At two, one decision in 44 meets less memory than
 * expected, which is at the limit of two declines in 100 requests while the engines are full.
 */
const MARGIN_DEVIATIONS = 2;
/** Variance of a number that is spread evenly from 0 to 1, such as the part of an answer that exists already. */
const EVEN_VARIANCE = 1 / 12;

/**
 * Gets the usual size of a service's requests.
 * @param profile - the service's profile
 * @returns the size
 */
export function getUsualSize({ usual_prompt_tokens, usual_answer_tokens }: EngineProfile): RequestSize {
    return { promptTokens: usual_prompt_tokens, answerTokens: usual_answer_tokens };
}

/**
 * Computes the tokens that requests at a path hold on average.
 * @param load - the requests; those of unknown size count with the usual one
 * @param profile - usual sizes
 * @returns tokens
 */
export function computeLoadTokens(load: ChainLoad, profile: EngineProfile): number {
    const { open, tokens = 0, sized_open = load.tokens === undefined ? 0 : open } = load;
    return tokens + Math.max(0, open - sized_open) * computeHeldTokens(getUsualSize(profile));
}

/**
 * Groups the engines of all paths by the paths that pass them, so that a check compares one sum for each group and not
 * one for each engine. Paths with the same first engine count as one: the earliest in the list.
 * @param chains - paths
 * @param profile - the model and the accelerators
 * @returns the groups of each path, by its id
 */
export function groupSharedMemories(
    chains: readonly Chain[],
    profile: EngineProfile,
): ReadonlyMap<string, readonly SharedMemory[]> {
    const chainsByFirst = new Map<string, Chain>();
    chains.forEach((chain) => {
        const first = chain.stages[0]?.engine.id ?? "";
        chainsByFirst.set(first, chainsByFirst.get(first) ?? chain);
    });
    const engines = new Map<string, { firstIds: string[]; contextTokens: number; }>();
    for (const [first, { stages }] of chainsByFirst) {
        stages.forEach((stage) => {
            const contextTokens = computeContextTokens(stage, profile);
            const engine = engines.get(stage.engine.id) ?? { firstIds: [], contextTokens };
            engine.firstIds.push(first);
            engine.contextTokens = Math.min(engine.contextTokens, contextTokens);
            engines.set(stage.engine.id, engine);
        });
    }
    const groups = new Map<string, SharedMemory & { engines: { id: string; contextTokens: number; }[]; }>();
    const groupsByEngine = new Map<string, SharedMemory>();
    for (const [id, { firstIds, contextTokens }] of engines) {
        const key = firstIds.join(" ");
        const group = groups.get(key) ?? { firstIds, engines: [] };
        group.engines.push({ id, contextTokens });
        groups.set(key, group);
        groupsByEngine.set(id, group);
    }
    return new Map([...chainsByFirst.values()].map((chain) => {
        const passed = chain.stages.flatMap(({ engine }) => groupsByEngine.get(engine.id) ?? []);
        return [chain.id, [...new Set(passed)]];
    }));
}

/**
 * Computes the tokens that an engine has left for one more request: beside what the others hold on average and twice the
 * standard deviation of that, which follows from their number. Of those that are known, any part of the answer exists;
 * those that are not reported yet may be more than expected. To count whole answers of all would leave a seventh of the
 * memory unused at all times.
 * @param load - requests in the engine
 * @param limitTokens - its memory
 * @param profile - usual sizes
 * @returns tokens, negative where the others may need more than there is
 */
export function computeFreeTokens(load: MemoryLoad, limitTokens: number, profile: EngineProfile): number {
    return limitTokens - load.tokens - computeMarginTokens(load, profile);
}

/**
 * Checks whether a request fits into an engine's memory: a stream under way is not preempted for it where its prompt and
 * its whole answer do.
 * @param freeTokens - what the engine has left
 * @param size - the request
 * @returns whether it fits
 */
export function hasTokenRoom(freeTokens: number, size: RequestSize): boolean {
    return size.promptTokens + size.answerTokens <= freeTokens;
}

/**
 * Checks whether an engine takes a request whatever its memory is said to be, so that implausible figures don't exclude
 * it.
 * @param open - requests in the engine
 * @returns whether it has hardly any requests
 */
export function isNearlyIdle(open: number): boolean {
    return open < MIN_OPEN;
}

function computeMarginTokens({ open, tokens, unreported }: MemoryLoad, profile: EngineProfile): number {
    if (open === 0) {
        return 0;
    }
    const heldTokens = tokens / open;
    const usualTokens = computeHeldTokens(getUsualSize(profile));
    const answerTokens = profile.usual_answer_tokens * (usualTokens === 0 ? 1 : heldTokens / usualTokens);
    const variance = open * answerTokens ** 2 * EVEN_VARIANCE + unreported * heldTokens ** 2;
    return MARGIN_DEVIATIONS * Math.sqrt(variance);
}
