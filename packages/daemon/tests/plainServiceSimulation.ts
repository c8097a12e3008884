import type { RegisteredUpstream, Route, RoutedService } from "@crankfork/schemas";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { UpstreamNoticeHandler } from "../src/process/entry/upstreamNoticeHandler.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { RequestContext } from "../src/request/requestContext.js";
import type { CallTarget, RoutedCall } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";
import { createSettings } from "./entrySettings.js";
import { createFullState } from "./fullState.js";

/** A simulated worker of a plain service. */
export interface SimulatedWorker {
    readonly slots: number;
    readonly answerMs: number;
    /** Queue length; further requests are rejected, with a backoff of `backoffMs` unless that is 0. */
    readonly queue: number;
    readonly backoffMs: number;
    /** Start of the time in which it rejects requests. */
    readonly shedsFromMs?: number;
    readonly shedsUntilMs?: number;
    /** Fraction of the requests that it rejects in that time; default 1. */
    readonly shedsFraction?: number;
    /** The only entry whose requests it rejects in that time; default all. */
    readonly shedsEntry?: number;
    /** Start of the time in which it answers after `slowMs` instead of `answerMs`. */
    readonly slowFromMs?: number;
    readonly slowUntilMs?: number;
    readonly slowMs?: number;
    /** Time of its registration. */
    readonly startsMs?: number;
}

/** Load, workers and entries. */
export interface SimulationOptions {
    readonly entries: number;
    readonly workers: readonly SimulatedWorker[];
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly attempts: number;
    readonly seed: number;
    /** Latency objective of an answer. */
    readonly objectiveMs: number;
    /** Delay after which other entries receive an entry's backoff, too; default never. */
    readonly sharedAfterMs?: number;
}

/** A request that reached a worker. */
export interface SimulatedArrival {
    readonly entry: number;
    readonly worker: number;
    readonly atMs: number;
    readonly isRejected: boolean;
}

/** Results of a simulation. */
export interface SimulationResult {
    /** Requests of callers, without their retries. */
    readonly requests: number;
    /** Answered within the objective, counted from the first attempt. */
    readonly inTime: number;
    /** Answered at all. */
    readonly served: number;
    readonly rejected: number;
    readonly arrivals: readonly SimulatedArrival[];
}

const SERVICE: RoutedService = { name: "s" };
/** One-way latency between an entry and a worker or caller. */
const LATENCY_MS = 1;
/** Interval at which entries receive the load of the others. */
const LOAD_REPORT_INTERVAL_MS = 200;
const DEADLINE_MS = 3_000;
/** Fraction of its remaining time up to which a caller waits for a retry. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;

const call: RoutedCall = {
    requestId: "1",
    method: "POST",
    host: "h",
    target: "/",
    path: "/",
    key: undefined,
    deadlineMs: DEADLINE_MS,
    size: undefined,
    lastEventId: undefined,
    rawHeaders: [],
};

const nullMetrics = {
    countBackoff: () => undefined,
    countSuppressedSend: () => undefined,
    countSendDuringBackoff: () => undefined,
} as unknown as FleetMetrics;

interface Event {
    readonly atMs: number;
    readonly run: () => void;
}

/** Simulates a load on the real target selection, with a virtual clock. */
export class PlainServiceSimulation {
    private nowMs = 0;
    private readonly events: Event[] = [];
    private readonly entries: SimulatedEntry[];
    private readonly working: number[];
    private readonly waiting: (() => void)[][];
    private readonly result = { requests: 0, inTime: 0, served: 0, rejected: 0 };
    private readonly arrivals: SimulatedArrival[] = [];
    private state: number;

    constructor(private readonly options: SimulationOptions) {
        this.state = options.seed;
        this.working = options.workers.map(() => 0);
        this.waiting = options.workers.map(() => []);
        this.entries = Array.from(
            { length: options.entries },
            () => new SimulatedEntry(() => this.nowMs, () => this.draw(), options),
        );
    }

