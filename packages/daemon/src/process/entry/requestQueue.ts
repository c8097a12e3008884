/**
 * Requests of one service that wait at this entry for an upstream. They are tried in order, so that a new request does
 * not take the room for which others wait.
 */
import { ClassDrainMeters, computeHeldTokens, MultiClassQueue, type QueuedRequest } from "@crankfork/decisions";
import type { RequestContext } from "../../request/requestContext.js";
import type { TargetChoice } from "../../request/requestFunctions.js";
import { startTask } from "../startTask.js";

/** Interval at which waiting requests are tried when nothing else wakes the queue. */
export const TARGET_POLL_MS = 40;

/** Place of a request in the queue. */
export interface QueueStanding {
    /** Class of the request, 0 first; 0 for every request of a service that is not ranked. */
    readonly rank: number;
    /** Whether the service is ranked: fair between organisations, and refused at once where the wait is too long. */
    readonly isRanked: boolean;
    /** Whether the caller honoured `Retry-After`, so that it goes before new ones of its rank. */
    readonly hasReturned: boolean;
    /** Whether the stream has started: it does not queue, and waits only while no upstream exists. */
    readonly hasStarted: boolean;
}

/** How long a request may wait. */
export interface WaitTerms extends QueueStanding {
    /** Computes the most time to wait for a reason, in milliseconds; asked again whenever the request is tried. */
    readonly getLimitMs: (reason: UnsentChoice) => number;
}

/** A choice without a target. */
export type UnsentChoice = Exclude<TargetChoice, { kind: "target"; }>;

/** Dependencies of a queue. */
export interface RequestQueueOptions {
    readonly getNowMs: () => number;
    /** Records that a request begins (1) or ends (-1) to wait. */
    readonly recordWaiting?: ((context: RequestContext, change: 1 | -1) => void) | undefined;
}

interface WaitingCall extends QueuedRequest<number> {
    readonly context: RequestContext;
    readonly terms: WaitTerms;
    readonly startMs: number;
    readonly choose: () => TargetChoice;
    readonly settle: (choice: TargetChoice) => void;
    readonly fail: (error: unknown) => void;
    reason: UnsentChoice;
}

/** Ranks with a queue of their own; engines distinguish no more priorities either. */
const MAX_RANKS = 10;
/** Class of streams that have started, before all ranks. */
const STARTED_CLASS = 0;
const classes: readonly number[] = Array.from({ length: 1 + 2 * MAX_RANKS }, (_, index) => index);
/**
 * An entry sees few departures in a burst of some seconds, so each counts for much, and a rate from an earlier burst
 * says nothing about the present one.
 */
const DRAIN_OPTIONS = { smoothing: 0.3, keepMs: 10_000 };

/** Answer to a request that was tried, and what its room depended on. */
interface FullAnswer {
    readonly tokens: number;
    readonly draw: number;
    readonly choice: UnsentChoice;
}

/** Waiting requests of one service. */
export class RequestQueue {
    private readonly queue = new MultiClassQueue<WaitingCall, number>(classes);
    private readonly drainMeters = new ClassDrainMeters(classes, DRAIN_OPTIONS);
    private timer: NodeJS.Timeout | undefined;
    private isBusy = false;

    /**
     * @param options - clock
     */
    constructor(private readonly options: RequestQueueOptions) {}

    /** Number of waiting requests. */
    get length(): number {
        return this.queue.length;
    }

    /**
     * Waits until a request can be sent.
     * @param context - the request
     * @param choose - chooses its target
     * @param terms - its place and how long it may wait
     * @returns the target, or the reason why there is none
     */
    async wait(context: RequestContext, choose: () => TargetChoice, terms: WaitTerms): Promise<TargetChoice> {
        const startMs = this.options.getNowMs();
        const isBehind = this.isBehindOthers(context, terms);
        const reason = isBehind ? FULL : choose();
        if (reason.kind === "target" || context.stopReason !== undefined || terms.getLimitMs(reason) <= 0) {
            return reason;
        }
        const { size } = context.admitted.call;
        const request = {
            organisation: terms.isRanked ? context.admitted.organisation?.name ?? "" : "",
            weight: 1,
            priority: getClass(context, terms),
            tokens: size === undefined ? 1 : Math.max(1, computeHeldTokens(size)),
        };
        if (terms.isRanked && reason.kind === "full" && this.estimateWaitMs(request) > terms.getLimitMs(reason)) {
            return reason;
        }
        return await new Promise((resolve, reject) => {
            let stopListening = (): void => undefined;
            const waiting: WaitingCall = {
                ...request,
                context,
                terms,
                startMs,
                choose,
                reason,
                settle: (choice) => {
                    stopListening();
                    this.recordWaiting(waiting, -1);
                    resolve(choice);
                },
                fail: (error) => {
                    stopListening();
                    this.recordWaiting(waiting, -1);
                    reject(error instanceof Error ? error : new Error(String(error)));
                },
            };
            stopListening = context.onStop(() => {
                this.withdraw(waiting);
            });
            this.push(waiting);
            if (isBehind) {
                // Those ahead are tried first; this request may fit where they don't.
                this.wake();
            }
            else {
                // Less urgent ones may have to give way now.
                this.endOverdue();
            }
        });
    }

    /**
     * Checks whether a request of a more urgent rank waits for room.
     * @param rank - the rank
     * @returns true where one of a rank before it waits
     */
    hasMoreUrgent(rank: number): boolean {
        return this.queue.length > 0
            && classes.slice(STARTED_CLASS + 1, getRankClass(rank)).some((name) => this.queue.countWaiting(name) > 0);
    }

