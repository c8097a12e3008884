/**
 * Who may send next to upstreams that named a limit: one schedule for the whole fleet, kept by the leader.
 *
 * Load pattern: an upstream names 2.1 requests a second before 59 entries. Each entry's even part is one request in 28 s, which a
 * caller can't wait for and an entry without callers leaves unused; saved up, it is 59 requests at once.
 *
 * So what is handed out are single sends, each with its time, one after another at the upstream's rate, to whoever asks: none is
 * promised twice, whatever becomes of the entry that has it, and nothing has to be taken back when an entry or the leader is
 * lost.
 */

/** An upstream and its limit. */
export interface LimitedUpstream {
    readonly id: string;
    /** Requests a second from all instances together. */
    readonly requestsASecond: number;
}

/** What an entry asks for. */
export interface SendSlotRequest {
    readonly instance: string;
    readonly upstream: LimitedUpstream;
    /** Sends that it could use now. */
    readonly count: number;
    /** Part of each limit that is handed out; entries out of reach may use what is left. */
    readonly limitShare: number;
    readonly nowMs: number;
    /** How far ahead a send is still of use. */
    readonly withinMs: number;
}

/** What it gets. */
export interface SendSlotGrant {
    /** The times from which on each may be made, on the leader's clock. */
    readonly sendsMs: readonly number[];
    /** When the next one is free for somebody. */
    readonly nextMs: number;
}

/**
 * Longest time between two sends: an upstream that takes none, or so few that no answer comes for minutes, is asked once in this
 * time by one request of the whole fleet, since nobody would learn otherwise that its limit is over.
 */
export const MAX_SEND_INTERVAL_MS = 10_000;
/** What was free for so long may still be handed out; anything older is lost, since saved up it would be sent at once. */
const BACKLOG_MS = 50;
/** An entry that has not asked for so long does not wait any more. */
const WAITING_MS = 500;
const MS_A_SECOND = 1_000;

interface Asker {
    askedMs: number;
    grantedMs: number;
    isWaiting: boolean;
    /** Sends that it holds, by their times. */
    sendsMs: number[];
}

/** Hands out sends. */
export class SendSchedule {
    /** When the last send was, or is to be; before the first one, when the limit was named. */
    private readonly lastMs = new Map<string, number>();
    private readonly askers = new Map<string, Map<string, Asker>>();

    /**
     * Begins with an upstream that named a limit. One that names another is followed from its last send on: begun anew with each
     * notice, it would get nothing where notices change faster than sends are due.
     * @param id - the upstream
     * @param nowMs - the monotonic clock
     */
    startSchedule(id: string, nowMs: number): void {
        this.lastMs.set(id, this.lastMs.get(id) ?? nowMs);
    }

    /**
     * Forgets an upstream whose limit has ended.
     * @param id - the upstream
     */
    removeUpstream(id: string): void {
        this.lastMs.delete(id);
        this.askers.delete(id);
    }

    /**
     * Answers an entry.
     * @param question - what it asks for
     * @returns the sends that it gets
     */
    requestSlots(question: SendSlotRequest): SendSlotGrant {
        const { upstream, instance, count, nowMs, withinMs } = question;
        const asker = this.getAsker(upstream.id, instance);
        asker.askedMs = nowMs;
        asker.sendsMs = asker.sendsMs.filter((sendMs) => sendMs > nowMs);
        const sendsMs: number[] = [];
        const most = this.computeMostHeld(question);
        let sendMs = this.computeNextMs(question);
        while (
            sendsMs.length < count
            && sendMs <= nowMs + withinMs
            && asker.sendsMs.length < most
            && (sendMs <= nowMs || this.isLongestWaiting(question))
        ) {
            sendsMs.push(sendMs);
            this.take(question, asker, sendMs);
            sendMs = this.computeNextMs(question);
        }
        asker.isWaiting = sendsMs.length < count;
        return { sendsMs, nextMs: sendMs };
    }

    private take({ upstream, nowMs }: SendSlotRequest, asker: Asker, sendMs: number): void {
        this.lastMs.set(upstream.id, sendMs);
        asker.grantedMs = Math.max(nowMs, sendMs);
        asker.sendsMs.push(sendMs);
    }

    private computeNextMs({ upstream, limitShare: share, nowMs }: SendSlotRequest): number {
        this.startSchedule(upstream.id, nowMs);
        const nextMs = (this.lastMs.get(upstream.id) ?? nowMs) + computeGapMs(upstream, share);
        return Math.max(nextMs, nowMs - BACKLOG_MS);
    }

    /** An even part of what is handed out ahead, so that whoever asks first does not take all. */
    private computeMostHeld(question: SendSlotRequest): number {
        const { upstream, limitShare: share, withinMs } = question;
        const ahead = Math.ceil(withinMs / computeGapMs(upstream, share));
        return Math.max(1, Math.ceil(ahead / Math.max(1, this.listWaiting(question).length)));
    }

    /** Whoever waits longest comes first; others get what is due and not taken. */
    private isLongestWaiting(question: SendSlotRequest): boolean {
        const ownMs = this.getAsker(question.upstream.id, question.instance).grantedMs;
        return this.listWaiting(question).every(({ grantedMs }) => grantedMs >= ownMs);
    }

    private listWaiting({ upstream, nowMs }: SendSlotRequest): readonly Asker[] {
        const known = this.askers.get(upstream.id);
        if (known === undefined) {
            return [];
        }
        for (const [instance, { askedMs }] of known) {
            if (nowMs - askedMs > WAITING_MS) {
                known.delete(instance);
            }
        }
        return [...known.values()].filter(({ isWaiting }) => isWaiting);
    }

    private getAsker(id: string, instance: string): Asker {
        const byInstance = this.askers.get(id) ?? new Map<string, Asker>();
        this.askers.set(id, byInstance);
        const asker = byInstance.get(instance)
            ?? { askedMs: 0, grantedMs: Number.NEGATIVE_INFINITY, isWaiting: false, sendsMs: [] };
        byInstance.set(instance, asker);
        return asker;
    }
}

function computeGapMs({ requestsASecond }: LimitedUpstream, share: number): number {
    const rate = requestsASecond * share;
    return rate <= 0 ? MAX_SEND_INTERVAL_MS : Math.min(MAX_SEND_INTERVAL_MS, MS_A_SECOND / rate);
}
