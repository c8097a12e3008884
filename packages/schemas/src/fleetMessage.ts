/**
 * Parameters and results of the JSON-RPC 2.0 methods that entries and voters call on voters.
 */
import * as z from "zod";
import { demandReportSchema, demandSummarySchema } from "./demandMessage.js";
import { rateLimitCursorSchema, rateLimitUpdatesSchema } from "./rateLimitMessage.js";
import { registeredUpstreamSchema } from "./registeredUpstream.js";
import { replicaAddressSchema } from "./replicaMessage.js";
import { crashRecordSchema, reportedCrashSchema } from "./requestCrash.js";
import { segmentStatusSchema } from "./segmentCrash.js";

/** Most ranks that are reported apart; less urgent ones count as the last. */
export const MAX_REPORTED_RANKS = 64;

/** Request counts by rank; counts that don't parse are dropped, so that the rest of the message counts. */
const rankCountsSchema = z.array(z.int().nonnegative()).max(MAX_REPORTED_RANKS).optional().catch(undefined);
/** Upper bound of the tokens at one upstream that are credible: more than any engine has memory for. */
const MAX_LOAD_TOKENS = 100_000_000;

/** Request counts by the first upstream of the request's path. */
export const upstreamLoadsSchema = z.record(
    z.string(),
    z.object({
        /** Open requests. */
        open: z.int().nonnegative(),
        /** Open requests without a first token. */
        unstarted: z.int().nonnegative(),
        /** The unstarted requests by rank; absent for services that are not ranked. */
        unstarted_by_rank: rankCountsSchema,
        /** The open requests by rank; absent for services that are not ranked. */
        open_by_rank: rankCountsSchema,
        /** Tokens that the open requests hold on average: the prompt and half of the answer expected of each. */
        tokens: z.int().nonnegative().max(MAX_LOAD_TOKENS).optional().catch(undefined),
        /** Open requests that `tokens` covers, in a sum that includes entries which report none; absent: all. */
        sized_open: z.int().nonnegative().optional().catch(undefined),
    }),
);

/** Requests and retries sent to each service in the latest window of the retry budget. */
export const retryBudgetUsageSchema = z.record(
    z.string(),
    z.object({
        requests: z.int().nonnegative(),
        repeats: z.int().nonnegative(),
        /** Retries that a restarted entry may have sent besides; builds that report them in `repeats` omit it. */
        lost: z.int().nonnegative().optional(),
    }),
);

/** Domains in a report on links; a report with more is dropped. */
const MAX_LINK_DOMAINS = 32;

/** Events of an entry's streams by the failure domain of the path's first engine, and those that came late. */
export const linkReportSchema = z.record(
    z.string(),
    z.object({ events_per_s: z.number().nonnegative(), gaps_per_s: z.number().nonnegative() }),
).refine((report) => Object.keys(report).length <= MAX_LINK_DOMAINS);

/** A pair of failure domains whose links lose packets. */
export const lossyLinkSchema = z.object({
    /** Domain of the entries. */
    from: z.string(),
    /** Domain of the engines. */
    to: z.string(),
    /** Share of the events that come late, from 0 to 1. */
    late_share: z.number().nonnegative(),
    /** Time since the loss was detected, in milliseconds. */
    age_ms: z.number().nonnegative(),
});

/** How other entries may send requests to upstreams through an entry. */
export const relayOfferSchema = z.object({
    /** Peer address of the entry. */
    address: z.string(),
    /** Whether it reaches upstreams itself and is not about to stop. */
    is_available: z.boolean(),
});

