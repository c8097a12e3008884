/**
 * Messages of the gossip-based membership protocol between instances.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";

/** Liveness of an instance as seen by its peers; a leaving instance accepts no new work. */
export const memberStatusSchema = z.enum(["alive", "suspect", "leaving", "dead"]);

/** One instance as described by gossip. */
export const memberSchema = z.object({
    id: z.string(),
    address: addressSchema,
    failure_domain: z.string(),
    /** Incremented only by the instance itself, to refute a status that others report. */
    incarnation: z.int().nonnegative(),
    status: memberStatusSchema,
    /** Whether the instance has a replica of the log. */
    has_replica: z.boolean(),
    /** Configuration version that the instance has applied. */
    configuration_version: z.int().nonnegative(),
    /** Incremented by the instance whenever a field listed after `status` changes. */
    revision: z.int().nonnegative(),
    /** Requests in flight from this instance by upstream. */
    in_flight: z.record(z.string(), z.int().nonnegative()),
    /** Running and queued requests at this instance by model or service. */
    demand: z.record(z.string(), z.int().nonnegative()),
});

/** A message of the membership protocol. */
export const membershipMessageSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("probe"), sequence: z.int(), members: z.array(memberSchema) }),
    z.object({ kind: z.literal("acknowledge"), sequence: z.int(), members: z.array(memberSchema) }),
    z.object({
        kind: z.literal("probe-for"),
        sequence: z.int(),
        target: addressSchema,
        members: z.array(memberSchema),
    }),
]);

/** Liveness of an instance as seen by its peers. */
export type MemberStatus = z.infer<typeof memberStatusSchema>;
/** One instance as described by gossip. */
export type Member = z.infer<typeof memberSchema>;
/** A message of the membership protocol. */
export type MembershipMessage = z.infer<typeof membershipMessageSchema>;
