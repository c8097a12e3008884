/**
 * What entries and voters ask of voters, as parameters and results of JSON-RPC 2.0 methods.
 */
import * as z from "zod";
import { rateLimitCursorSchema, rateLimitUpdatesSchema } from "./rateLimitMessage.js";
import { registeredUpstreamSchema } from "./registeredUpstream.js";
import { replicaAddressSchema } from "./replicaMessage.js";
import { crashRecordSchema, reportedCrashSchema } from "./requestCrash.js";

/** Requests by the first upstream of their path. */
export const upstreamLoadsSchema = z.record(
    z.string(),
    z.object({
        open: z.int().nonnegative(),
        /** Those of them that have no first token yet. */
        unstarted: z.int().nonnegative(),
    }),
);

/** What was sent to each service in the last window of the budget of repeats. */
export const retryBudgetUsageSchema = z.record(
    z.string(),
    z.object({ requests: z.int().nonnegative(), repeats: z.int().nonnegative() }),
);

/** Parameters of `synchronise`: what an entry knows, and what it did. */
export const synchroniseParametersSchema = z.object({
    instance: z.string(),
    /** Position of the log up to which the entry knows the state; 0 for nothing. */
    known_index: z.int().nonnegative(),
    /** What the entry has open. */
    loads: upstreamLoadsSchema,
    /** What the entry sent. */
    spending: retryBudgetUsageSchema.default({}),
    /** Up to where the entry knows the rates that upstreams named. */
    limits_known: rateLimitCursorSchema.default({ term: 0, change: 0 }),
    /** Whether a leader may hold its answer until there is something new to tell. */
    may_wait: z.boolean().default(true),
    /** Version of the operator's document in force at the entry; left out before the first. */
    applied_version: z.int().optional(),
});

/** Parameters of `suspect`: upstreams that failed an entry's requests; told at once, since `synchronise` waits. */
export const suspectParametersSchema = z.object({ instance: z.string(), suspects: z.array(z.string()) });

/** Result of `synchronise`. */
export const synchroniseResultSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("state"),
        /** Position that the answer brings the entry to. */
        index: z.int().nonnegative(),
        /** Version of the operator's newest document; the document itself is asked for by `document`. */
        document_version: z.int().optional(),
        /** Time since this leader applied that version, in milliseconds. */
        document_age_ms: z.number().nonnegative().optional(),
        /** Time since this leader applied the first version above the one in force at the entry, in milliseconds. */
        behind_ms: z.number().nonnegative().optional(),
        /** Term and commit index of the leader at the moment of the answer. */
        confirmed_by: z.object({ term: z.int().nonnegative(), commit_index: z.int().nonnegative() }).optional(),
        /** Whether `upstreams` holds all there are; else only those that changed. */
        is_whole: z.boolean(),
        upstreams: z.array(registeredUpstreamSchema),
        removed: z.array(z.string()),
        /** Requests under which several upstreams ended: all there are, or those that changed. */
        crashes: z.array(crashRecordSchema).default([]),
        /** Fingerprints of requests that are forgotten. */
        crashes_forgotten: z.array(z.string()).default([]),
        /** Entries that were heard of lately, this one included. */
        entries: z.int().positive(),
        /** What other entries have open. */
        loads_elsewhere: upstreamLoadsSchema,
        /** What other entries sent. */
        spending_elsewhere: retryBudgetUsageSchema.default({}),
        /** For how long this leader has heard of it. */
        spending_known_ms: z.number().nonnegative().default(0),
        /** Upstreams that several entries suspect, and that the leader is looking at. */
        suspects: z.array(z.string()).default([]),
        /** Rates that upstreams named, and that the entry lacks. */
        limits: rateLimitUpdatesSchema.optional(),
        /** Peers' addresses of all replicas. */
        voters: z.array(z.string()),
    }),
    /** No leader that a quorum confirmed; perhaps the one named knows more. */
    z.object({ kind: z.literal("not-leader"), leader: replicaAddressSchema.optional() }),
]);

/** Parameters of `crashes`: upstreams that ended under requests, and requests that ran to an end nevertheless. */
export const crashesParametersSchema = z.object({
    crashes: z.array(reportedCrashSchema),
    ran_well: z.array(z.string()),
});

/** Parameters of `trial`: a request that is held, to be sent once. */
export const trialParametersSchema = z.object({ fingerprint: z.string() });

/** Result of `crashes` and of `trial`: whether a quorum holds it, and for a trial whether it is granted. */
export const crashesResultSchema = z.object({ is_taken: z.boolean() });

/** Parameters of `leaving`: upstreams that said in their answers to an entry that they leave. */
export const leavingParametersSchema = z.object({ instance: z.string(), upstreams: z.array(z.string()) });

/** Result of `leaving`: whether a quorum holds it. */
export const leavingResultSchema = z.object({ is_taken: z.boolean() });

/** Parameters of `document`: the least version that will do. */
export const documentParametersSchema = z.object({ version: z.int() });

/** Result of `document`, from any voter. */
export const documentResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("document"), version: z.int(), packed: z.string() }),
    /** This voter has not got that version yet. */
    z.object({ kind: z.literal("not-held") }),
    /** Too many documents leave this voter already. */
    z.object({ kind: z.literal("busy"), retry_ms: z.number().nonnegative() }),
]);

/** Parameters of `join`: a replica that wants to take part. */
export const joinParametersSchema = z.object({ replica: replicaAddressSchema });
/** Result of `join`. */
export const joinResultSchema = z.object({ leader: replicaAddressSchema.optional() });

/** What was sent to each service in the last window of the budget of repeats. */
export type RetryBudgetUsage = z.infer<typeof retryBudgetUsageSchema>;
/** Requests by the first upstream of their path. */
export type UpstreamLoads = z.infer<typeof upstreamLoadsSchema>;
/** Parameters of `synchronise`. */
export type SynchroniseParameters = z.input<typeof synchroniseParametersSchema>;
/** Parameters of `suspect`. */
export type SuspectParameters = z.infer<typeof suspectParametersSchema>;
/** Parameters of `crashes`. */
export type CrashesParameters = z.infer<typeof crashesParametersSchema>;
/** Parameters of `trial`. */
export type TrialParameters = z.infer<typeof trialParametersSchema>;
/** Result of `crashes` and of `trial`. */
export type CrashesResult = z.infer<typeof crashesResultSchema>;
/** Parameters of `leaving`. */
export type LeavingParameters = z.infer<typeof leavingParametersSchema>;
/** Result of `leaving`. */
export type LeavingResult = z.infer<typeof leavingResultSchema>;
/** Parameters of `document`. */
export type DocumentParameters = z.infer<typeof documentParametersSchema>;
/** Result of `document`. */
export type DocumentResult = z.infer<typeof documentResultSchema>;
/** Result of `synchronise`. */
export type SynchroniseResult = z.input<typeof synchroniseResultSchema>;
/** The part of a result that carries state. */
export type SynchronisedState = Extract<z.input<typeof synchroniseResultSchema>, { kind: "state"; }>;
