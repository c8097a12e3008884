/**
 * A request that crashes every worker, repeated by callers at all entries, while leaders change and entries restart. The
 * trackers of the entries, the leader's registry and the replicated state are the real ones; messages, commits and
 * workers take a time drawn from a seed, on a paused clock.
 */
import { FleetState } from "@crankfork/coordination";
import type { CrashesParameters, FleetCommand, ResendParameters, TrialParameters } from "@crankfork/schemas";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CrashTracker } from "../src/process/entry/crashTracker.js";
import { CrashRegistry } from "../src/process/voter/crashRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { waitMs } from "../src/process/waitMs.js";
import { checkSend, waitUntilCrashesStored } from "../src/request/checkSend.js";
import { type AdmittedCall, RequestContext } from "../src/request/requestContext.js";
import type { RoutedRequestFunctions, TargetChoice } from "../src/request/requestFunctions.js";
import { createAdmitted } from "./createAdmitted.js";

/** Load, times and faults of a replay. */
export interface CrashReplayOptions {
    readonly seed: number;
    readonly entries: number;
    /** Callers that send the same bytes, each one request at a time. */
    readonly callers: number;
    /** Upper bound of the time of a commit, in milliseconds. */
    readonly maxCommitMs: number;
    /** Upper bound of the time until an entry receives a change, in milliseconds. */
    readonly maxPushMs: number;
    /** Runs beside the callers. */
    readonly injectFaults: (replay: CrashReplay) => Promise<void>;
    /** Sends that crash their worker; the later ones complete. All of them by default. */
    readonly crashingSends?: number;
}

/** Time after which an entry gives up a message to the leader. */
const SEND_TIMEOUT_MS = 1_200;
const MAX_MESSAGE_MS = 60;
const WORKER_RUN_MS = 30;
const MIN_CALLER_PAUSE_MS = 50;
const CALLER_PAUSE_SPAN_MS = 200;
const STEP_MS = 25;

interface Entry {
    tracker: CrashTracker;
    /** Changes with each restart. */
    incarnation: number;
    isUp: boolean;
    /** Whether it has the whole state, without which it serves nobody. */
    hasState: boolean;
    knownIndex: number;
    /** Whether a change is on the way; an entry asks for the next one after it. */
    isPushing: boolean;
    /** Ends the callers' connections. */
    disconnect: () => void;
    /** Resolves with it. */
    ended: Promise<void>;
}

/** A run of the replay. */
export class CrashReplay {
    /** Times at which the request reached workers. */
    readonly arrivalsMs: number[] = [];
    /** Attempts that were refused although no worker had run them. */
    refused = 0;
    isLeading = true;
    private isOver = false;
    private readonly draw: () => number;
    private readonly state = new FleetState();
    private readonly entries: Entry[];
    private leader: CrashRegistry;
    private index = 0;

    /**
     * @param options - load, times and faults
     */
    constructor(private readonly options: CrashReplayOptions) {
        const generator = xoroshiro128plus(options.seed);
        this.draw = () => uniformFloat64(generator);
        this.leader = this.createLeader();
        this.entries = Array.from({ length: options.entries }, () => this.createEntry());
    }

    /** Runs callers and faults for a time; the clock must be advanced meanwhile. */
    async run(durationMs: number): Promise<void> {
        const running = [
            this.options.injectFaults(this),
            this.pushState(),
            ...Array.from({ length: this.options.callers }, () => this.runCaller()),
        ];
        await waitMs(durationMs);
        this.isOver = true;
        await Promise.all(running);
    }

    /** Replaces the leader after a time without one. */
    async loseLeader(forMs: number): Promise<void> {
        this.isLeading = false;
        await waitMs(forMs);
        this.leader = this.createLeader();
        this.isLeading = true;
    }

    /** Restarts entries, which then know nothing until a leader answers. */
    async restart(entries: readonly number[], forMs: number): Promise<void> {
        const restarted = entries.map((number) => this.entries[number]!);
        restarted.forEach((entry) => {
            entry.isUp = false;
            entry.hasState = false;
            entry.incarnation += 1;
            entry.knownIndex = 0;
            entry.isPushing = false;
            entry.disconnect();
            entry.tracker = this.createTracker(entry);
        });
        await waitMs(forMs);
        restarted.forEach((entry) => {
            entry.isUp = true;
        });
    }

    /** Counts the arrivals at workers from some time after the third on; 0 where there were fewer. */
    countLater(afterMs: number): number {
        const thirdMs = this.arrivalsMs[2];
        return thirdMs === undefined
            ? 0
            : this.arrivalsMs.filter((ms) => ms > thirdMs + WORKER_RUN_MS + afterMs).length;
    }

    /** Draws a number from 0 up to a bound. */
    drawUpTo(bound: number): number {
        return this.draw() * bound;
    }

    private createEntry(): Entry {
        const entry = { incarnation: 0, isUp: true, hasState: true, knownIndex: 0, isPushing: false } as Entry;
        entry.tracker = this.createTracker(entry);
        return entry;
    }

