/**
 * What entries and the leader tell each other of the rates that upstreams named.
 */
import * as z from "zod";

/** A limit of an upstream, or its end, as an answer told it. Times are told as ages, since each instance has a clock of its own. */
export const reportedRateLimitSchema = z.object({
    /** One life of the upstream. */
    id: z.string(),
    /** Left out where the limit has ended. */
    requests_a_second: z.number().nonnegative().optional(),
    /** How long ago the request left whose answer told it, in milliseconds. */
    asked_ms_ago: z.number().nonnegative(),
    /** How long ago the head of that answer came. */
    heard_ms_ago: z.number().nonnegative(),
});

/** Up to where an instance knows the limits that a leader knows; each leader counts for itself. */
export const rateLimitCursorSchema = z.object({ term: z.int().nonnegative(), change: z.int().nonnegative() });

/** Limits that an entry lacks. */
export const rateLimitUpdatesSchema = rateLimitCursorSchema.extend({ limits: z.array(reportedRateLimitSchema) });

/** Parameters of `sends`: what an entry heard of limits, and the sends that it could use. */
export const sendsParametersSchema = z.object({
    instance: z.string(),
    /** Entries that share the limits, as far as the entry knows. */
    entries: z.int().positive(),
    heard: z.array(reportedRateLimitSchema),
    wanted: z.array(z.object({
        upstream: z.string(),
        count: z.int().positive(),
        /** How far ahead a send is still of use. */
        within_ms: z.number().nonnegative(),
    })),
});

/** Result of `sends`. */
export const sendsResultSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("sends"),
        granted: z.array(z.object({
            upstream: z.string(),
            /** From when on each send may be made, in milliseconds from the answer on. */
            in_ms: z.array(z.number()),
            /** When the next one is free for somebody. */
            next_in_ms: z.number(),
        })),
    }),
    z.object({ kind: z.literal("not-leader") }),
]);

/** A limit of an upstream, or its end. */
export type ReportedRateLimit = z.infer<typeof reportedRateLimitSchema>;
/** Up to where limits are known. */
export type RateLimitCursor = z.infer<typeof rateLimitCursorSchema>;
/** Limits that an entry lacks. */
export type RateLimitUpdates = z.infer<typeof rateLimitUpdatesSchema>;
/** Parameters of `sends`. */
export type SendsParameters = z.infer<typeof sendsParametersSchema>;
/** Result of `sends`. */
export type SendsResult = z.infer<typeof sendsResultSchema>;
