/**
 * How late replicas answer each other. Timeouts must be well above the time in which a message is answered (Raft, section 5.6),
 * which grows when processes lack processor time or disks are slow, so it is measured rather than assumed.
 */
import { getLastResumeMs, getMonotonicMs, type ReplicaContext } from "./replicaContext.js";

/** Time in which a measured delay loses half of its influence, in milliseconds. */
const HALF_LIFE_MS = 3_000;
/** Upper bound of the delay, in minimum election timeouts, so that a single message cannot stop elections for long. */
const MAX_ELECTION_TIMEOUTS = 8;

/** The longest recent delay. */
export interface Lateness {
    readonly ms: number;
    readonly measuredMs: number;
}

/** No delay has been measured yet. */
export const noLateness: Lateness = { ms: 0, measuredMs: 0 };

/**
 * Records how late a message was, unless this machine was suspended meanwhile.
 * @param context - the replica
 * @param sinceMs - when the message would have arrived without delay, by the monotonic clock
 */
export function recordLateness(context: ReplicaContext, sinceMs: number): void {
    if (sinceMs < getLastResumeMs(context)) {
        return;
    }
    const measuredMs = getMonotonicMs(context);
    const maxMs = context.options.timing.minElectionTimeoutMs * MAX_ELECTION_TIMEOUTS;
    const ms = Math.min(maxMs, Math.max(measuredMs - sinceMs, getLatenessMs(context)));
    context.lateness = { ms, measuredMs };
}

/**
 * Gets the longest recent delay.
 * @param context - the replica
 * @returns milliseconds; decays with time
 */
export function getLatenessMs(context: ReplicaContext): number {
    const { ms, measuredMs } = context.lateness;
    return ms * 0.5 ** ((getMonotonicMs(context) - measuredMs) / HALF_LIFE_MS);
}