    play(): SimulationResult {
        const { durationMs, requestsPerSecond, workers } = this.options;
        [0, ...workers.map(({ startsMs = 0 }) => startsMs)].forEach((atMs) => {
            this.schedule(atMs, () => {
                this.register();
            });
        });
        for (let atMs = 0; atMs < durationMs; atMs += LOAD_REPORT_INTERVAL_MS) {
            this.schedule(atMs, () => {
                this.reportLoads();
            });
        }
        for (let atMs = 1; atMs < durationMs; atMs -= Math.log(1 - this.draw()) * 1_000 / requestsPerSecond) {
            this.schedule(atMs, () => {
                this.result.requests += 1;
                const entry = this.entries[Math.floor(this.draw() * this.entries.length)]!;
                this.arrive(entry, this.nowMs, true);
            });
        }
        for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
            this.nowMs = next.atMs;
            next.run();
        }
        return { ...this.result, arrivals: this.arrivals };
    }

    /** Returns a number from 0 up to 1, by a linear congruential generator. */
    private draw(): number {
        this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return this.state / 2 ** 32;
    }

    private schedule(atMs: number, run: () => void): void {
        let position = this.events.length;
        while (position > 0 && this.events[position - 1]!.atMs > atMs) {
            position -= 1;
        }
        this.events.splice(position, 0, { atMs, run });
    }

    private register(): void {
        const started = this.options.workers.flatMap((worker, index) =>
            (worker.startsMs ?? 0) <= this.nowMs ? [{ index, worker }] : []
        );
        this.entries.forEach((entry) => {
            entry.setWorkers(started.map(({ index, worker }) => createUpstream(index, worker)));
        });
    }

    private reportLoads(): void {
        this.entries.forEach((entry) => {
            entry.remoteLoads = new Map(this.options.workers.map((_worker, index) => [
                String(index),
                this.entries.filter((other) => other !== entry)
                    .reduce((sum, other) => sum + other.health.getLoad(String(index)).open, 0),
            ]));
        });
    }

    /** Handles a request of a caller at an entry; the caller retries once after the time that it was given. */
    private arrive(entry: SimulatedEntry, firstMs: number, mayRetry: boolean): void {
        const run = entry.createRun(this.nowMs - firstMs);
        this.sendAttempt(entry, run, {
            answered: () => {
                this.result.served += 1;
                this.result.inTime += this.nowMs + LATENCY_MS - firstMs <= this.options.objectiveMs ? 1 : 0;
            },
            refused: (returnMs) => {
                const remainingMs = firstMs + DEADLINE_MS - this.nowMs;
                if (mayRetry && returnMs <= remainingMs * MAX_RETRY_WAIT_SHARE) {
                    this.schedule(this.nowMs + returnMs, () => {
                        this.arrive(entry, firstMs, false);
                    });
                }
            },
        });
    }

    private sendAttempt(entry: SimulatedEntry, run: RequestContext, end: RequestEnds): void {
        const choice = entry.chooser.choose(run, undefined, false);
        if (choice.kind !== "target") {
            end.refused(
                choice.kind === "resting" ? entry.functions.computeRetryAfterMs(SERVICE, choice.remainingMs) : 0,
            );
            return;
        }
        const { target } = choice;
        const worker = Number(target.upstreamId);
        const sentMs = this.nowMs;
        run.attempts += 1;
        run.attemptedUpstreams.add(target.upstreamId);
        entry.health.recordRequestStart(target.upstreamId);
        entry.functions.recordSend(target);
        const finish = (isServed: boolean): void => {
            entry.health.recordFirstToken(target.upstreamId);
            entry.health.recordEnd(target.upstreamId);
            entry.health.recordAnswer(target.upstreamId, this.nowMs - sentMs, !isServed);
            entry.functions.recordOutcome(target, isServed);
        };
        this.schedule(this.nowMs + LATENCY_MS, () => {
            this.reach(this.entries.indexOf(entry), worker, () => {
                this.schedule(this.nowMs + LATENCY_MS, () => {
                    finish(true);
                    end.answered();
                });
            }, () => {
                this.schedule(this.nowMs + LATENCY_MS, () => {
                    const { backoffMs } = this.options.workers[worker]!;
                    if (backoffMs > 0) {
                        entry.receiveRest(target, backoffMs);
                        this.share(entry, target, backoffMs);
                    }
                    finish(false);
                    if (run.attempts < this.options.attempts) {
                        this.sendAttempt(entry, run, end);
                    }
                    else {
                        end.refused(0);
                    }
                });
            });
        });
    }

    private share(sender: SimulatedEntry, target: CallTarget, backoffMs: number): void {
        const { sharedAfterMs } = this.options;
        if (sharedAfterMs !== undefined) {
            this.schedule(this.nowMs + sharedAfterMs, () => {
                this.entries.filter((entry) => entry !== sender).forEach((entry) => {
                    entry.receiveRest(target, Math.max(1, backoffMs - sharedAfterMs));
                });
            });
        }
    }

    private reach(entry: number, index: number, handleAnswer: () => void, handleRejection: () => void): void {
        const worker = this.options.workers[index]!;
        const { shedsFromMs = Number.POSITIVE_INFINITY, shedsUntilMs = Number.POSITIVE_INFINITY } = worker;
        const isAffected = worker.shedsEntry === undefined || worker.shedsEntry === entry;
        const isShedding = isAffected && this.nowMs >= shedsFromMs && this.nowMs < shedsUntilMs;
        const sheds = isShedding && (worker.shedsFraction === undefined || this.draw() < worker.shedsFraction);
        const isFull = this.working[index]! >= worker.slots && this.waiting[index]!.length >= worker.queue;
        this.arrivals.push({ entry, worker: index, atMs: this.nowMs, isRejected: sheds || isFull });
        if (sheds || isFull) {
            this.result.rejected += 1;
            handleRejection();
        }
        else if (this.working[index]! >= worker.slots) {
            this.waiting[index]!.push(() => {
                this.work(index, handleAnswer);
            });
        }
        else {
            this.work(index, handleAnswer);
        }
    }

    private work(index: number, handleAnswer: () => void): void {
        const { answerMs, slowMs = answerMs, slowFromMs = 0, slowUntilMs = 0 } = this.options.workers[index]!;
        const isSlow = this.nowMs >= slowFromMs && this.nowMs < slowUntilMs;
        this.working[index]! += 1;
        this.schedule(this.nowMs + (isSlow ? slowMs : answerMs), () => {
            this.working[index]! -= 1;
            this.waiting[index]!.shift()?.();
            handleAnswer();
        });
    }
}

