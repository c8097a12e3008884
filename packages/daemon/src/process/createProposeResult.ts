/**
 * Outcome of a proposal in the form in which instances report it to each other.
 */
import type { ProposalResult } from "@crankfork/coordination";
import type { InvalidCommand, ProposeResult } from "@crankfork/schemas";

/**
 * Creates the result of the method `propose`.
 * @param result - the outcome at the replica
 * @returns the same; an invalid command was not appended, as if this replica did not lead
 */
export function createProposeResult(result: ProposalResult | InvalidCommand): ProposeResult {
    return result.kind === "invalid" ? { kind: "not-leader" } : result;
}
