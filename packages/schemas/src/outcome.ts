/**
 * Execution outcome of a request that ended in an error.
 */
import * as z from "zod";

/**
 * `not-run`: crankfork sent nothing that could start the request, or the upstream reported that it did not run it.
 * `ran`: the request was executed. `unknown`: it may have been executed.
 */
export const outcomeSchema = z.enum(["not-run", "ran", "unknown"]);

/** Execution outcome of a request that ended in an error. */
export type Outcome = z.infer<typeof outcomeSchema>;
