/**
 * One schedule of sends for the whole fleet, kept by the leader, for upstreams that stated a rate limit.
 *
 * Load pattern: an upstream takes 2.1 requests a second from 59 entries. An equal share is one request in 28 s per
 * entry: too long a wait for a caller, and unused at an entry without callers; saved up, it is a burst of 59 requests.
 *
 * So the leader grants single send slots, each with its time, one after another at the upstream's rate, to the entries
 * that ask. No slot is granted twice, whatever happens to the entry that holds it, and nothing has to be revoked when
 * an entry or the leader is lost.
 */

/** An upstream and its rate limit. */
export interface LimitedUpstream {
    readonly id: string;
    /** Requests a second from all instances together. */
    readonly requestsPerSecond: number;
}

/** An entry's request for send slots; a slot permits one request from its time on. */
export interface SendSlotRequest {
    readonly instance: string;
    readonly upstream: LimitedUpstream;
    /** Slots that the entry could use now. */
    readonly count: number;
    /** Share of each limit that is granted as slots; the rest is left to entries that can't reach the leader. */
    readonly limitShare: number;
    readonly nowMs: number;
    /** How far ahead a slot is still useful, in milliseconds. */
    readonly withinMs: number;
}

/** Slots granted to an entry. */
export interface SendSlotGrant {
    /** Times of the slots, on the leader's clock. */
    readonly sendsMs: readonly number[];
    /** Time of the next free slot. */
    readonly nextMs: number;
}

/**
 * Longest time between two sends. An upstream that takes no requests, or so few that none is answered for minutes, gets
 * one request of the whole fleet in this time; otherwise nobody would learn that its limit has ended.
 */
export const MAX_SEND_INTERVAL_MS = 10_000;
/**
 * A slot that stayed free for up to this long may still be granted; older ones are dropped, since they would add up to
 * a burst.
 */
const MAX_BACKLOG_MS = 50;
/** An entry that has not asked for this long no longer counts as waiting. */
const WAITING_TIMEOUT_MS = 500;
const MS_PER_SECOND = 1_000;

interface Requester {
    requestedMs: number;
    grantedMs: number;
    isWaiting: boolean;
    /** Times of the slots that it holds. */
    sendsMs: number[];
}

/** Grants send slots. */
export class SendSchedule {
    /** Time of the last granted slot; before the first one, the time at which the limit was stated. */
    private readonly lastSendMs = new Map<string, number>();
    private readonly requesters = new Map<string, Map<string, Requester>>();

    /**
     * Starts the schedule of an upstream that stated a limit. A changed limit continues from the last slot: restarted
     * with each change, an upstream whose limit changes faster than slots are due would get no requests.
     * @param id - the upstream
     * @param nowMs - the monotonic clock
     */
    startSchedule(id: string, nowMs: number): void {
        this.lastSendMs.set(id, this.lastSendMs.get(id) ?? nowMs);
    }

    /**
     * Removes an upstream whose limit has ended.
     * @param id - the upstream
     */
    removeUpstream(id: string): void {
        this.lastSendMs.delete(id);
        this.requesters.delete(id);
    }

    /**
     * Grants slots to an entry.
     * @param request - what the entry asks for
     * @returns the granted slots
     */
    requestSlots(request: SendSlotRequest): SendSlotGrant {
        const { upstream, instance, count, nowMs, withinMs } = request;
        const requester = this.getRequester(upstream.id, instance);
        requester.requestedMs = nowMs;
        requester.sendsMs = requester.sendsMs.filter((sendMs) => sendMs > nowMs);
        const sendsMs: number[] = [];
        const maxHeld = this.computeMaxHeld(request);
        let sendMs = this.computeNextMs(request);
        while (
            sendsMs.length < count
            && sendMs <= nowMs + withinMs
            && requester.sendsMs.length < maxHeld
            && (sendMs <= nowMs || this.isLongestWaiting(request))
        ) {
            sendsMs.push(sendMs);
            this.grant(request, requester, sendMs);
            sendMs = this.computeNextMs(request);
        }
        requester.isWaiting = sendsMs.length < count;
        return { sendsMs, nextMs: sendMs };
    }

    private grant({ upstream, nowMs }: SendSlotRequest, requester: Requester, sendMs: number): void {
        this.lastSendMs.set(upstream.id, sendMs);
        requester.grantedMs = Math.max(nowMs, sendMs);
        requester.sendsMs.push(sendMs);
    }

    private computeNextMs({ upstream, limitShare, nowMs }: SendSlotRequest): number {
        this.startSchedule(upstream.id, nowMs);
        const nextMs = (this.lastSendMs.get(upstream.id) ?? nowMs) + computeIntervalMs(upstream, limitShare);
        return Math.max(nextMs, nowMs - MAX_BACKLOG_MS);
    }

    /**
     * Future slots are shared out equally among the waiting entries, so that the first one to ask does not take all.
     */
    private computeMaxHeld(request: SendSlotRequest): number {
        const { upstream, limitShare, withinMs } = request;
        const ahead = Math.ceil(withinMs / computeIntervalMs(upstream, limitShare));
        return Math.max(1, Math.ceil(ahead / Math.max(1, this.listWaiting(request).length)));
    }

    /** The entry that has waited longest comes first; others get only slots that are due already. */
    private isLongestWaiting(request: SendSlotRequest): boolean {
        const ownMs = this.getRequester(request.upstream.id, request.instance).grantedMs;
        return this.listWaiting(request).every(({ grantedMs }) => grantedMs >= ownMs);
    }

    private listWaiting({ upstream, nowMs }: SendSlotRequest): readonly Requester[] {
        const known = this.requesters.get(upstream.id);
        if (known === undefined) {
            return [];
        }
        for (const [instance, { requestedMs }] of known) {
            if (nowMs - requestedMs > WAITING_TIMEOUT_MS) {
                known.delete(instance);
            }
        }
        return [...known.values()].filter(({ isWaiting }) => isWaiting);
    }

    private getRequester(id: string, instance: string): Requester {
        const byInstance = this.requesters.get(id) ?? new Map<string, Requester>();
        this.requesters.set(id, byInstance);
        const requester = byInstance.get(instance)
            ?? { requestedMs: 0, grantedMs: Number.NEGATIVE_INFINITY, isWaiting: false, sendsMs: [] };
        byInstance.set(instance, requester);
        return requester;
    }
}

function computeIntervalMs({ requestsPerSecond }: LimitedUpstream, limitShare: number): number {
    const rate = requestsPerSecond * limitShare;
    return rate <= 0 ? MAX_SEND_INTERVAL_MS : Math.min(MAX_SEND_INTERVAL_MS, MS_PER_SECOND / rate);
}
