/**
 * Commands of a fleet's replicated state.
 */
import * as z from "zod";
import { upstreamFactsSchema, upstreamStatusSchema } from "./registeredUpstream.js";
import { reportedCrashSchema } from "./requestCrash.js";
import { upstreamIncarnationSchema } from "./upstreamIncarnation.js";

/** A command, as the leader puts it into the log. */
export const fleetCommandSchema = z.discriminatedUnion("kind", [
    /** The operator's document, packed by `packDocument`; the highest version prevails. */
    z.object({ kind: z.literal("put-document"), version: z.int(), packed: z.string() }),
    /** New facts of an upstream, or a change of its status. */
    z.object({ kind: z.literal("put-upstream"), facts: upstreamFactsSchema, status: upstreamStatusSchema }),
    /** This life of an upstream is over; a later one may come under the same name. */
    z.object({ kind: z.literal("remove-upstream"), id: z.string(), life: upstreamIncarnationSchema.optional() }),
    /** Upstreams ended under requests; `at_ms` is the leader's Unix time. */
    z.object({ kind: z.literal("record-crashes"), crashes: z.array(reportedCrashSchema), at_ms: z.number() }),
    /** These requests ran to an end, or an operator let them go: what they are held for is forgotten. */
    z.object({ kind: z.literal("forget-crashes"), fingerprints: z.array(z.string()) }),
    /** A request that is held is to be sent once. */
    z.object({ kind: z.literal("claim-trial"), fingerprint: z.string(), at_ms: z.number() }),
]);

/** A command. */
export type FleetCommand = z.infer<typeof fleetCommandSchema>;

/** What came of a command. */
export type FleetCommandResult =
    | { readonly kind: "taken"; }
    /** It changes nothing: the version held is as high, the upstream is gone, or no trial is due. */
    | { readonly kind: "overtaken"; };