interface RequestEnds {
    readonly answered: () => void;
    /** Refused; the caller may retry after this time. */
    readonly refused: (returnMs: number) => void;
}

class SimulatedEntry {
    readonly health: UpstreamHealth;
    readonly chooser: TargetChooser;
    readonly functions: ReturnType<UpstreamNoticeHandler["createFunctions"]>;
    remoteLoads: ReadonlyMap<string, number> = new Map();
    private readonly view = new FleetView();
    private index = 0;

    constructor(
        private readonly getNowMs: () => number,
        random: () => number,
        private readonly options: SimulationOptions,
    ) {
        const { view } = this;
        this.health = new UpstreamHealth(getNowMs);
        const notices = new UpstreamNoticeHandler({
            view,
            health: this.health,
            getNowMs,
            log: { record: () => undefined },
            metrics: nullMetrics,
            countEntries: () => options.entries,
            random,
            settings: createSettings(),
            askLeader: () => Promise.resolve({ is_taken: true }),
        });
        this.functions = notices.createFunctions();
        this.chooser = new TargetChooser({
            instance: "entry",
            view,
            health: this.health,
            backoffs: notices.backoffs,
            leaving: notices.leaving,
            rateLimiter: notices.rateLimiter,
            shortage: new EngineShortage(getNowMs),
            getRemoteLoad: (id) => ({ open: this.remoteLoads.get(id) ?? 0, unstarted: 0 }),
            isPathAvoided: () => false,
            estimateUnreported: () => 0,
            countEntries: () => options.entries,
            getRequestsPerSecond: () => 1,
            getLoadAgeMs: () => 0,
            random,
        });
    }

    setWorkers(upstreams: readonly RegisteredUpstream[]): void {
        this.index += 1;
        this.view.applyUpstreams(createFullState(this.index, upstreams, this.options.entries));
    }

    createRun(ageMs: number): RequestContext {
        const run = new RequestContext({
            call: { ...call, deadlineMs: DEADLINE_MS - ageMs },
            route: createRoute(this.options),
            service: SERVICE,
            organisation: undefined,
            body: undefined,
            basis: confirmedBasis,
            arrivedMs: this.getNowMs(),
        }, this.getNowMs);
        // Its timer uses the real clock and is not needed here.
        run.close();
        return run;
    }

    receiveRest(target: CallTarget, backoffMs: number): void {
        this.functions.receive(
            target,
            { backoff: { kind: "rest", backoffMs }, leaving: "not-said", limit: { kind: "none" } },
            {
                requestId: "1",
                verdict: { kind: "declined", faultAddress: undefined },
                status: 503,
                sentMs: this.getNowMs(),
            },
        );
    }
}

function createUpstream(index: number, { slots }: SimulatedWorker): RegisteredUpstream {
    const id = String(index);
    return { id, service: SERVICE.name, address: id, failure_domain: "d", slots, status: "ready" };
}

function createRoute({ attempts, objectiveMs }: SimulationOptions): Route {
    return {
        name: "r",
        host: "h",
        prefix: "/",
        kind: "call",
        is_repeatable: true,
        timeout_ms: DEADLINE_MS,
        objective_ms: objectiveMs,
        priority: 1,
        most_attempts: attempts,
        is_anonymous: true,
        targets: [],
    };
}
