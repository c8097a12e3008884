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
