/**
 * Whether a path takes one more request now. Beyond its memory the newest requests are thrown out and read anew; behind
 * a long queue of prompts the first token comes after the caller has left. Both waste what the others need.
 */
import type { EngineProfile } from "@crankfork/schemas";
import type { Chain } from "../version/computeChains.js";

/** What runs on a path, from all entries as far as known. */
export interface ChainLoad {
    /** Requests that are open. */
    readonly open: number;
    /** Those of them that have no first token yet. */
    readonly unstarted: number;
}

/** Part of the objective that the queue of prompts before a request may take; the rest is its own prompt and the way. */
const QUEUE_SHARE = 0.6;
/** A request on its way holds its prompt, and on average half of its answer. */
const HELD_ANSWER_SHARE = 0.5;
/** Requests that a path takes at the least, so that one with odd figures is not shut out. */
const LEAST_OPEN = 4;
/** Part of its time that a busy path reads prompts; the rest goes to tokens. */
const READ_SHARE = 0.6;

/**
 * Tells whether a path has room.
 * @param chain - the path
 * @param load - what runs on it
 * @param profile - usual sizes and the slots of its first engine
 * @param objectiveMs - time to the first token that the contract asks for
 * @returns false where one more request would cost others more than it gains
 */
export function hasChainCapacity(chain: Chain, load: ChainLoad, profile: EngineProfile, objectiveMs: number): boolean {
    return load.open < computeMaxOpen(chain, profile)
        && load.unstarted < computeMaxUnstarted(chain, profile, objectiveMs);
}

/**
 * Computes what has become of a load that was told some time ago: the path has read prompts since.
 * @param chain - the path
 * @param load - as it was told, with what was sent since
 * @param profile - usual sizes
 * @param ageMs - how long ago it was told
 * @returns the load as it is expected to be now
 */
export function computeCurrentLoad(chain: Chain, load: ChainLoad, profile: EngineProfile, ageMs: number): ChainLoad {
    const promptMs = profile.usual_prompt_tokens * chain.prefillMs;
    const read = promptMs === 0 ? load.unstarted : Math.floor(ageMs * READ_SHARE / promptMs);
    return { open: load.open, unstarted: Math.max(0, load.unstarted - read) };
}

/**
 * Computes how many requests a path holds.
 * @param chain - the path
 * @param profile - usual sizes and slots
 * @returns requests that its memory and slots are meant for
 */
export function computeMaxOpen(chain: Chain, profile: EngineProfile): number {
    const heldTokens = profile.usual_prompt_tokens + profile.usual_answer_tokens * HELD_ANSWER_SHARE;
    const byMemory = heldTokens === 0 ? profile.slots : Math.floor(chain.contextTokens / heldTokens);
    return Math.max(LEAST_OPEN, Math.min(profile.slots, byMemory));
}

/**
 * Computes how many prompts may wait on a path. One across failure domains takes none where its pipe alone uses up the
 * objective: what is sent there is not answered in time, and holds up each step of every stream on that pipe.
 * @param chain - the path
 * @param profile - usual sizes
 * @param objectiveMs - time to the first token that the contract asks for
 * @returns requests
 */
export function computeMaxUnstarted(chain: Chain, profile: EngineProfile, objectiveMs: number): number {
    const promptMs = profile.usual_prompt_tokens * chain.prefillMs;
    return promptMs === 0
        ? Number.MAX_SAFE_INTEGER
        : Math.max(chain.isCrossDomain ? 0 : LEAST_OPEN, Math.floor(objectiveMs * QUEUE_SHARE / promptMs));
}
