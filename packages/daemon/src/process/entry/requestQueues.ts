/**
 * What an entry keeps for the waiting requests of its services: the queues, how long first events take, and the places
 * of refused callers.
 */
import {
    type ClassLoad,
    computeReturnTimeMs,
    computeReturnWindow,
    ONE_REFUSAL_PER_S,
    RetryAfterSpreader,
    ShortThroughput,
} from "@crankfork/decisions";
import type { AdmittedCall, RequestContext } from "../../request/requestContext.js";
import type { RequestRank, WaitingFunctions } from "../../request/requestFunctions.js";
import { getStanding } from "../../request/waitForTarget.js";
import { RequestQueue, TARGET_POLL_MS } from "./requestQueue.js";

/** Dependencies of the queues. */
export interface RequestQueuesOptions {
    readonly getNowMs: () => number;
    readonly random: () => number;
    readonly countEntries: () => number;
    readonly getRank: (admitted: AdmittedCall) => RequestRank;
    /** Demand for a service over all entries, by rank; undefined where it is not known. */
    readonly getDemand: (service: string) => readonly ClassLoad[] | undefined;
    readonly recordWaiting?: (context: RequestContext, change: 1 | -1) => void;
    /** Records the `Retry-After` that a refused caller got, in milliseconds from now. */
    readonly recordReturn?: (context: RequestContext, retryAfterMs: number) => void;
}

interface ServiceState {
    readonly queue: RequestQueue;
    /** By rank, as are the spreaders. */
    readonly firstEventMs: Map<number, number>;
    readonly spreaders: Map<number, RetryAfterSpreader>;
    readonly throughput: ShortThroughput;
    /** Most urgent rank that is short of room at any entry, and when that was computed. */
    shortRank: number;
    shortRankMs: number;
}

/** Weight of the newest sample in the moving average. */
const MOVING_AVERAGE_WEIGHT = 0.1;

/** Queues of all services of an entry. */
export class RequestQueues {
    private readonly services = new Map<string, ServiceState>();

    /**
     * @param options - clock, ranks and demand
     */
    constructor(private readonly options: RequestQueuesOptions) {}

    /**
     * Tries the waiting requests of a service, since a request ended or started its response.
     * @param service - its name; undefined where the upstream is no longer known
     */
    wake(service: string | undefined): void {
        if (service !== undefined) {
            this.services.get(service)?.queue.wake();
        }
    }

    /** Receives a report of the fleet: tries all waiting requests, and measures what services take while short. */
    recordReport(): void {
        const nowMs = this.options.getNowMs();
        this.services.forEach((state, name) => {
            const { queue, throughput } = state;
            state.shortRankMs = Number.NEGATIVE_INFINITY;
            const classes = this.options.getDemand(name);
            if (classes !== undefined) {
                throughput.record(sumRates(classes, "admittedPerS"), sumRates(classes, "refusedPerS"), nowMs);
            }
            queue.wake();
        });
    }

    /**
     * Forgets services that are no longer configured, once nothing waits for them.
     * @param isKnown - whether a service is configured
     */
    prune(isKnown: (service: string) => boolean): void {
        this.services.forEach(({ queue }, name) => {
            if (queue.length === 0 && !isKnown(name)) {
                this.services.delete(name);
            }
        });
    }

    /**
     * Creates the functions that routed requests use.
     * @returns the functions
     */
    createFunctions(): WaitingFunctions {
        const { getRank } = this.options;
        return {
            getQueue: (service) => this.getState(service).queue,
            getRank,
            isMoreUrgentShort: (service, rank) => this.findShortRank(service) < rank,
            getFirstEventMs: (admitted) =>
                this.getState(admitted.service.name).firstEventMs.get(getRank(admitted).rank),
            recordFirstEvent: (admitted, durationMs) => {
                this.recordFirstEvent(admitted, durationMs);
            },
            assignReturnMs: (context) => this.assignReturnMs(context),
        };
    }

    /** Each waiting request asks at each try, and without a leader the demand is estimated anew at each look. */
    private findShortRank(service: string): number {
        const nowMs = this.options.getNowMs();
        const state = this.getState(service);
        if (nowMs - state.shortRankMs >= TARGET_POLL_MS) {
            const classes = this.options.getDemand(service) ?? [];
            const rank = classes.findIndex(({ waiting, refusedPerS }) =>
                waiting > 0 || refusedPerS >= ONE_REFUSAL_PER_S
            );
            state.shortRank = rank === -1 ? Number.POSITIVE_INFINITY : rank;
            state.shortRankMs = nowMs;
        }
        return state.shortRank;
    }

    private recordFirstEvent(admitted: AdmittedCall, durationMs: number): void {
        const { rank, isRanked } = this.options.getRank(admitted);
        if (isRanked) {
            const { firstEventMs } = this.getState(admitted.service.name);
            const mean = firstEventMs.get(rank) ?? durationMs;
            firstEventMs.set(rank, mean + MOVING_AVERAGE_WEIGHT * (durationMs - mean));
        }
    }

    private assignReturnMs(context: RequestContext): number | undefined {
        const { getRank, getDemand, getNowMs, countEntries, recordReturn } = this.options;
        const { admitted, remainingMs } = context;
        const { rank, isRanked } = getRank(admitted);
        const classes = isRanked ? getDemand(admitted.service.name) : undefined;
        if (classes === undefined) {
            return undefined;
        }
        const nowMs = getNowMs();
        const state = this.getState(admitted.service.name);
        const view = {
            classes,
            rank,
            throughputPerS: state.throughput.perS,
            entries: countEntries(),
            leftMs: remainingMs,
        };
        const spreader = this.getSpreader(state, rank);
        if (getStanding(context) !== "first") {
            // Callers come back once, so one that was back already gets no place.
            const none = { roomMs: Number.POSITIVE_INFINITY, intervalMs: Number.POSITIVE_INFINITY };
            return spreader.assignPlace({ ...computeReturnWindow(view), ...none }, nowMs);
        }
        const returnMs = computeReturnTimeMs(view, spreader, nowMs);
        recordReturn?.(context, returnMs);
        return returnMs;
    }

    private getSpreader({ spreaders }: ServiceState, rank: number): RetryAfterSpreader {
        const spreader = spreaders.get(rank) ?? new RetryAfterSpreader(this.options.random());
        spreaders.set(rank, spreader);
        return spreader;
    }

    private getState(service: string): ServiceState {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const { getNowMs, recordWaiting } = this.options;
        const state = {
            queue: new RequestQueue({ getNowMs, recordWaiting }),
            firstEventMs: new Map<number, number>(),
            spreaders: new Map<number, RetryAfterSpreader>(),
            throughput: new ShortThroughput(),
            shortRank: Number.POSITIVE_INFINITY,
            shortRankMs: Number.NEGATIVE_INFINITY,
        };
        this.services.set(service, state);
        return state;
    }
}

function sumRates(classes: readonly ClassLoad[], key: "admittedPerS" | "refusedPerS"): number {
    return classes.reduce((sum, one) => sum + one[key], 0);
}