/** Parameters of `synchronise`: how much of the state an entry has, and its own activity. */
export const synchroniseParametersSchema = z.object({
    instance: z.string(),
    /** Log index up to which the entry has the state; 0 if it has none. */
    known_index: z.int().nonnegative(),
    /** Requests that the entry has open. */
    loads: upstreamLoadsSchema,
    /** Requests and retries that the entry sent. */
    spending: retryBudgetUsageSchema.default({}),
    /** Cursor of the rate limits that the entry has. */
    limits_known: rateLimitCursorSchema.default({ term: 0, change: 0 }),
    /** Whether the leader may delay its response until there is a change (long polling). */
    may_wait: z.boolean().default(true),
    /** Whether a voter that knows of no leader may delay its response until it does. */
    awaits_leader: z.boolean().default(false),
    /** Address of a leader that does not answer the entry; with `awaits_leader`, the entry waits for another one. */
    late_leader: z.string().optional(),
    /** Newest version of the operator's document that a voter has named to the entry; the entry does not wait for a newer one. */
    known_version: z.int().optional(),
    /** Version of the operator's document that the entry has applied; absent before the first one. */
    applied_version: z.int().optional(),
    /** Failure domain of the entry. */
    domain: z.string().optional().catch(undefined),
    /** What the entry's streams show of its links; dropped where it is invalid. */
    links: linkReportSchema.optional().catch(undefined),
    /** Demand at the entry. An invalid value is dropped: the rest of the message counts. */
    demand: demandReportSchema.optional().catch(undefined),
    /** Absent from entries that do not relay requests. */
    relay: relayOfferSchema.optional().catch(undefined),
    /** Whether another voter reports changes of the state to the entry, so that the leader need not answer early for them. */
    is_watching: z.boolean().default(false),
});

/** Parameters of `watch`, which any voter answers once it has applied changes that the entry lacks (long polling). */
export const watchParametersSchema = z.object({
    instance: z.string(),
    /** Log index up to which the entry has the state. */
    known_index: z.int().nonnegative(),
    /** Version of the operator's document that the entry has applied; absent before the first one. */
    applied_version: z.int().optional(),
    /** Whether the voter may delay its response until there is a change. */
    may_wait: z.boolean().default(true),
});

/** Newest document that a voter has applied. */
const documentStateShape = {
    /** Version of the operator's newest document; the method `document` returns its content. */
    document_version: z.int().optional().catch(undefined),
    /** Time since this voter applied that version, in milliseconds. */
    document_age_ms: z.number().nonnegative().optional().catch(undefined),
    /** Time since this voter applied the first version newer than the entry's, in milliseconds. */
    behind_ms: z.number().nonnegative().optional().catch(undefined),
};

/** Changes of the state after an index. */
const stateChangesShape = {
    /** Log index of the state that the entry has after this response. */
    index: z.int().nonnegative(),
    /** Whether `upstreams` is the full list; otherwise it contains only those that changed. */
    is_whole: z.boolean(),
    upstreams: z.array(registeredUpstreamSchema),
    removed: z.array(z.string()),
    /** Requests under which several upstreams crashed: the full list, or those that changed. */
    crashes: z.array(crashRecordSchema).default([]),
    /** Fingerprints of requests whose crash records were deleted. */
    crashes_forgotten: z.array(z.string()).default([]),
    /** All suspected and quarantined prompt segments; absent if none of them changed. */
    segments: z.array(segmentStatusSchema).optional().catch(undefined),
};

/** Result of `watch`. What a voter has applied is committed, but it may lack newer changes, so it confirms nothing. */
export const watchResultSchema = z.object({
    ...stateChangesShape,
    ...documentStateShape,
    /** Time since this voter had applied all that a leader had committed, in milliseconds. */
    stale_ms: z.number().nonnegative(),
});

/** Parameters of `suspect`: upstreams that failed an entry's requests; sent immediately, since `synchronise` is a long poll. */
export const suspectParametersSchema = z.object({
    instance: z.string(),
    suspects: z.array(z.string()),
    /** Engines that declined a request, which they also do while they are short of memory. */
    declined: z.array(z.string()).optional(),
});

