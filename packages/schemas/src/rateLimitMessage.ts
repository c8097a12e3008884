/**
 * Messages between entries and the leader about rate limits that upstreams report.
 */
import * as z from "zod";

/**
 * A rate limit of an upstream, or its end, as reported in a response. Times are sent as ages, since clocks differ between
 * instances.
 */
export const reportedRateLimitSchema = z.object({
    /** Identifies one incarnation of the upstream. */
    id: z.string(),
    /** Absent if the limit has ended. */
    requests_a_second: z.number().nonnegative().optional(),
    /** Time since the request was sent whose response reported the limit, in milliseconds. */
    asked_ms_ago: z.number().nonnegative(),
    /** Time since the header of that response was received, in milliseconds. */
    heard_ms_ago: z.number().nonnegative(),
});

/** Position in a leader's sequence of rate-limit changes; each leader's term has a sequence of its own. */
export const rateLimitCursorSchema = z.object({ term: z.int().nonnegative(), change: z.int().nonnegative() });

/** Rate limits that changed after an entry's cursor, with the new cursor. */
export const rateLimitUpdatesSchema = rateLimitCursorSchema.extend({ limits: z.array(reportedRateLimitSchema) });

/** Parameters of `sends`: rate limits that an entry observed, and the send permits that it requests. */
export const sendsParametersSchema = z.object({
    instance: z.string(),
    /** Number of entries that share the limits, as known to this entry. */
    entries: z.int().positive(),
    heard: z.array(reportedRateLimitSchema),
    wanted: z.array(z.object({
        upstream: z.string(),
        count: z.int().positive(),
        /** Latest useful start of a permit, in milliseconds from now. */
        within_ms: z.number().nonnegative(),
    })),
});

/** Result of `sends`. */
export const sendsResultSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("sends"),
        granted: z.array(z.object({
            upstream: z.string(),
            /** Start of each granted permit, in milliseconds after the response. */
            in_ms: z.array(z.number()),
            /** Time at which the next permit is available to any entry, in milliseconds after the response. */
            next_in_ms: z.number(),
        })),
    }),
    z.object({ kind: z.literal("not-leader") }),
]);

/** A rate limit of an upstream, or its end. */
export type ReportedRateLimit = z.infer<typeof reportedRateLimitSchema>;
/** Position in a leader's sequence of rate-limit changes. */
export type RateLimitCursor = z.infer<typeof rateLimitCursorSchema>;
/** Rate limits that changed after an entry's cursor. */
export type RateLimitUpdates = z.infer<typeof rateLimitUpdatesSchema>;
/** Parameters of `sends`. */
export type SendsParameters = z.infer<typeof sendsParametersSchema>;
/** Result of `sends`. */
export type SendsResult = z.infer<typeof sendsResultSchema>;
