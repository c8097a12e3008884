/**
 * Commands of a fleet's replicated state.
 */
import * as z from "zod";
import { upstreamFactsSchema, upstreamStatusSchema } from "./registeredUpstream.js";
import { upstreamLifeSchema } from "./upstreamLife.js";

/** A command, as the leader puts it into the log. */
export const fleetCommandSchema = z.discriminatedUnion("kind", [
    /** The operator's document, packed by `packDocument`; the highest version prevails. */
    z.object({ kind: z.literal("put-document"), version: z.int(), packed: z.string() }),
    /** New facts of an upstream, or a change of its status. */
    z.object({ kind: z.literal("put-upstream"), facts: upstreamFactsSchema, status: upstreamStatusSchema }),
    /** This life of an upstream is over; a later one may come under the same name. */
    z.object({ kind: z.literal("remove-upstream"), id: z.string(), life: upstreamLifeSchema.optional() }),
]);

/** A command. */
export type FleetCommand = z.infer<typeof fleetCommandSchema>;

/** What came of a command. */
export type FleetCommandResult =
    | { readonly kind: "taken"; }
    /** It changes nothing: the version held is as high, or the upstream is gone. */
    | { readonly kind: "overtaken"; };
