/**
 * Messages between replicas of the log. Each goes one way; answers are messages too.
 * The names follow Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
 */
import * as z from "zod";

/** A replica: an id made with its disk, and where it listens. */
export const replicaAddressSchema = z.object({ id: z.string(), address: z.string() });

/** Who votes and who only follows. */
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

/** The state up to an index, in place of the entries that made it. */
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

/** What a voter says of itself while it has heard no leader since its start. */
const newLifeSchema = z.object({
    /** Names the time from one start to the next. */
    life: z.string(),
    /** Time since that start. */
    age_ms: z.number(),
    /** Whether the asker's log is as new as its own. */
    is_up_to_date: z.boolean(),
});

/** All messages between replicas. */
export const replicaMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("pre-vote"),
        ...voteRequestShape,
        /** The asker's monotonic time, echoed in the answer: it names the round. */
        round_ms: z.number(),
    }),
    z.object({
        kind: z.literal("pre-vote-answer"),
        term: z.int(),
        is_granted: z.boolean(),
        round_ms: z.number(),
        /** Left out once a leader was heard since the start. */
        new_life: newLifeSchema.optional(),
    }),
    z.object({
        kind: z.literal("vote"),
        ...voteRequestShape,
        is_transfer: z.boolean(),
        /** The life of the addressee that told the candidate that it has heard no leader. */
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
        /** The leader's monotonic time of sending, echoed in the answer; the lease is counted from it. */
        sent_ms: z.number(),
    }),
    z.object({
        kind: z.literal("append-answer"),
        term: z.int(),
        is_accepted: z.boolean(),
        /** Accepted: last index known to match. Refused: where the leader should go on. */
        match_index: z.int(),
        sent_ms: z.number(),
    }),
    z.object({ kind: z.literal("snapshot"), term: z.int(), snapshot: snapshotSchema, sent_ms: z.number() }),
    z.object({ kind: z.literal("take-over"), term: z.int() }),
]);

/** A message with its sender, its addressee and the cluster that both must belong to. */
export const replicaEnvelopeSchema = z.object({
    cluster: z.string(),
    from: replicaAddressSchema,
    to: z.string(),
    message: replicaMessageSchema,
});

/** A replica and where it listens. */
export type ReplicaAddress = z.infer<typeof replicaAddressSchema>;
/** A message on its way. */
export type ReplicaEnvelope = z.infer<typeof replicaEnvelopeSchema>;
/** Who votes and who only follows. */
export type ReplicaSet = z.infer<typeof replicaSetSchema>;
/** One entry of the log. */
export type LogEntry = z.infer<typeof logEntrySchema>;
/** What an entry carries. */
export type LogPayload = LogEntry["payload"];
/** State in place of a part of the log. */
export type Snapshot = z.infer<typeof snapshotSchema>;
/** A message between replicas. */
export type ReplicaMessage = z.infer<typeof replicaMessageSchema>;
/** The message of one kind. */
export type ReplicaMessageOf<Kind extends ReplicaMessage["kind"]> = Extract<ReplicaMessage, { kind: Kind; }>;
