/**
 * The priority that is sent to an engine. Engines schedule more urgent requests first, and requests of one class
 * differ: a moved stream pauses until its prompt has been read again, a new request has its whole latency objective
 * left, and one that has missed its objective loses nothing by letting both go first.
 */

/** Urgency of a request within its class, most urgent first. */
export const urgencies = ["under-way", "fresh", "late"] as const;

/** One of the urgencies. */
export type Urgency = typeof urgencies[number];

/** The least urgent priority that engines support; 0 is the most urgent. */
const LOWEST_PRIORITY = 9;

/**
 * Computes the priority of an attempt. No request of a less urgent class goes before one of a more urgent class,
 * whatever its urgency within the class.
 * @param classPriority - priority of the organisation or route; 0 is the most urgent
 * @param leastUrgent - largest such number in use
 * @param urgency - urgency within the class
 * @returns from 0 to 9
 */
export function computePriority(classPriority: number, leastUrgent: number, urgency: Urgency): number {
    const hasSubPriorities = (leastUrgent + 1) * urgencies.length <= LOWEST_PRIORITY + 1;
    const priority = hasSubPriorities ? classPriority * urgencies.length + urgencies.indexOf(urgency) : classPriority;
    return Math.min(LOWEST_PRIORITY, Math.max(0, priority));
}

/**
 * Computes the priority of an attempt of a ranked service. Each rank has one level. Levels that are left over separate
 * moved streams from new requests, then late requests from new ones, of the most urgent ranks first.
 * @param rank - the rank; 0 is the most urgent
 * @param ranks - number of ranks
 * @param urgency - urgency within the rank
 * @returns from 0 to 9; the last ranks share 9 where there are more than ten
 */
export function computeRankPriority(rank: number, ranks: number, urgency: Urgency): number {
    const spare = Math.max(0, LOWEST_PRIORITY + 1 - ranks);
    const withUnderWay = Math.min(ranks, spare);
    const withLate = Math.min(ranks, spare - withUnderWay);
    const first = rank + Math.min(rank, withUnderWay) + Math.min(rank, withLate);
    const fresh = first + (rank < withUnderWay ? 1 : 0);
    const late = fresh + (rank < withLate ? 1 : 0);
    return Math.min(LOWEST_PRIORITY, { "under-way": first, fresh, late }[urgency]);
}
