/**
 * What instances tell each other about instances.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";

/** Whether an instance is thought to be there; a leaving one takes no new work. */
export const memberStatusSchema = z.enum(["alive", "suspect", "leaving", "dead"]);

/** One instance as gossip describes it. */
export const memberSchema = z.object({
    id: z.string(),
    address: addressSchema,
    failure_domain: z.string(),
    /** Raised only by the instance itself, to refute what others say of it. */
    incarnation: z.int().nonnegative(),
    status: memberStatusSchema,
    /** Whether it holds a replica of the log. */
    has_replica: z.boolean(),
    /** The configuration version in force there. */
    configuration_version: z.int().nonnegative(),
    /** Raised by the instance whenever the facts below its status change. */
    revision: z.int().nonnegative(),
    /** Requests in flight from this instance, by upstream. */
    in_flight: z.record(z.string(), z.int().nonnegative()),
    /** Requests that run or wait at this instance, by model or service. */
    demand: z.record(z.string(), z.int().nonnegative()),
});

/** Messages of the membership protocol. */
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

/** Whether an instance is thought to be there. */
export type MemberStatus = z.infer<typeof memberStatusSchema>;
/** One instance. */
export type Member = z.infer<typeof memberSchema>;
/** A message of the membership protocol. */
export type MembershipMessage = z.infer<typeof membershipMessageSchema>;
