/**
 * Messages between replicas of the log. Each message is one-way; replies are messages of their own.
 * The names follow Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
 */
import * as z from "zod";

/** A replica: an id that is created with its data folder, and the address on which it listens. */
export const replicaAddressSchema = z.object({ id: z.string(), address: z.string() });

/** Voting members and non-voting learners. */
export const replicaSetSchema = z.object({
    voters: z.array(replicaAddressSchema),
    learners: z.array(replicaAddressSchema),
});

/** One entry of the log. */
export const logEntrySchema = z.object({
    index: z.int().positive(),
    term: z.int().nonnegative(),
    payload: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("none") }),
        z.object({ kind: z.literal("command"), command: z.unknown() }),
        z.object({ kind: z.literal("replicas"), replicas: replicaSetSchema }),
    ]),
});

/** State at an index; it replaces the log entries up to that index. */
export const snapshotSchema = z.object({
    index: z.int().nonnegative(),
    term: z.int().nonnegative(),
    replicas: replicaSetSchema,
    state: z.unknown(),
});

const voteRequestShape = {
    term: z.int(),
    last_index: z.int(),
    last_term: z.int(),
};

/** Sent by a voter that has not heard from a leader since its process started. */
const recentStartSchema = z.object({
    /** Identifies one run of the process, from start to exit. */
    life: z.string(),
    /** Time since the start, in milliseconds. */
    age_ms: z.number(),
    /** Whether the candidate's log is at least as up to date as the voter's. */
    is_up_to_date: z.boolean(),
});

/** All messages between replicas. */
export const replicaMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("pre-vote"),
        ...voteRequestShape,
        /** Monotonic time of the candidate, echoed in the reply to identify the round. */
        round_ms: z.number(),
    }),
    z.object({
        kind: z.literal("pre-vote-answer"),
        term: z.int(),
        is_granted: z.boolean(),
        round_ms: z.number(),
        /** Absent once the voter has heard from a leader since its start. */
        new_life: recentStartSchema.optional(),
    }),
    z.object({
        kind: z.literal("vote"),
        ...voteRequestShape,
        is_transfer: z.boolean(),
        /**
         * `life` that the addressee reported in its pre-vote answer. Only that run of its process may grant the vote before
         * its wait after the start is over.
         */
        life: z.string().optional(),
    }),
    z.object({ kind: z.literal("vote-answer"), term: z.int(), is_granted: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        term: z.int(),
        previous_index: z.int(),
        previous_term: z.int(),
        entries: z.array(logEntrySchema),
        commit_index: z.int(),
        /** Voters that have not answered for longer than an election timeout, and for how long. */
        silent: z.array(z.object({ id: z.string(), ms: z.number() })).optional(),
        /** The leader's monotonic send time, echoed in the reply; the lease starts at that time. */
        sent_ms: z.number(),
    }),
    z.object({
        kind: z.literal("append-answer"),
        term: z.int(),
        is_accepted: z.boolean(),
        /** If accepted, the last index known to match; otherwise, the index from which the leader should continue. */
        match_index: z.int(),
        sent_ms: z.number(),
    }),
    z.object({ kind: z.literal("snapshot"), term: z.int(), snapshot: snapshotSchema, sent_ms: z.number() }),
    z.object({ kind: z.literal("take-over"), term: z.int() }),
]);

/** A message with its sender, its addressee and the cluster to which both must belong. */
export const replicaEnvelopeSchema = z.object({
    cluster: z.string(),
    from: replicaAddressSchema,
    to: z.string(),
    message: replicaMessageSchema,
});

/** A replica and its address. */
export type ReplicaAddress = z.infer<typeof replicaAddressSchema>;
/** A message with sender, addressee and cluster. */
export type ReplicaEnvelope = z.infer<typeof replicaEnvelopeSchema>;
/** Voting members and non-voting learners. */
export type ReplicaSet = z.infer<typeof replicaSetSchema>;
/** One entry of the log. */
export type LogEntry = z.infer<typeof logEntrySchema>;
/** Payload of a log entry. */
export type LogPayload = LogEntry["payload"];
/** State at an index; it replaces the log entries up to that index. */
export type Snapshot = z.infer<typeof snapshotSchema>;
/** A message between replicas. */
export type ReplicaMessage = z.infer<typeof replicaMessageSchema>;
/** The message type of one kind. */
export type ReplicaMessageOf<Kind extends ReplicaMessage["kind"]> = Extract<ReplicaMessage, { kind: Kind; }>;
