/**
 * What part of a path's room a request of a ranked service may take. Answers bursts of one class while paths are short
 * of room: a burst of the least urgent class must not take the prompt queue or the memory of the most urgent one, and a
 * lasting demand of the most urgent class must not shut out the others.
 */
import type { EngineProfile } from "@crankfork/schemas";
import type { Chain } from "../version/computeChains.js";
import type { RequestSize } from "./chooseChain.js";
import { computeMaxMinShares } from "./computeMaxMinShares.js";
import { ONE_REFUSAL_PER_S } from "./computeReturnTime.js";
import {
    type ChainLoad,
    computeHeldTokens,
    computeMaxOpen,
    computeMaxUnstarted,
    countPrefilled,
} from "./hasChainCapacity.js";

/** Load of a chain by rank. Requests that are in no list were reported without their ranks. */
export interface RankedLoad extends ChainLoad {
    readonly unstarted_by_rank?: readonly number[] | undefined;
    readonly open_by_rank?: readonly number[] | undefined;
}

/** Demand of one rank, over all entries. */
export interface RankDemand {
    readonly arrivals_per_s: number;
    readonly refused_per_s: number;
    readonly prompt_tokens_per_s: number;
    readonly answer_tokens_per_s: number;
    /** Requests that wait now. */
    readonly waiting: number;
    /** Tokens a second that organisations ask for; those that are not named are summed under the empty name. */
    readonly organisations?: Readonly<Record<string, number>> | undefined;
}

/** Demand for a service by rank. */
export type ServiceDemand = ReadonlyMap<number, RankDemand>;

/** A request that asks for room. */
export interface RankedRequest {
    /** Its rank, which decides whose prompts are read before its own. */
    readonly rank: number;
    /** Rank by which it takes memory; one less urgent where its organisation asks for too much. */
    readonly memoryRank: number;
    readonly size: RequestSize | undefined;
    readonly objectiveMs: number;
    /** Its position among the requests of its rank, at random from 0 up to 1. */
    readonly draw: number;
}

/** What a request may take of a chain, and what is taken. */
export interface ClassRoom {
    /** Places for open requests that its rank may fill. */
    readonly places: number;
    /** Places that open requests and this one need. */
    readonly placesNeeded: number;
    /** Prompts that may wait. */
    readonly prompts: number;
    /** Prompts ahead of its own; negative where more could have been read since the report than were waiting. */
    readonly promptsAhead: number;
}

/** Largest part of a chain's places that is kept free for more urgent ranks, so that each class can always run. */
const MAX_PROTECTED_SHARE = 0.75;
/**
 * Part of a rank's expected requests up to which nothing is kept from it for more urgent ones. No class may be served at
 * less than a quarter of the rate of all; free places alone don't ensure that, as more urgent ranks may fill them.
 * Only that part of the requests may use this: all entries see the same reported count and would exceed it together.
 */
const MIN_CLASS_SHARE = 0.25;
/**
 * Most places that one request counts for. A large request needs that many free at once, while those that end free one
 * at a time; at its full size it would find room only on an idle chain.
 */
const MAX_SIZE_FACTOR = 2;
const MS_PER_SECOND = 1_000;

/**
 * Computes what a request may take of a chain.
 * @param chain - the chain
 * @param load - its load, by rank as far as reported
 * @param profile - usual sizes and slots
 * @param request - the request
 * @param expectedOpen - requests of each rank that are expected to be open on this chain
 * @param ageMs - age of the load
 * @returns the room
 */
export function computeClassRoom(
    chain: Chain,
    load: RankedLoad,
    profile: EngineProfile,
    request: RankedRequest,
    expectedOpen: readonly number[],
    ageMs: number,
): ClassRoom {
    const maxOpen = computeMaxOpen(chain, profile);
    const unstarted = Math.min(
        load.unstarted,
        countUpTo(load.unstarted_by_rank, request.rank) + countUnranked(load.unstarted, load.unstarted_by_rank),
    );
    const { memoryRank } = request;
    const expected = sumBelow(expectedOpen, memoryRank);
    const expectedAll = sumBelow(expectedOpen, expectedOpen.length);
    // Requests without a reported rank are taken to be distributed like the demand.
    const unranked = countUnranked(load.open, load.open_by_rank) * (expectedAll === 0 ? 0 : expected / expectedAll);
    const openAhead = Math.min(load.open, countUpTo(load.open_by_rank, memoryRank - 1) + unranked);
    const isStarved = request.draw >= 1 - MIN_CLASS_SHARE
        && memoryRank === request.rank
        && load.open_by_rank !== undefined
        && clampCount(load.open_by_rank[request.rank]) < clampCount(expectedOpen[request.rank]) * MIN_CLASS_SHARE;
    const protectedPlaces = isStarved ? 0 : Math.min(maxOpen * MAX_PROTECTED_SHARE, Math.max(0, expected - openAhead));
    return {
        places: maxOpen - protectedPlaces,
        placesNeeded: load.open + computeSizeFactor(request.size, profile),
        prompts: computeMaxUnstarted(chain, profile, request.objectiveMs),
        promptsAhead: unstarted - countPrefilled(chain, load, profile, ageMs),
    };
}

