/**
 * Quarantine of requests that crash upstreams. Entries report which requests ran on an upstream when it crashed, and
 * voters replicate the records. A request with too many crashes is quarantined ("held" in events): it is not sent to
 * upstreams, except for a limited number of trials.
 */
import * as z from "zod";

/** A crash of an upstream while it ran a request. */
export const requestCrashSchema = z.object({
    /** Hash of organisation, method, host, target and body; the same for all attempts of a request. */
    fingerprint: z.string(),
    /** Identifies one incarnation of the upstream. */
    upstream: z.string(),
    /** Whether the upstream had sent a part of the response before it crashed. */
    had_progress: z.boolean(),
});

/** Lets an operator find the sender of a request. */
const crashOriginSchema = z.object({ organisation: z.string().optional(), host: z.string(), target: z.string() });

/** A crash as reported by an entry. */
export const reportedCrashSchema = requestCrashSchema.extend({
    origin: crashOriginSchema,
    /** Segments of the prompt that the crash speaks against; missing in commands of older builds. */
    segments: z.array(z.string()).optional(),
    /** Whether the upstream had answered the request for some time. */
    is_late: z.boolean().optional(),
});

/** Crashes and trials of one request. */
export const crashRecordSchema = z.object({
    fingerprint: z.string(),
    origin: crashOriginSchema,
    /** Incarnations of upstreams that crashed before they sent any part of the response. */
    silent: z.array(z.string()),
    /** Incarnations of upstreams that crashed after they sent a part of the response. */
    midway: z.array(z.string()),
    /** Number of trial sends permitted while the request was quarantined. */
    trials: z.int().nonnegative(),
    /** Unix time of the latest crash or trial, by the clock of the leader at that time. */
    changed_at_ms: z.number(),
});

/** A crash of an upstream while it ran a request. */
export type RequestCrash = z.infer<typeof requestCrashSchema>;
/** A crash as reported by an entry. */
export type ReportedCrash = z.infer<typeof reportedCrashSchema>;
/** Crashes and trials of one request. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/**
 * Crashes without partial output after which a request is quarantined. The contract with upstreams allows at most three
 * sends of a request after its third crash.
 */
const SILENT_CRASH_LIMIT = 3;
/**
 * Crashes of any kind after which a request is quarantined. The limit is higher than `SILENT_CRASH_LIMIT` since an innocent
 * stream that fails over to the same engines as a crashing request runs during the same crashes, but has produced output in
 * most of them. Two of the three sends that the contract allows after the third crash suffice to distinguish the two.
 */
const CRASH_LIMIT = 5;
/** Trial sends of a quarantined request; the third send that the contract allows is reserved for a send already in flight. */
const MAX_TRIALS = 2;
/** Time from the latest crash to a trial; exceeds the callers' timeouts, so that a trial never serves as a retry. */
const TRIAL_DELAY_MS = 30_000;

/**
 * Checks whether a request is quarantined.
 * @param record - crashes of the request
 * @returns true if a crash limit is reached
 */
export function isRequestQuarantined({ silent, midway }: Pick<CrashRecord, "silent" | "midway">): boolean {
    return silent.length >= SILENT_CRASH_LIMIT || silent.length + midway.length >= CRASH_LIMIT;
}

/**
 * Checks whether a quarantined request may be sent once more, to find out whether it still crashes upstreams.
 * @param record - crashes and trials of the request
 * @param nowMs - Unix time
 * @returns true if a trial is permitted now
 */
export function isTrialDue(record: CrashRecord, nowMs: number): boolean {
    const crashes = record.silent.length + record.midway.length;
    return isRequestQuarantined(record)
        && record.trials < MAX_TRIALS
        && crashes < CRASH_LIMIT
        && nowMs - record.changed_at_ms >= TRIAL_DELAY_MS;
}

/**
 * Checks whether a request may only be sent again after the leader has agreed. Its next crash may be the third, and an
 * entry knows the crashes at other entries only some time later.
 * @param record - crashes of the request
 * @returns true from the first crash without partial output, or from the third of any kind
 */
export function needsResendGrant({ silent, midway }: Pick<CrashRecord, "silent" | "midway">): boolean {
    return silent.length >= 1 || silent.length + midway.length >= SILENT_CRASH_LIMIT;
}

/**
 * Checks whether the next crash may quarantine a request. The records of such requests are sent to entries.
 * @param record - crashes of the request
 * @returns true from the second crash on
 */
export function isNearQuarantine({ silent, midway }: Pick<CrashRecord, "silent" | "midway">): boolean {
    return silent.length + midway.length >= 2;
}
