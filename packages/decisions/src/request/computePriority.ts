/**
 * The priority that an engine is told. Engines let in what is more urgent first, and inside one class not all requests
 * are alike: a stream that was moved stands still until its prompt is read, a new request has its whole objective left,
 * and one that has missed its objective loses nothing by letting both go first.
 */

/** How a request stands among those of its class, the most urgent first. */
export const urgencies = ["under-way", "fresh", "late"] as const;

/** One of the standings. */
export type Urgency = typeof urgencies[number];

/** The least urgent priority that engines know; 0 is the most urgent. */
const LEAST_URGENT = 9;

/**
 * Computes the priority of a try. No request of a less urgent class goes before one of a more urgent class, however they
 * stand.
 * @param classPriority - priority of the organisation or route; 0 is the most urgent
 * @param leastUrgent - largest such number that is in use
 * @param standing - how the request stands
 * @returns from 0 to 9
 */
export function computePriority(classPriority: number, leastUrgent: number, standing: Urgency): number {
    const isRoomy = (leastUrgent + 1) * urgencies.length <= LEAST_URGENT + 1;
    const priority = isRoomy ? classPriority * urgencies.length + urgencies.indexOf(standing) : classPriority;
    return Math.min(LEAST_URGENT, Math.max(0, priority));
}