/** Result of `synchronise`. */
export const synchroniseResultSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("state"),
        ...stateChangesShape,
        /** Version of the operator's newest document; the method `document` returns its content. */
        document_version: z.int().optional(),
        /** Time since this leader applied that version, in milliseconds. */
        document_age_ms: z.number().nonnegative().optional(),
        /** Time since this leader applied the first version newer than the entry's, in milliseconds. */
        behind_ms: z.number().nonnegative().optional(),
        /** Term and commit index of the leader at the time of the response. */
        confirmed_by: z.object({ term: z.int().nonnegative(), commit_index: z.int().nonnegative() }).optional(),
        /** Number of entries that contacted the leader recently, including this one. */
        entries: z.int().positive(),
        /** Requests that other entries have open. */
        loads_elsewhere: upstreamLoadsSchema,
        /** Requests and retries that other entries sent. */
        spending_elsewhere: retryBudgetUsageSchema.default({}),
        /** Time for which this leader has collected `spending_elsewhere`, in milliseconds. */
        spending_known_ms: z.number().nonnegative().default(0),
        /** Upstreams that several entries suspect, or that declined and do not answer, while the leader probes them. */
        suspects: z.array(z.string()).default([]),
        /** Rate limits that changed since the entry's cursor. */
        limits: rateLimitUpdatesSchema.optional(),
        /** Links that lose packets now; absent where the entry sent no `domain`, and just after a change of leader. */
        links: z.array(lossyLinkSchema).optional().catch(undefined),
        /** Demand over all entries; only for an entry that reports its own. */
        demand: demandSummarySchema.optional().catch(undefined),
        /** Peer addresses of entries that relay requests for this one, in order of preference; absent where it sent no `relay`. */
        relays: z.array(z.string()).optional().catch(undefined),
        /** Peer addresses of all replicas. */
        voters: z.array(z.string()),
    }),
    /**
     * This voter is not a leader confirmed by a quorum; `leader` is the last known one. The other members describe the newest
     * document that it has applied, which is committed.
     */
    z.object({
        kind: z.literal("not-leader"),
        leader: replicaAddressSchema.optional(),
        ...documentStateShape,
    }),
]);

/**
 * Parameters of `crashes`: upstream crashes with the requests that ran there, and recorded requests and prompt segments that
 * completed since, by fingerprint and by key.
 */
export const crashesParametersSchema = z.object({
    crashes: z.array(reportedCrashSchema),
    ran_well: z.array(z.string()),
});

/** Parameters of `trial`: a quarantined request to be sent once. */
export const trialParametersSchema = z.object({ fingerprint: z.string() });

/** Result of `crashes` and `trial`: whether a quorum stored the command and, for a trial, whether it is granted. */
export const crashesResultSchema = z.object({ is_taken: z.boolean() });

/** Parameters of `resend`: a request under which an upstream crashed, or one with a suspected prompt segment, to be sent. */
export const resendParametersSchema = z.object({
    fingerprint: z.string(),
    /** All shared segments of its prompt if some of them are suspected. */
    segments: z.array(z.string()).default([]),
});

/** Result of `resend`. */
export const resendResultSchema = z.object({
    outcome: z.enum([
        "granted",
        /** Another attempt of the same request is in progress. */
        "pending",
        "quarantined",
        /** This voter does not hold the leader lease. */
        "not-leader",
    ]),
});

/** Parameters of `leaving`: upstreams that announced their shutdown in responses to an entry. */
export const leavingParametersSchema = z.object({ instance: z.string(), upstreams: z.array(z.string()) });

/** Result of `leaving`: whether a quorum stored it. */
export const leavingResultSchema = z.object({ is_taken: z.boolean() });

/** Parameters of `document`: the minimum version. */
export const documentParametersSchema = z.object({ version: z.int() });

/** Result of `document`, which any voter serves. */
export const documentResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("document"), version: z.int(), packed: z.string() }),
    /** This voter does not have that version yet. */
    z.object({ kind: z.literal("not-held") }),
    /** This voter is sending the maximum number of documents. */
    z.object({ kind: z.literal("busy"), retry_ms: z.number().nonnegative() }),
]);

