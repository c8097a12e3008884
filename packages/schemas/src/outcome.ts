/**
 * What is known of the work behind an error answer.
 */
import * as z from "zod";

/**
 * `not-run`: nothing that could start work left crankfork, or the upstream said so before running.
 * `ran`: the work was done. `unknown`: it may have been done.
 */
export const outcomeSchema = z.enum(["not-run", "ran", "unknown"]);

/** What is known of the work behind an error answer. */
export type Outcome = z.infer<typeof outcomeSchema>;