/**
 * Checks whether a request has room.
 * @param room - what it may take, and what is taken
 * @returns false where it would cost more urgent ones more than it gains
 */
export function hasClassRoom({ places, placesNeeded, prompts, promptsAhead }: ClassRoom): boolean {
    return placesNeeded <= places && Math.max(0, promptsAhead) < prompts;
}

/**
 * Adds requests that others are expected to have sent since they reported their load.
 * @param room - by the reported load
 * @param count - how many
 * @param shareAhead - part of the demand that is of the request's rank or a more urgent one
 * @returns the room that is left
 */
export function addUnreported(room: ClassRoom, count: number, shareAhead: number): ClassRoom {
    return {
        ...room,
        placesNeeded: room.placesNeeded + count,
        promptsAhead: room.promptsAhead + count * shareAhead,
    };
}

/**
 * Computes how full a chain is for a request. Chains are compared by this, since the time to the first token depends on
 * the prompts ahead, and whether the next request finds room on the places.
 * @param room - what the request may take, and what is taken
 * @returns sum of the filled shares of prompts and places
 */
export function computeFill({ places, placesNeeded, prompts, promptsAhead }: ClassRoom): number {
    return Math.max(0, promptsAhead) / Math.max(1, prompts) + placesNeeded / Math.max(1, places);
}

/**
 * Computes how many requests of each rank are expected to be open on a chain, by Little's law: what arrives in a
 * second, times the seconds for which it is held.
 * @param chain - the chain
 * @param load - its load
 * @param profile - added time of each step for each open request
 * @param demand - demand of all entries
 * @param share - part of the demand that comes to this chain
 * @returns requests by rank
 */
export function computeExpectedOpen(
    chain: Chain,
    load: ChainLoad,
    profile: EngineProfile,
    demand: ServiceDemand,
    share: number,
): readonly number[] {
    const stepMs = chain.stepMs + load.open * profile.step_ms_a_request;
    const ranks = Math.max(-1, ...demand.keys()) + 1;
    return Array.from({ length: ranks }, (_, rank) => {
        const { prompt_tokens_per_s = 0, answer_tokens_per_s = 0 } = demand.get(rank) ?? {};
        const busyMs = clampCount(prompt_tokens_per_s) * chain.prefillMs + clampCount(answer_tokens_per_s) * stepMs;
        return share * busyMs / MS_PER_SECOND;
    });
}

/**
 * Computes the part of an organisation's requests that exceeds its share of what its rank gets.
 * @param demand - demand of all entries
 * @param rank - the rank
 * @param organisation - its name
 * @returns from 0 to 1; 0 unless the rank is short
 */
export function computeExcessShare(demand: ServiceDemand, rank: number, organisation: string): number {
    const { organisations = {}, arrivals_per_s = 0, refused_per_s = 0 } = demand.get(rank) ?? {};
    const name = Object.hasOwn(organisations, organisation) ? organisation : "";
    const offered = clampCount(organisations[name]);
    if (offered === 0 || arrivals_per_s <= 0 || !isRankShort(demand, rank)) {
        return 0;
    }
    const offeredByAll = Object.values(organisations).reduce((sum, one) => sum + clampCount(one), 0);
    const served = offeredByAll * Math.max(0, 1 - clampCount(refused_per_s) / arrivals_per_s);
    return 1 - (computeMaxMinShares(organisations, served).get(name) ?? offered) / offered;
}

/** A rank is short while requests of it, or of a more urgent one, wait or were refused in the last second. */
function isRankShort(demand: ServiceDemand, rank: number): boolean {
    return [...demand].some(([one, { waiting, refused_per_s }]) =>
        one <= rank && (clampCount(waiting) >= 1 || clampCount(refused_per_s) >= ONE_REFUSAL_PER_S)
    );
}

/** Places that a request counts for: never less than one, so that small ones don't exceed the slots. */
function computeSizeFactor(size: RequestSize | undefined, profile: EngineProfile): number {
    const usual = computeHeldTokens({
        promptTokens: profile.usual_prompt_tokens,
        answerTokens: profile.usual_answer_tokens,
    });
    const own = size === undefined ? usual : computeHeldTokens(size);
    return usual === 0 ? 1 : Math.min(MAX_SIZE_FACTOR, Math.max(1, own / usual));
}

function countUpTo(counts: readonly number[] | undefined, rank: number): number {
    return sumBelow(counts ?? [], rank + 1);
}

function countUnranked(all: number, counts: readonly number[] | undefined): number {
    return Math.max(0, all - sumBelow(counts ?? [], counts?.length ?? 0));
}

function sumBelow(counts: readonly number[], end: number): number {
    return counts.slice(0, Math.max(0, end)).reduce((sum, one) => sum + clampCount(one), 0);
}

function clampCount(count: number | undefined): number {
    return count !== undefined && Number.isFinite(count) && count > 0 ? count : 0;
}
