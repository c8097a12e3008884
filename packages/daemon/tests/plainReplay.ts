import type { RegisteredUpstream, Route, RoutedService } from "@crankfork/schemas";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { EntryNotices } from "../src/process/entry/entryNotices.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { RequestContext } from "../src/request/requestContext.js";
import type { CallTarget, RoutedCall } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";
import { createSettings } from "./entrySettings.js";
import { createWholeState } from "./wholeState.js";

/** A worker of a plain service. */
export interface ReplayWorker {
    readonly slots: number;
    readonly answerMs: number;
    /** Requests that it lets wait; more are turned away, and their entry is asked for rest, unless that is 0. */
    readonly queue: number;
    readonly restMs: number;
    /** When it turns everything away. */
    readonly shedsFromMs?: number;
    readonly shedsUntilMs?: number;
    /** Part of the requests that it turns away then; all where left out. */
    readonly shedsPart?: number;
    /** The only entry whose requests it turns away then; all where left out. */
    readonly shedsEntry?: number;
    /** When it takes `slowMs` to answer in place of `answerMs`. */
    readonly slowFromMs?: number;
    readonly slowUntilMs?: number;
    readonly slowMs?: number;
    /** When it registers. */
    readonly startsMs?: number;
}

/** A load, and what it falls on. */
export interface ReplayOptions {
    readonly entries: number;
    readonly workers: readonly ReplayWorker[];
    readonly requestsASecond: number;
    readonly durationMs: number;
    readonly attempts: number;
    readonly seed: number;
    /** Time in which an answer counts as served in time. */
    readonly objectiveMs: number;
    /** After this time all other entries hear of a rest that one was asked for; never where left out. */
    readonly sharedAfterMs?: number;
}

/** A request that reached a worker. */
export interface ReplayArrival {
    readonly entry: number;
    readonly worker: number;
    readonly atMs: number;
    readonly isTurnedAway: boolean;
}

/** What came of it. */
export interface ReplayResult {
    /** Requests of callers, without those that came again. */
    readonly asked: number;
    /** Answered in time, counted from the first attempt. */
    readonly inTime: number;
    /** Answered at all. */
    readonly served: number;
    readonly turnedAway: number;
    readonly arrivals: readonly ReplayArrival[];
}

const SERVICE: RoutedService = { name: "s" };
/** One way between an entry and a worker, or a caller. */
const WAY_MS = 1;
/** How often entries hear what the others have open. */
const LOADS_EVERY_MS = 200;
const DEADLINE_MS = 3_000;
/** Part of its time left up to which a caller waits to come back. */
const RETRY_SHARE = 1 / 3;

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

const noMetrics = {
    countRest: () => undefined,
    countKeptBack: () => undefined,
    countSendDuringRest: () => undefined,
} as unknown as FleetMetrics;

interface Event {
    readonly atMs: number;
    readonly run: () => void;
}

/** Plays a load on the real choice of upstreams, by a clock of its own. */
export class PlainReplay {
    private nowMs = 0;
    private readonly events: Event[] = [];
    private readonly entries: ReplayEntry[];
    private readonly working: number[];
    private readonly waiting: (() => void)[][];
    private readonly result = { asked: 0, inTime: 0, served: 0, turnedAway: 0 };
    private readonly arrivals: ReplayArrival[] = [];
    private state: number;

    constructor(private readonly options: ReplayOptions) {
        this.state = options.seed;
        this.working = options.workers.map(() => 0);
        this.waiting = options.workers.map(() => []);
        this.entries = Array.from(
            { length: options.entries },
            () => new ReplayEntry(() => this.nowMs, () => this.draw(), options),
        );
    }

