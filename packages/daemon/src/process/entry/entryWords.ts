/**
 * What upstreams say of themselves in their answers, as an entry heeds it.
 */
import { computeReturnGapMs, ReturnOrder } from "@crankfork/decisions";
import type { RoutedService } from "@crankfork/schemas";
import type { WordFunctions } from "../../request/requestFunctions.js";
import type { CallTarget } from "../../request/routedCall.js";
import type { FleetView } from "../../version/fleetView.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { UpstreamRests } from "../upstreamRests.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** What the words need from the process. */
export interface EntryWordsOptions {
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly countEntries: () => number;
}

/** Heeds what upstreams say. */
export class EntryWords {
    readonly rests: UpstreamRests;
    private readonly orders = new Map<string, ReturnOrder>();

    /**
     * @param options - upstreams, log and counters
     */
    constructor(private readonly options: EntryWordsOptions) {
        this.rests = new UpstreamRests(options);
    }

    /**
     * Forgets what lives that are over have said.
     * @param isKnown - whether a life still counts
     */
    sweep(isKnown: (id: string) => boolean): void {
        this.rests.sweep(isKnown);
    }

    /**
     * Creates what a request needs.
     * @returns the functions
     */
    createFunctions(): WordFunctions {
        const { rests } = this;
        return {
            hear: (target, word, { requestId, verdict }) => {
                this.listResting(target, verdict.faultAddress).forEach((id) => {
                    rests.hear(id, word.rest, requestId);
                });
            },
            maySend: (target) => rests.maySend(listPassed(target)),
            recordSend: (target) => {
                rests.recordSend(listPassed(target));
            },
            recordOutcome: (target, isServed) => {
                rests.recordOutcome(listPassed(target), isServed);
            },
            computeReturnMs: (service, leftMs) => this.computeReturnMs(service, leftMs),
        };
    }

    /**
     * An answer may name another engine on the path as the one at fault. Whose rest it is then is not said, so both are left
     * alone: whichever it is, nothing is sent that is not wanted.
     */
    private listResting(target: CallTarget, faultAddress: string | undefined): readonly string[] {
        const named = faultAddress === undefined ? undefined : this.options.view.findIdAt(faultAddress);
        const isNamed = named !== undefined && listPassed(target).includes(named);
        return isNamed && named !== target.upstreamId ? [target.upstreamId, named] : [target.upstreamId];
    }

    private computeReturnMs(service: RoutedService, leftMs: number): number {
        const { view, health, countEntries, getNowMs } = this.options;
        const ready = view.listReady(service.name);
        const order = this.orders.get(service.name) ?? new ReturnOrder();
        this.orders.set(service.name, order);
        const gapMs = computeReturnGapMs({
            slots: ready.reduce((sum, one) => sum + one.slots, 0),
            answerMs: health.computeUsualAnswerMs(ready.map(({ id }) => id)),
            entries: countEntries(),
        });
        return order.take(getNowMs() + leftMs, gapMs) - getNowMs();
    }
}

/** Lives of all upstreams that a request passes. */
function listPassed({ upstreamId, stages }: CallTarget): readonly string[] {
    return stages === undefined || stages.length === 0 ? [upstreamId] : stages.map(({ engine }) => engine.id);
}
