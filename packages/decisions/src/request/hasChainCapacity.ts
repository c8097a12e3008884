/**
 * Whether a chain can take one more request now. Beyond its memory, engines evict the newest requests and repeat their
 * prefill; behind a long queue of prompts, the first token comes after the caller has left. Both waste capacity that
 * other requests need.
 */
import type { EngineProfile } from "@crankfork/schemas";
import type { Chain } from "../version/computeChains.js";
import type { RequestSize } from "./chooseChain.js";

/** Load of a chain, from all entries as far as known. */
export interface ChainLoad {
    /** Open requests. */
    readonly open: number;
    /** Those of them without a first token. */
    readonly unstarted: number;
    /** Tokens that the open requests hold on average; absent where their sizes are not known. */
    readonly tokens?: number | undefined;
    /** Open requests that `tokens` covers; absent where it covers all. */
    readonly sized_open?: number | undefined;
}

/**
 * Share of the objective that queued prompts ahead of a request may take; the rest is for its own prompt and the
 * network.
 */
const PROMPT_QUEUE_SHARE = 0.6;
/** An open request holds its prompt and on average half of its answer. */
const HELD_ANSWER_SHARE = 0.5;
/** Requests that a chain always takes, so that implausible figures don't exclude it. */
export const MIN_OPEN = 4;
/** Share of a busy chain's time that goes to prefill; the rest goes to decoding. */
const PREFILL_SHARE = 0.6;

/**
 * Tells whether a chain has capacity.
 * @param chain - the chain
 * @param load - its load
 * @param profile - usual sizes and the slots of its first engine
 * @param objectiveMs - contracted time to the first token
 * @returns false where one more request would cost others more than it gains
 */
export function hasChainCapacity(chain: Chain, load: ChainLoad, profile: EngineProfile, objectiveMs: number): boolean {
    return load.open < computeMaxOpen(chain, profile)
        && load.unstarted < computeMaxUnstarted(chain, profile, objectiveMs);
}

/**
 * Checks whether a chain has slots and prompt time left; its memory is checked by engine (`hasTokenRoom`).
 * @param chain - the chain
 * @param load - its load
 * @param profile - usual sizes and the slots of its first engine
 * @param objectiveMs - contracted time to the first token
 * @returns false where one more request would wait too long for its first token
 */
export function hasSlotCapacity(chain: Chain, load: ChainLoad, profile: EngineProfile, objectiveMs: number): boolean {
    return load.open < Math.max(MIN_OPEN, profile.slots)
        && load.unstarted < computeMaxUnstarted(chain, profile, objectiveMs);
}

/**
 * Estimates the present load from an older report: the chain has done prefill since.
 * @param chain - the chain
 * @param load - the reported load, including what was sent since
 * @param profile - usual sizes
 * @param ageMs - age of the report
 * @returns the load expected now
 */
export function computeCurrentLoad(chain: Chain, load: ChainLoad, profile: EngineProfile, ageMs: number): ChainLoad {
    return { open: load.open, unstarted: Math.max(0, load.unstarted - countPrefilled(chain, load, profile, ageMs)) };
}

/**
 * Estimates how many prompts a busy chain has read since a report.
 * @param chain - the chain
 * @param load - the reported load
 * @param profile - usual sizes
 * @param ageMs - age of the report
 * @returns prompts
 */
export function countPrefilled(chain: Chain, load: ChainLoad, profile: EngineProfile, ageMs: number): number {
    const promptMs = profile.usual_prompt_tokens * chain.prefillMs;
    return promptMs === 0 ? load.unstarted : Math.floor(ageMs * PREFILL_SHARE / promptMs);
}

/**
 * Computes how many requests a chain can hold.
 * @param chain - the chain
 * @param profile - usual sizes and slots
 * @returns requests that fit its memory and slots
 */
export function computeMaxOpen(chain: Chain, profile: EngineProfile): number {
    const heldTokens = computeHeldTokens({
        promptTokens: profile.usual_prompt_tokens,
        answerTokens: profile.usual_answer_tokens,
    });
    const byMemory = heldTokens === 0 ? profile.slots : Math.floor(chain.contextTokens / heldTokens);
    return Math.max(MIN_OPEN, Math.min(profile.slots, byMemory));
}

/**
 * Computes the memory that an open request takes on average.
 * @param size - the request
 * @returns tokens
 */
export function computeHeldTokens({ promptTokens, answerTokens }: RequestSize): number {
    return promptTokens + answerTokens * HELD_ANSWER_SHARE;
}

/**
 * Computes how many prompts may wait on a chain. A chain across failure domains takes none where its link alone uses up
 * the objective: a request sent there would not be answered in time, and would delay each step of every stream on that
 * link.
 * @param chain - the chain
 * @param profile - usual sizes
 * @param objectiveMs - contracted time to the first token
 * @returns requests
 */
export function computeMaxUnstarted(chain: Chain, profile: EngineProfile, objectiveMs: number): number {
    const promptMs = profile.usual_prompt_tokens * chain.prefillMs;
    return promptMs === 0
        ? Number.MAX_SAFE_INTEGER
        : Math.max(chain.isCrossDomain ? 0 : MIN_OPEN, Math.floor(objectiveMs * PROMPT_QUEUE_SHARE / promptMs));
}