    play(): ReplayResult {
        const { durationMs, requestsASecond, workers } = this.options;
        [0, ...workers.map(({ startsMs = 0 }) => startsMs)].forEach((atMs) => {
            this.at(atMs, () => {
                this.register();
            });
        });
        for (let atMs = 0; atMs < durationMs; atMs += LOADS_EVERY_MS) {
            this.at(atMs, () => {
                this.reportLoads();
            });
        }
        for (let atMs = 1; atMs < durationMs; atMs -= Math.log(1 - this.draw()) * 1_000 / requestsASecond) {
            this.at(atMs, () => {
                this.result.asked += 1;
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

    /** Numbers from 0 up to 1, by a linear congruential generator. */
    private draw(): number {
        this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return this.state / 2 ** 32;
    }

    private at(atMs: number, run: () => void): void {
        let place = this.events.length;
        while (place > 0 && this.events[place - 1]!.atMs > atMs) {
            place -= 1;
        }
        this.events.splice(place, 0, { atMs, run });
    }

    private register(): void {
        const started = this.options.workers.flatMap((worker, number) =>
            (worker.startsMs ?? 0) <= this.nowMs ? [{ number, worker }] : []
        );
        this.entries.forEach((entry) => {
            entry.setWorkers(started.map(({ number, worker }) => createUpstream(number, worker)));
        });
    }

    private reportLoads(): void {
        this.entries.forEach((entry) => {
            entry.loadsElsewhere = new Map(this.options.workers.map((_worker, number) => [
                String(number),
                this.entries.filter((other) => other !== entry)
                    .reduce((sum, other) => sum + other.health.getLoad(String(number)).open, 0),
            ]));
        });
    }

    /** A request of a caller at an entry; one that was told when to come back comes once more. */
    private arrive(entry: ReplayEntry, firstMs: number, comesAgain: boolean): void {
        const run = entry.createRun(this.nowMs - firstMs);
        this.sendOn(entry, run, {
            answered: () => {
                this.result.served += 1;
                this.result.inTime += this.nowMs + WAY_MS - firstMs <= this.options.objectiveMs ? 1 : 0;
            },
            refused: (returnMs) => {
                const leftMs = firstMs + DEADLINE_MS - this.nowMs;
                if (comesAgain && returnMs <= leftMs * RETRY_SHARE) {
                    this.at(this.nowMs + returnMs, () => {
                        this.arrive(entry, firstMs, false);
                    });
                }
            },
        });
    }

    private sendOn(entry: ReplayEntry, run: RequestContext, end: RequestEnds): void {
        const choice = entry.chooser.choose(run, undefined, false);
        if (choice.kind !== "target") {
            end.refused(choice.kind === "resting" ? entry.functions.computeRetryAfterMs(SERVICE, choice.leftMs) : 0);
            return;
        }
        const { target } = choice;
        const worker = Number(target.upstreamId);
        const sentMs = this.nowMs;
        run.attempts += 1;
        run.attemptedUpstreams.add(target.upstreamId);
        entry.health.recordStart(target.upstreamId);
        entry.functions.recordSend(target);
        const finish = (isServed: boolean): void => {
            entry.health.recordStarted(target.upstreamId);
            entry.health.recordEnd(target.upstreamId);
            entry.health.recordAnswer(target.upstreamId, this.nowMs - sentMs, !isServed);
            entry.functions.recordOutcome(target, isServed);
        };
        this.at(this.nowMs + WAY_MS, () => {
            this.reach(this.entries.indexOf(entry), worker, () => {
                this.at(this.nowMs + WAY_MS, () => {
                    finish(true);
                    end.answered();
                });
            }, () => {
                this.at(this.nowMs + WAY_MS, () => {
                    const { restMs } = this.options.workers[worker]!;
                    if (restMs > 0) {
                        entry.receiveRest(target, restMs);
                        this.share(entry, target, restMs);
                    }
                    finish(false);
                    if (run.attempts < this.options.attempts) {
                        this.sendOn(entry, run, end);
                    }
                    else {
                        end.refused(0);
                    }
                });
            });
        });
    }

    private share(teller: ReplayEntry, target: CallTarget, restMs: number): void {
        const { sharedAfterMs } = this.options;
        if (sharedAfterMs !== undefined) {
            this.at(this.nowMs + sharedAfterMs, () => {
                this.entries.filter((entry) => entry !== teller).forEach((entry) => {
                    entry.receiveRest(target, Math.max(1, restMs - sharedAfterMs));
                });
            });
        }
    }

    private reach(entry: number, number: number, handleAnswer: () => void, handleTurnedAway: () => void): void {
        const worker = this.options.workers[number]!;
        const { shedsFromMs = Number.POSITIVE_INFINITY, shedsUntilMs = Number.POSITIVE_INFINITY } = worker;
        const isMeant = worker.shedsEntry === undefined || worker.shedsEntry === entry;
        const isTime = isMeant && this.nowMs >= shedsFromMs && this.nowMs < shedsUntilMs;
        const sheds = isTime && (worker.shedsPart === undefined || this.draw() < worker.shedsPart);
        const isFull = this.working[number]! >= worker.slots && this.waiting[number]!.length >= worker.queue;
        this.arrivals.push({ entry, worker: number, atMs: this.nowMs, isTurnedAway: sheds || isFull });
        if (sheds || isFull) {
            this.result.turnedAway += 1;
            handleTurnedAway();
        }
        else if (this.working[number]! >= worker.slots) {
            this.waiting[number]!.push(() => {
                this.work(number, handleAnswer);
            });
        }
        else {
            this.work(number, handleAnswer);
        }
    }

    private work(number: number, handleAnswer: () => void): void {
        const { answerMs, slowMs = answerMs, slowFromMs = 0, slowUntilMs = 0 } = this.options.workers[number]!;
        const isSlow = this.nowMs >= slowFromMs && this.nowMs < slowUntilMs;
        this.working[number]! += 1;
        this.at(this.nowMs + (isSlow ? slowMs : answerMs), () => {
            this.working[number]! -= 1;
            this.waiting[number]!.shift()?.();
            handleAnswer();
        });
    }
}

interface RequestEnds {
    readonly answered: () => void;
    /** The caller is told to come back after this time. */
    readonly refused: (returnMs: number) => void;
}

class ReplayEntry {
    readonly health: UpstreamHealth;
    readonly chooser: TargetChooser;
    readonly functions: ReturnType<EntryNotices["createFunctions"]>;
    loadsElsewhere: ReadonlyMap<string, number> = new Map();
    private readonly view = new FleetView();
    private index = 0;

    constructor(
        private readonly getNowMs: () => number,
        random: () => number,
        private readonly options: ReplayOptions,
    ) {
        const { view } = this;
        this.health = new UpstreamHealth(getNowMs);
        const notices = new EntryNotices({
            view,
            health: this.health,
            getNowMs,
            log: { record: () => undefined },
            metrics: noMetrics,
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
            rests: notices.rests,
            leaving: notices.leaving,
            sends: notices.sends,
            shortage: new EngineShortage(getNowMs),
            getLoadElsewhere: (id) => ({ open: this.loadsElsewhere.get(id) ?? 0, unstarted: 0 }),
            isAvoided: () => false,
            countUnseen: () => 0,
            countEntries: () => options.entries,
            getRequestsASecond: () => 1,
            getLoadAgeMs: () => 0,
            random,
        });
    }

    setWorkers(upstreams: readonly RegisteredUpstream[]): void {
        this.index += 1;
        this.view.applyUpstreams(createWholeState(this.index, upstreams, this.options.entries));
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
        // Its timer runs by the real clock; nothing here lasts as long.
        run.close();
        return run;
    }

    receiveRest(target: CallTarget, restMs: number): void {
        this.functions.receive(
            target,
            { rest: { kind: "rest", restMs }, leaving: "not-said", limit: { kind: "none" } },
            {
                requestId: "1",
                verdict: { kind: "declined", faultAddress: undefined },
                status: 503,
                sentMs: this.getNowMs(),
            },
        );
    }
}

function createUpstream(number: number, { slots }: ReplayWorker): RegisteredUpstream {
    const id = String(number);
    return { id, service: SERVICE.name, address: id, failure_domain: "d", slots, status: "ready" };
}

function createRoute({ attempts, objectiveMs }: ReplayOptions): Route {
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