    /** Tries the waiting requests in order, since a request ended or new loads are known. */
    wake(): void {
        if (!this.isBusy && this.queue.length > 0) {
            this.tryWaiting();
        }
    }

    /**
     * A request goes behind those of its rank, and of more urgent ones, that have not been tried yet and wait for room.
     * Those that were tried have fewer paths left than others.
     */
    private isBehindOthers(context: RequestContext, terms: WaitTerms): boolean {
        if (this.queue.length === 0 || terms.hasStarted || wasTried(context)) {
            return false;
        }
        const own = getClass(context, terms);
        return this.queue.list().some((other) =>
            other.priority <= own && other.reason.kind === "full" && !wasTried(other.context)
        );
    }

    /** The measured rate includes the slowdown by more urgent classes, so only tokens of its own class are ahead. */
    private estimateWaitMs(request: QueuedRequest<number>): number {
        const msPerToken = this.drainMeters.get(request.priority).getMsPerToken(this.options.getNowMs()) ?? 0;
        return this.queue.countTokensAhead(request) * msPerToken;
    }

    private push(waiting: WaitingCall): void {
        this.queue.push(waiting);
        this.drainMeters.get(waiting.priority).recordArrival(this.options.getNowMs());
        this.recordWaiting(waiting, 1);
        this.timer ??= setInterval(() => {
            startTask("request-queue", () => {
                this.wake();
            });
        }, TARGET_POLL_MS);
    }

    private tryWaiting(): void {
        const full = new Map<string, FullAnswer[]>();
        const faults = new Map<WaitingCall, unknown>();
        let choice: TargetChoice | undefined;
        const next = this.queue.popAccepted((waiting) => {
            try {
                choice = this.tryOne(waiting, full);
                return choice.kind === "target";
            }
            catch (error) {
                faults.set(waiting, error);
                return false;
            }
        });
        faults.forEach((error, waiting) => {
            this.queue.remove(waiting);
            waiting.fail(error);
        });
        if (next === undefined || choice === undefined) {
            this.endOverdue();
        }
        else {
            const isEmpty = this.queue.countWaiting(next.priority) === 0;
            this.drainMeters.get(next.priority).recordDeparture(next.tokens, isEmpty, this.options.getNowMs());
            next.settle(choice);
            // The load of the chosen path is recorded when the request is sent, which is before the next turn of the
            // event loop; until then the others would be given the same room.
            this.isBusy = true;
            setImmediate(() => {
                this.isBusy = false;
                startTask("request-queue", () => {
                    this.wake();
                });
            });
        }
        this.stopIfEmpty();
    }

    /**
     * Requests that are alike get the same answer; a choice for each of them would only cost time. A smaller request, and in
     * a ranked service one with a greater draw, may find room where another does not.
     */
    private tryOne(waiting: WaitingCall, full: Map<string, FullAnswer[]>): TargetChoice {
        const { context, terms, priority } = waiting;
        const isUntried = !wasTried(context) && !terms.hasStarted;
        const { route, organisation } = context.admitted;
        const key = `${String(priority)} ${route.name} ${organisation?.name ?? ""}`;
        const answers = full.get(key) ?? [];
        const getDraw = (unchecked: number): number => terms.isRanked ? context.draw ?? unchecked : 0;
        const { tokens } = waiting;
        const known = isUntried
            ? answers.find((one) => one.tokens <= tokens && one.draw >= getDraw(Number.POSITIVE_INFINITY))
            : undefined;
        const choice = known?.choice ?? waiting.choose();
        if (choice.kind !== "target") {
            waiting.reason = choice;
            if (isUntried && choice.kind === "full" && known === undefined) {
                full.set(key, [...answers, { tokens, draw: getDraw(0), choice }]);
            }
        }
        return choice;
    }

    private endOverdue(): void {
        const nowMs = this.options.getNowMs();
        for (const waiting of this.queue.list()) {
            if (nowMs - waiting.startMs >= waiting.terms.getLimitMs(waiting.reason)) {
                this.withdraw(waiting);
            }
        }
    }

    private withdraw(waiting: WaitingCall): void {
        if (this.queue.remove(waiting)) {
            waiting.settle(waiting.reason);
            if (this.queue.countWaiting(waiting.priority) === 0) {
                this.drainMeters.get(waiting.priority).recordEmpty();
            }
            this.stopIfEmpty();
        }
    }

    /** A stream that has started waits for a path, not for room. */
    private recordWaiting({ context, terms }: WaitingCall, change: 1 | -1): void {
        if (!terms.hasStarted) {
            this.options.recordWaiting?.(context, change);
        }
    }

    private stopIfEmpty(): void {
        if (this.queue.length === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }
}

const FULL: UnsentChoice = { kind: "full" };

function getClass(context: RequestContext, { rank, hasReturned, hasStarted }: QueueStanding): number {
    if (hasStarted) {
        return STARTED_CLASS;
    }
    // A request that was declined or kept back by an upstream has waited already.
    return getRankClass(rank) + (hasReturned || wasTried(context) ? 0 : 1);
}

/** Also true where nothing was sent since the upstream was at its limit, which does not count as an attempt. */
function wasTried({ attemptedUpstreams, attempts }: RequestContext): boolean {
    return attempts > 0 || attemptedUpstreams.size > 0;
}

function getRankClass(rank: number): number {
    return STARTED_CLASS + 1 + 2 * Math.min(rank, MAX_RANKS - 1);
}
