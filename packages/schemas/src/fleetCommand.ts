/**
 * Commands of a fleet's replicated state machine.
 */
import * as z from "zod";
import type { InvalidCommand } from "./parseCommand.js";
import { upstreamFactsSchema, upstreamStatusSchema } from "./registeredUpstream.js";
import { reportedCrashSchema } from "./requestCrash.js";
import { upstreamIncarnationSchema } from "./upstreamIncarnation.js";

/** A command as the leader appends it to the log. */
export const fleetCommandSchema = z.discriminatedUnion("kind", [
    /** Stores the operator's document, packed by `packDocument`; the highest version wins. */
    z.object({ kind: z.literal("put-document"), version: z.int(), packed: z.string() }),
    /** Registers an upstream, or updates its facts or its status. */
    z.object({ kind: z.literal("put-upstream"), facts: upstreamFactsSchema, status: upstreamStatusSchema }),
    /** Removes one incarnation of an upstream; a later incarnation may register under the same name. */
    z.object({ kind: z.literal("remove-upstream"), id: z.string(), life: upstreamIncarnationSchema.optional() }),
    /** Records upstream crashes and the requests that ran at that time; `at_ms` is the leader's Unix time. */
    z.object({ kind: z.literal("record-crashes"), crashes: z.array(reportedCrashSchema), at_ms: z.number() }),
    /**
     * Deletes the crash records of requests that completed or that an operator released from quarantine, by fingerprint, and
     * those of prompt segments, by key.
     */
    z.object({ kind: z.literal("forget-crashes"), fingerprints: z.array(z.string()) }),
    /** Permits one trial send of a quarantined request, or of a prompt with a quarantined segment. */
    z.object({ kind: z.literal("claim-trial"), fingerprint: z.string(), at_ms: z.number() }),
]);

/** A command of a fleet's replicated state machine. */
export type FleetCommand = z.infer<typeof fleetCommandSchema>;

/** Result of applying a command. */
export type FleetCommandResult =
    | { readonly kind: "taken"; }
    /** No effect: the stored version is at least as high, the incarnation was removed, or no trial is due. */
    | { readonly kind: "overtaken"; }
    /** No effect: the schema refuses the command. */
    | InvalidCommand;