    /** The reports of an incarnation end with it. */
    private createTracker(entry: Entry): CrashTracker {
        const { incarnation } = entry;
        entry.ended = new Promise((resolve) => {
            entry.disconnect = resolve;
        });
        return new CrashTracker({
            getNowMs: () => performance.now(),
            getUnixMs: () => performance.now(),
            log: { record: () => undefined },
            hasEnded: () => false,
            isLeaving: () => false,
            askLeader: async (method, parameters) => {
                await waitMs(this.drawUpTo(MAX_MESSAGE_MS));
                if (!this.isLeading || incarnation !== entry.incarnation) {
                    throw new Error("no leader is known");
                }
                const answer = await this.answer(method, parameters);
                await waitMs(this.drawUpTo(MAX_MESSAGE_MS));
                return answer;
            },
        });
    }

    private createLeader(): CrashRegistry {
        return new CrashRegistry({
            host: {
                state: this.state,
                self: { id: "self", address: "self" },
                replica: { hasLeaderLease: () => this.isLeading, getStatus: () => ({}) },
                propose: (command: FleetCommand) => this.commit(command),
            } as unknown as FleetReplicaHost,
            log: { record: () => undefined },
            getNowMs: () => performance.now(),
            getUnixMs: () => performance.now(),
            haveEntriesApplied: (index) => this.entries.every((entry) => !entry.isUp || entry.knownIndex >= index),
        });
    }

    /** A command is lost where the leader is lost before a quorum has it. */
    private async commit(command: FleetCommand): Promise<{ readonly kind: "unknown" | "applied"; }> {
        const { leader } = this;
        await waitMs(this.drawUpTo(this.options.maxCommitMs));
        if (!this.isLeading || leader !== this.leader) {
            return { kind: "unknown" };
        }
        this.index += 1;
        this.state.apply(command, this.index);
        return { kind: "applied" };
    }

    private async answer(method: "crashes" | "trial" | "resend", parameters: object): Promise<unknown> {
        const { leader } = this;
        const answer = await Promise.race([this.callLeader(leader, method, parameters), waitMs(SEND_TIMEOUT_MS)]);
        if (answer === undefined || leader !== this.leader) {
            throw new Error("the leader did not answer");
        }
        return answer;
    }

    private callLeader(leader: CrashRegistry, method: string, parameters: object): Promise<unknown> {
        switch (method) {
            case "crashes":
                return leader.record(parameters as CrashesParameters);
            case "trial":
                return leader.claimTrial(parameters as TrialParameters);
            default:
                return Promise.resolve(leader.grantResend(parameters as ResendParameters));
        }
    }

    /** Sends changes to each entry some time after they were committed. */
    private async pushState(): Promise<void> {
        while (!this.isOver) {
            for (const entry of this.entries) {
                const isIdle = entry.isUp && !entry.isPushing;
                if (this.isLeading && isIdle && (entry.knownIndex < this.state.lastChangeIndex || !entry.hasState)) {
                    void this.pushTo(entry);
                }
            }
            await waitMs(STEP_MS);
        }
    }

    private async pushTo(entry: Entry): Promise<void> {
        const { incarnation } = entry;
        const { crashes, index, isFullState } = this.state.getChanges(entry.knownIndex);
        entry.isPushing = true;
        await waitMs(this.drawUpTo(this.options.maxPushMs));
        if (entry.incarnation === incarnation) {
            entry.isPushing = false;
            entry.knownIndex = index;
            entry.hasState = true;
            entry.tracker.applyState({
                is_whole: isFullState,
                crashes: [...crashes.records],
                crashes_forgotten: [...crashes.forgotten],
            });
        }
    }

    private async runCaller(): Promise<void> {
        while (!this.isOver) {
            await this.call(this.entries[Math.floor(this.draw() * this.entries.length)]!);
            await waitMs(MIN_CALLER_PAUSE_MS + this.drawUpTo(CALLER_PAUSE_SPAN_MS));
        }
    }

    private async call(entry: Entry): Promise<void> {
        if (!entry.isUp || !entry.hasState) {
            return;
        }
        const context = new RequestContext(createCall(), () => performance.now());
        try {
            await Promise.race([this.attempt(context, entry), entry.ended]);
        }
        finally {
            context.close();
        }
    }

    private async attempt(context: RequestContext, entry: Entry): Promise<void> {
        const { incarnation, tracker } = entry;
        const functions = { crashes: tracker } as unknown as RoutedRequestFunctions;
        const target = { kind: "target", target: {} } as TargetChoice;
        let check = await checkSend(context, target, functions);
        while (check === "choose-again") {
            check = await checkSend(context, target, functions);
        }
        if (entry.incarnation !== incarnation) {
            return;
        }
        if (check !== "send") {
            this.refused += 1;
            return;
        }
        this.arrivalsMs.push(performance.now());
        const worker = `w${String(this.arrivalsMs.length)}`;
        await waitMs(WORKER_RUN_MS);
        if (entry.incarnation !== incarnation) {
            return;
        }
        if (this.arrivalsMs.length > (this.options.crashingSends ?? Number.POSITIVE_INFINITY)) {
            tracker.recordCompletion(context.admitted);
        }
        else {
            tracker.recordCrash(context, worker, { hadProgress: false, outputMs: 0 });
            await waitUntilCrashesStored(context, functions);
        }
    }
}

function createCall(): AdmittedCall {
    const admitted = createAdmitted();
    return { ...admitted, route: { ...admitted.route, timeout_ms: 3_000 }, arrivedMs: performance.now() };
}