/** Most upstreams in one request of `reach`. */
const MAX_REACH_UPSTREAMS = 32;

/** Parameters of `reach`: upstreams to which an entry is asked to connect. */
export const reachParametersSchema = z.object({ upstreams: z.array(z.string()).max(MAX_REACH_UPSTREAMS) });

/** Result of `reach`: those to which it could connect. */
export const reachResultSchema = z.object({ reached: z.array(z.string()) });

/** Parameters of `join`: a replica that asks to become a member of the cluster. */
export const joinParametersSchema = z.object({ replica: replicaAddressSchema });
/** Result of `join`. */
export const joinResultSchema = z.object({ leader: replicaAddressSchema.optional() });

/** Result of `leave`, whose parameters are those of `join`: a voter whose process is about to end. */
export const leaveResultSchema = z.object({
    /** Whether the replica still is a voter that a learner is about to replace. */
    is_replacement_pending: z.boolean(),
});

/** Requests and retries sent to each service in the latest window of the retry budget. */
export type RetryBudgetUsage = z.infer<typeof retryBudgetUsageSchema>;
/** Request counts by the first upstream of the request's path. */
export type UpstreamLoads = z.infer<typeof upstreamLoadsSchema>;
/** What an entry's streams show of its links, by failure domain. */
export type LinkReport = z.infer<typeof linkReportSchema>;
/** A pair of failure domains whose links lose packets. */
export type LossyLink = z.infer<typeof lossyLinkSchema>;
/** Parameters of `synchronise`. */
export type SynchroniseParameters = z.input<typeof synchroniseParametersSchema>;
/** Parameters of `suspect`. */
export type SuspectParameters = z.infer<typeof suspectParametersSchema>;
/** Parameters of `crashes`. */
export type CrashesParameters = z.infer<typeof crashesParametersSchema>;
/** Parameters of `trial`. */
export type TrialParameters = z.infer<typeof trialParametersSchema>;
/** Result of `crashes` and `trial`. */
export type CrashesResult = z.infer<typeof crashesResultSchema>;
/** Parameters of `resend`. */
export type ResendParameters = z.input<typeof resendParametersSchema>;
/** Result of `resend`. */
export type ResendResult = z.infer<typeof resendResultSchema>;
/** Parameters of `leaving`. */
export type LeavingParameters = z.infer<typeof leavingParametersSchema>;
/** Result of `leave`. */
export type LeaveResult = z.infer<typeof leaveResultSchema>;
/** Result of `leaving`. */
export type LeavingResult = z.infer<typeof leavingResultSchema>;
/** How other entries may send requests to upstreams through an entry. */
export type RelayOffer = z.infer<typeof relayOfferSchema>;
/** Parameters of `reach`. */
export type ReachParameters = z.infer<typeof reachParametersSchema>;
/** Result of `reach`. */
export type ReachResult = z.infer<typeof reachResultSchema>;
/** Parameters of `document`. */
export type DocumentParameters = z.infer<typeof documentParametersSchema>;
/** Result of `document`. */
export type DocumentResult = z.infer<typeof documentResultSchema>;
/** Parameters of `watch`. */
export type WatchParameters = z.input<typeof watchParametersSchema>;
/** Result of `watch`. */
export type WatchResult = z.input<typeof watchResultSchema>;
/** Changes of the state after an index. */
export type StateChanges = Pick<
    WatchResult,
    "index" | "is_whole" | "upstreams" | "removed" | "crashes" | "crashes_forgotten" | "segments"
>;
/** Result of `synchronise`. */
export type SynchroniseResult = z.input<typeof synchroniseResultSchema>;
/** Result of `synchronise` from a confirmed leader. */
export type SynchronisedState = Extract<z.input<typeof synchroniseResultSchema>, { kind: "state"; }>;
