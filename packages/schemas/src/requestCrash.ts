/**
 * Requests under which upstreams ended, as entries report them and voters agree on them.
 */
import * as z from "zod";

/** An upstream that ended while it ran a request. */
export const requestCrashSchema = z.object({
    /** The same for all attempts of a request: its organisation, method, host, target and body. */
    fingerprint: z.string(),
    /** Names one life of the upstream. */
    upstream: z.string(),
    /** Whether it had given a part of the answer before it ended. */
    had_progress: z.boolean(),
});

/** What an operator needs to find whom to ask about a request. */
const crashOriginSchema = z.object({ organisation: z.string().optional(), host: z.string(), target: z.string() });

/** A crash as an entry reports it. */
export const reportedCrashSchema = requestCrashSchema.extend({ origin: crashOriginSchema });

/** All that is known of one request under which upstreams ended. */
export const crashRecordSchema = z.object({
    fingerprint: z.string(),
    origin: crashOriginSchema,
    /** Lives of upstreams that ended before any part of its answer. */
    silent: z.array(z.string()),
    /** Lives of upstreams that ended in the middle of its answer. */
    midway: z.array(z.string()),
    /** Sends that were allowed after it was held. */
    trials: z.int().nonnegative(),
    /** Unix time of the newest crash or trial, by the leader's clock of that moment. */
    changed_at_ms: z.number(),
});

/** An upstream that ended while it ran a request. */
export type RequestCrash = z.infer<typeof requestCrashSchema>;
/** A crash as an entry reports it. */
export type ReportedCrash = z.infer<typeof reportedCrashSchema>;
/** All that is known of one request under which upstreams ended. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/**
 * Upstreams that a request may end before it is held; the promise to upstreams is that no more than three sends follow the
 * third crash.
 */
const MOST_SILENT_CRASHES = 3;
/**
 * The same where some of them had given a part of the answer. A stream that moves from one engine to the next together with a
 * crashing one is in the same crashes, yet it had events at most of them; two of the three later sends are enough to tell.
 */
const MOST_CRASHES = 5;
/** Sends allowed after a request was held; the third of the promise is left for those that are under way meanwhile. */
const MOST_TRIALS = 2;
/** From the newest crash to a trial: longer than callers wait for an answer, so that a trial is no retry. */
const TRIAL_AFTER_MS = 30_000;

/**
 * Tells whether a request is not sent to upstreams any more.
 * @param record - lives that ended under it
 * @returns true where it ended too many
 */
export function isRequestQuarantined({ silent, midway }: Pick<CrashRecord, "silent" | "midway">): boolean {
    return silent.length >= MOST_SILENT_CRASHES || silent.length + midway.length >= MOST_CRASHES;
}

/**
 * Tells whether a request that is held may be sent once, to find out whether it still ends upstreams.
 * @param record - what is known of it
 * @param nowMs - Unix time
 * @returns true where a trial is due
 */
export function isTrialDue(record: CrashRecord, nowMs: number): boolean {
    const crashes = record.silent.length + record.midway.length;
    return isRequestQuarantined(record)
        && record.trials < MOST_TRIALS
        && crashes < MOST_CRASHES
        && nowMs - record.changed_at_ms >= TRIAL_AFTER_MS;
}

/**
 * Tells whether entries have to know of a record: the next crash may hold its request.
 * @param record - lives that ended under it
 * @returns true from the second crash on
 */
export function isNearQuarantine({ silent, midway }: Pick<CrashRecord, "silent" | "midway">): boolean {
    return silent.length + midway.length >= 2;
}
