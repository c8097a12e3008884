/**
 * Replays the load of competing classes on the real target selection, with a clock of its own and without a network:
 * 69 entries before 8 paths whose engines read prompts in the order of priority.
 */
import type { ServiceDemand } from "@crankfork/decisions";
import type { EngineProfile, Route, RoutedOrganisation, RoutingTable, UpstreamLoads } from "@crankfork/schemas";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { LeavingNotices } from "../src/process/entry/leavingNotices.js";
import { LoadReportAge } from "../src/process/entry/loadReportAge.js";
import { RemoteLoads } from "../src/process/entry/remoteLoads.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { multiplyLoad, sumLoads } from "../src/process/sumLoads.js";
import { UpstreamBackoffs } from "../src/process/upstreamBackoffs.js";
import { RequestContext } from "../src/request/requestContext.js";
import type { CallTarget } from "../src/request/routedCall.js";
import { TARGET_POLL_MS } from "../src/request/waitForTarget.js";
import { FleetView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";
import { createFullState } from "./fullState.js";
import { createSends } from "./limitFakes.js";

/** What a trial changes. */
export interface ReplayOptions {
    readonly seed: number;
    /** Whether routes differ in priority for the decisions; false replays them as they were before. */
    readonly isRanked: boolean;
    /** Open requests of the usual size that a path has memory for. */
    readonly places: number;
    /** Prompt tokens that a path reads in a second while it also writes. */
    readonly readTokensPerS: number;
    readonly hasDemand?: boolean;
    /** Part of the entries that are of a build without ranks in its reports. */
    readonly oldShare?: number;
    /** Time without a leader, in ms. */
    readonly leaderless?: readonly [number, number];
    /** When half of the entries restart, in ms. */
    readonly restartMs?: number;
    /** Organisation that asks for this many times the requests of all others together. */
    readonly greedyFactor?: number;
    /** Multiplies the load of all routes. */
    readonly loadFactor?: number;
}

/** One caller. */
export interface ReplayCaller {
    readonly route: Route;
    readonly organisation: RoutedOrganisation;
    readonly promptTokens: number;
    readonly rank: number;
    readonly firstMs: number;
    result: "open" | "in-time" | "late" | "lost";
    /** Whether it was refused at first. */
    hasReturned: boolean;
}

interface Attempt {
    readonly caller: ReplayCaller;
    readonly entry: ReplayEntry;
    readonly run: RequestContext;
    readonly mayReturn: boolean;
    readonly waitsUntilMs: number;
    target: CallTarget | undefined;
    writtenTokens: number;
    unreadTokens: number;
    hasStarted: boolean;
    lastTokenMs: number;
}

/** Requests/s, events of 4 tokens, objective of the first event and values, by route priority. */
const LOADS = [
    { perS: 100, events: 43, objectiveMs: 501, value: 2.7, lateValue: 0.27, prompt: 800 },
    { perS: 55.6, events: 63, objectiveMs: 501, value: 1.5, lateValue: 0.38, prompt: 714 },
    { perS: 34.3, events: 63, objectiveMs: 1_001, value: 0.81, lateValue: 0.3, prompt: 800 },
] as const;
const ENTRIES = 69;
const PATHS = 8;
const DURATION_MS = 26_000;
const TICK_MS = 5;
const MS_PER_TOKEN = 18;
const POLL_MS = 250;
const ANSWER_DELAY_MS = 100;
const SUM_INTERVAL_MS = 50;
const NIGHT_BURST = { fromMs: 4_000, untilMs: 9_500, factor: 2.5 };
const RESTOCK_BURST = { fromMs: 14_000, untilMs: 17_500, factor: 1.9 };
const PAUSE_MS = 250;
const PREFILL_SHARE = 0.6;
const DEMAND_VALIDITY_MS = 1_500;
const USUAL = { promptTokens: 775, answerTokens: 215 };

const organisations: readonly RoutedOrganisation[] = Array.from({ length: 24 }, (_, index) => ({
    name: `o${String(index)}`,
    keys: [],
    priority: index % 2,
}));
const weights = organisations.map((_, index) => 1 / (1 + Math.floor(index / 2)));

function createProfile({ places, readTokensPerS }: ReplayOptions): EngineProfile {
    return {
        layers: 8,
        layer_mb: 100,
        token_bytes: 1_000,
        capacity_tokens: 1,
        slots: 1_000,
        step_ms: MS_PER_TOKEN,
        step_ms_a_request: 0,
        read_tokens_a_second: readTokensPerS / PREFILL_SHARE,
        load_ms: 1_000,
        usual_prompt_tokens: USUAL.promptTokens,
        usual_answer_tokens: USUAL.answerTokens,
        accelerators: [{
            name: "a",
            memory_mb: 800 + places * (USUAL.promptTokens + USUAL.answerTokens / 2) / 1_000,
            step_factor: 1,
            read_factor: 1,
        }],
    };
}

function createTable(profile: EngineProfile, isRanked: boolean): RoutingTable {
    const routes: Route[] = LOADS.map(({ objectiveMs }, priority) => ({
        name: String(priority),
        host: "h",
        prefix: "/",
        kind: "stream",
        is_repeatable: true,
        timeout_ms: 20_000,
        objective_ms: objectiveMs,
        priority: isRanked ? priority : 0,
        most_attempts: 3,
        is_anonymous: false,
        targets: [{ service: "s", weight: 1 }],
    }));
    const limits = { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    return {
        version: 1,
        routes,
        services: [{ name: "s", engine: profile }],
        organisations: [...organisations],
        limits,
    };
}

type Rates = Record<"arrivals_per_s" | "refused_per_s" | "prompt_tokens_per_s" | "answer_tokens_per_s", number> & {
    organisations: Record<string, number>;
};
type Report = Map<number, Rates & { waiting: number; }>;

/** Rates with a time constant of 1 s, by rank. */
class Meter {
    private readonly byRank = new Map<number, { rates: Rates; atMs: number; }>();

    add(rank: number, nowMs: number, amounts: Partial<Rates>): void {
        const { rates } = this.decay(rank, nowMs);
        for (const key of ["arrivals_per_s", "refused_per_s", "prompt_tokens_per_s", "answer_tokens_per_s"] as const) {
            rates[key] += amounts[key] ?? 0;
        }
        Object.entries(amounts.organisations ?? {}).forEach(([name, amount]) => {
            rates.organisations[name] = (rates.organisations[name] ?? 0) + amount;
        });
    }

    report(nowMs: number, countWaiting: (rank: number) => number): Report {
        return new Map([...this.byRank.keys()].map((rank) => {
            const { rates } = this.decay(rank, nowMs);
            return [rank, { ...rates, organisations: { ...rates.organisations }, waiting: countWaiting(rank) }];
        }));
    }

    private decay(rank: number, nowMs: number): { rates: Rates; atMs: number; } {
        const known = this.byRank.get(rank);
        const factor = known === undefined ? 0 : Math.exp((known.atMs - nowMs) / 1_000);
        const next = { rates: scale(known?.rates, factor), atMs: nowMs };
        this.byRank.set(rank, next);
        return next;
    }
}

function scale(rates: Rates | undefined, factor: number): Rates {
    return {
        arrivals_per_s: (rates?.arrivals_per_s ?? 0) * factor,
        refused_per_s: (rates?.refused_per_s ?? 0) * factor,
        prompt_tokens_per_s: (rates?.prompt_tokens_per_s ?? 0) * factor,
        answer_tokens_per_s: (rates?.answer_tokens_per_s ?? 0) * factor,
        organisations: Object.fromEntries(
            Object.entries(rates?.organisations ?? {}).map(([name, amount]) => [name, amount * factor]),
        ),
    };
}

class ReplayEntry {
    health: UpstreamHealth;
    meter = new Meter();
    remote: RemoteLoads;
    age: LoadReportAge;
    loads: UpstreamLoads = {};
    /** Its load in the last sum of the leader. */
    summed: UpstreamLoads = {};
    report: Report = new Map();
    demand: { readonly atMs: number; readonly sum: Report; } | undefined;
    readonly waiting = new Set<Attempt>();
    readonly chooser: TargetChooser;

    constructor(
        readonly index: number,
        private readonly replay: { readonly getNowMs: () => number; readonly random: () => number; },
        view: FleetView,
        private readonly options: ReplayOptions,
    ) {
        const { getNowMs, random } = replay;
        const log = { record: () => undefined };
        const metrics = {
            countBackoff: () => undefined,
            countSuppressedSend: () => undefined,
            countSendDuringBackoff: () => undefined,
            countLeavingNotice: () => undefined,
        };
        this.health = new UpstreamHealth(getNowMs);
        this.remote = this.createRemote();
        this.age = new LoadReportAge(getNowMs);
        const { loadFactor = 1 } = options;
        this.chooser = new TargetChooser({
            instance: `entry-${String(index)}`,
            view,
            health: this.health,
            shortage: new EngineShortage(getNowMs),
            backoffs: new UpstreamBackoffs({ getNowMs, log, metrics }),
            leaving: new LeavingNotices({
                instance: "",
                getNowMs,
                log,
                metrics,
                drainMs: 2_000,
                askLeader: () => Promise.resolve({ is_taken: true }),
            }),
            rateLimiter: createSends(getNowMs).rateLimiter,
            getRemoteLoad: (id) => this.remote.get(id),
            isPathAvoided: () => false,
            estimateUnreported: () => 190 * loadFactor * this.age.getMeanAgeMs() / 1_000,
            countEntries: () => ENTRIES,
            getRequestsPerSecond: () => 190 * loadFactor / ENTRIES,
            getLoadAgeMs: () => this.age.getMeanAgeMs(),
            getDemand: () => this.getDemand(),
            random,
        });
    }

    get isOld(): boolean {
        return this.index < ENTRIES * (this.options.oldShare ?? 0);
    }

    countWaiting(rank: number): number {
        return [...this.waiting].filter(({ caller }) => caller.rank === rank).length;
    }

    restart(): void {
        this.meter = new Meter();
        this.remote = this.createRemote();
        this.demand = undefined;
    }

    private createRemote(): RemoteLoads {
        return new RemoteLoads({
            getNowMs: this.replay.getNowMs,
            getLocalLoad: (id) => this.health.getLoad(id),
            countEntries: () => ENTRIES,
        });
    }

    private getDemand(): ServiceDemand | undefined {
        const nowMs = this.replay.getNowMs();
        if (this.options.hasDemand === false) {
            return undefined;
        }
        if (this.demand !== undefined && nowMs - this.demand.atMs <= DEMAND_VALIDITY_MS) {
            return this.demand.sum;
        }
        const own = this.meter.report(nowMs, (rank) => this.countWaiting(rank));
        return new Map([...own].map(([rank, one]) => [rank, { ...scale(one, ENTRIES), waiting: one.waiting }]));
    }
}

/** Replays the two bursts. */
export class ClassReplay {
    readonly callers: ReplayCaller[] = [];
    private nowMs = 0;
    private state: number;
    private readonly view = new FleetView();
    private readonly entries: readonly ReplayEntry[];
    private readonly paths: Attempt[][] = Array.from({ length: PATHS }, () => []);
    private readonly later: { readonly atMs: number; readonly run: () => void; }[] = [];
    private readonly profile: EngineProfile;
    private readonly table: RoutingTable;
    private index = 0;
    private summedMs = Number.NEGATIVE_INFINITY;
    private loads: UpstreamLoads = {};
    private demand: Report = new Map();

    constructor(private readonly options: ReplayOptions) {
        this.state = options.seed;
        this.profile = createProfile(options);
        this.table = createTable(this.profile, options.isRanked);
        this.view.applyTable(this.table);
        const replay = { getNowMs: () => this.nowMs, random: () => this.draw() };
        this.entries = Array.from({ length: ENTRIES }, (_, at) => new ReplayEntry(at, replay, this.view, options));
    }

    play(): readonly ReplayCaller[] {
        this.register(PATHS);
        const { leaderless = [0, 0], restartMs } = this.options;
        for (; this.nowMs < DURATION_MS; this.nowMs += TICK_MS) {
            this.arriveNew();
            this.runDue();
            if (this.nowMs < leaderless[0] || this.nowMs >= leaderless[1]) {
                this.entries.forEach((entry) => {
                    this.synchronise(entry);
                });
            }
            if (this.nowMs === RESTOCK_BURST.fromMs || this.nowMs === RESTOCK_BURST.untilMs) {
                this.switchPath(this.nowMs === RESTOCK_BURST.untilMs);
            }
            if (this.nowMs === restartMs) {
                this.restartHalf();
            }
            this.paths.forEach((path) => {
                this.runPath(path);
            });
        }
        return this.callers.filter(({ firstMs }) => firstMs < DURATION_MS - 6_000);
    }

    private draw(): number {
        this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return this.state / 2 ** 32;
    }

    private schedule(delayMs: number, run: () => void): void {
        this.later.push({ atMs: this.nowMs + delayMs, run });
    }

    private runDue(): void {
        const due = this.later.filter(({ atMs }) => atMs <= this.nowMs);
        const rest = this.later.filter(({ atMs }) => atMs > this.nowMs);
        this.later.splice(0, this.later.length, ...rest);
        due.forEach(({ run }) => {
            run();
        });
    }

    private register(count: number): void {
        this.index += 1;
        const upstreams = Array.from({ length: count }, (_, path) => ({
            id: String(path),
            service: "s",
            address: String(path),
            failure_domain: `d${String(path)}`,
            slots: 1_000,
            accelerator: "a",
            status: "ready" as const,
            held: { first: 0, end: 8 },
        }));
        this.view.applyUpstreams(createFullState(this.index, upstreams, ENTRIES));
    }

    private arriveNew(): void {
        const { loadFactor = 1, greedyFactor = 0 } = this.options;
        LOADS.forEach(({ perS, prompt }, priority) => {
            const bursts = [...(priority === 2 ? [NIGHT_BURST] : []), ...(priority === 0 ? [RESTOCK_BURST] : [])];
            const factor = bursts.find(({ fromMs, untilMs }) => this.nowMs >= fromMs && this.nowMs < untilMs)?.factor
                ?? 1;
            const mean = perS * factor * loadFactor * TICK_MS / 1_000;
            const count = Math.floor(mean) + (this.draw() < mean % 1 ? 1 : 0);
            for (let at = 0; at < count; at += 1) {
                this.createCaller(priority, prompt, this.drawOrganisation());
            }
            // The greedy organisation asks for one route only.
            for (let at = this.draw(); priority === 1 && at < mean * greedyFactor; at += 1) {
                this.createCaller(priority, prompt, organisations[0]!);
            }
        });
    }

    private drawOrganisation(): RoutedOrganisation {
        let left = this.draw() * weights.reduce((sum, one) => sum + one, 0);
        return organisations[weights.findIndex((weight) => (left -= weight) < 0)] ?? organisations[0]!;
    }

    private createCaller(priority: number, prompt: number, organisation: RoutedOrganisation): void {
        const promptTokens = Math.min(2_320, Math.round(prompt * 0.35 - Math.log(1 - this.draw()) * prompt * 0.66));
        const route = this.table.routes[priority]!;
        const caller: ReplayCaller = {
            route,
            organisation,
            promptTokens,
            // Ranks for the results are those of the ranked table, also where the decisions know none.
            rank: (organisation.priority ?? 0) * LOADS.length + priority,
            firstMs: this.nowMs,
            result: "open",
            hasReturned: false,
        };
        this.callers.push(caller);
        this.arrive(caller, true);
    }

    private arrive(caller: ReplayCaller, mayReturn: boolean): void {
        const entry = this.entries[Math.floor(this.draw() * ENTRIES)]!;
        const { route, organisation, promptTokens } = caller;
        const answerTokens = LOADS[Number(route.name)]!.events * 4;
        const run = new RequestContext({
            call: {
                requestId: "1",
                method: "POST",
                host: "h",
                target: "/",
                path: "/",
                key: undefined,
                deadlineMs: 20_000 - (this.nowMs - caller.firstMs),
                size: { promptTokens, answerTokens },
                lastEventId: undefined,
                rawHeaders: [],
            },
            route,
            service: this.table.services[0]!,
            organisation,
            body: undefined,
            basis: confirmedBasis,
            arrivedMs: this.nowMs,
        }, () => this.nowMs);
        // Its timer uses the real clock and is not needed here.
        run.close();
        entry.meter.add(caller.rank, this.nowMs, {
            arrivals_per_s: 1,
            prompt_tokens_per_s: promptTokens,
            answer_tokens_per_s: answerTokens,
            organisations: { [organisation.name]: promptTokens + answerTokens },
        });
        const attempt: Attempt = {
            caller,
            entry,
            run,
            mayReturn,
            waitsUntilMs: this.nowMs + route.objective_ms * (run.isLikelyRetry ? 2.5 : 0.15),
            target: undefined,
            writtenTokens: 0,
            unreadTokens: promptTokens,
            hasStarted: false,
            lastTokenMs: 0,
        };
        this.send(attempt);
    }

    /** Sends an attempt, or lets it wait and then refuses it, as `waitForTarget` does. */
    private send(attempt: Attempt): void {
        const { entry, run, caller } = attempt;
        entry.waiting.delete(attempt);
        const choice = entry.chooser.choose(run, attempt.hasStarted ? "1" : undefined, attempt.hasStarted);
        if (choice.kind === "target") {
            attempt.target = choice.target;
            entry.health.recordRequestStart(choice.target.upstreamId, choice.target.rank);
            this.paths[Number(choice.target.upstreamId)]!.push(attempt);
        }
        else if (this.nowMs < attempt.waitsUntilMs) {
            entry.waiting.add(attempt);
            this.schedule(TARGET_POLL_MS, () => {
                this.send(attempt);
            });
        }
        else {
            entry.meter.add(caller.rank, this.nowMs, { refused_per_s: 1 });
            this.comeBack(attempt, 1_500 + this.draw() * 3_500);
        }
    }

    private comeBack({ caller, mayReturn }: Attempt, delayMs: number): void {
        if (mayReturn) {
            this.schedule(delayMs, () => {
                caller.hasReturned = true;
                this.arrive(caller, false);
            });
        }
        else {
            caller.result = "lost";
        }
    }

    private leave(attempt: Attempt): void {
        const { entry, target } = attempt;
        const path = this.paths[Number(target?.upstreamId)]!;
        path.splice(path.indexOf(attempt), 1);
        if (!attempt.hasStarted) {
            entry.health.recordFirstToken(target!.upstreamId, target!.rank);
        }
        entry.health.recordEnd(target!.upstreamId, target!.rank);
    }

    /** One tick of a path: prompts by priority as far as memory goes, then tokens of all answers. */
    private runPath(path: Attempt[]): void {
        const { memory_mb } = this.profile.accelerators[0]!;
        const memoryTokens = (memory_mb - 800) * 1_000;
        const order = (one: Attempt): number => one.target!.priority;
        let budget = TICK_MS * this.options.readTokensPerS / 1_000;
        let used = path.reduce((sum, one) => sum + (one.unreadTokens === 0 ? getHeld(one) : 0), 0);
        for (const one of path.filter(({ unreadTokens }) => unreadTokens > 0).sort((l, r) => order(l) - order(r))) {
            used += getHeld(one);
            if (used > memoryTokens || budget <= 0) {
                break;
            }
            const read = Math.min(budget, one.unreadTokens);
            one.unreadTokens -= read;
            budget -= read;
            if (one.unreadTokens === 0) {
                this.writeToken(one, 0);
            }
        }
        for (const one of [...path]) {
            const abandonMs = Math.max(2_000, 4 * one.caller.route.objective_ms);
            if (one.unreadTokens === 0) {
                this.writeToken(one, TICK_MS / MS_PER_TOKEN);
            }
            else if (!one.hasStarted && this.nowMs - one.run.admitted.arrivedMs > abandonMs) {
                this.leave(one);
                one.caller.result = "lost";
            }
        }
        // Engines evict the newest of the least urgent requests when answers have outgrown the memory.
        used = path.reduce((sum, one) => sum + (one.unreadTokens === 0 ? getHeld(one) : 0), 0);
        const evictable = path.filter(({ unreadTokens }) => unreadTokens === 0).sort((l, r) => order(l) - order(r));
        for (let last = evictable.pop(); last !== undefined && used > memoryTokens; last = evictable.pop()) {
            used -= getHeld(last);
            last.unreadTokens = getHeld(last);
        }
    }

    private writeToken(one: Attempt, tokens: number): void {
        const { caller, entry, target } = one;
        const { objectiveMs, events } = LOADS[Number(caller.route.name)]!;
        if (!one.hasStarted) {
            one.hasStarted = true;
            entry.health.recordFirstToken(target!.upstreamId, target!.rank);
            caller.result = this.nowMs - caller.firstMs <= objectiveMs ? "in-time" : "late";
        }
        else if (this.nowMs - one.lastTokenMs > PAUSE_MS) {
            caller.result = "late";
        }
        one.lastTokenMs = this.nowMs;
        one.writtenTokens += tokens;
        if (one.writtenTokens >= events * 4) {
            this.leave(one);
        }
    }

    /** Every entry reports and is answered once in 250 ms, each at its own time; the answer travels 100 ms. */
    private synchronise(entry: ReplayEntry): void {
        if ((this.nowMs + entry.index * TICK_MS) % POLL_MS !== 0) {
            return;
        }
        const own = entry.health.listLoads();
        entry.loads = entry.isOld
            ? Object.fromEntries(Object.entries(own).map(([id, { open, unstarted }]) => [id, { open, unstarted }]))
            : own;
        entry.report = entry.isOld
            ? new Map<number, Rates & { waiting: number; }>()
            : entry.meter.report(this.nowMs, (rank) => entry.countWaiting(rank));
        if (this.nowMs - this.summedMs >= SUM_INTERVAL_MS) {
            this.summedMs = this.nowMs;
            this.sumReports();
        }
        const { demand } = this;
        const loads: UpstreamLoads = {};
        Object.entries(this.loads).forEach(([id, load]) => {
            const own = entry.summed[id];
            loads[id] = own === undefined ? load : sumLoads(multiplyLoad(own, -1), load);
        });
        this.schedule(ANSWER_DELAY_MS, () => {
            entry.remote.record(loads);
            entry.age.recordReport();
            entry.demand = { atMs: this.nowMs, sum: demand };
        });
    }

    /** What a leader computes from the last report of each entry. */
    private sumReports(): void {
        this.loads = {};
        this.demand = new Map();
        for (const entry of this.entries) {
            entry.summed = entry.loads;
            Object.entries(entry.loads).forEach(([id, load]) => {
                this.loads[id] = sumLoads(this.loads[id], load);
            });
            entry.report.forEach((rates, rank) => {
                const sum = this.demand.get(rank) ?? { ...scale(undefined, 0), waiting: 0 };
                sum.arrivals_per_s += rates.arrivals_per_s;
                sum.refused_per_s += rates.refused_per_s;
                sum.prompt_tokens_per_s += rates.prompt_tokens_per_s;
                sum.answer_tokens_per_s += rates.answer_tokens_per_s;
                sum.waiting += rates.waiting;
                for (const name in rates.organisations) {
                    sum.organisations[name] = (sum.organisations[name] ?? 0) + rates.organisations[name]!;
                }
                this.demand.set(rank, sum);
            });
        }
    }

    /** The last path goes; streams move on, and requests without a first token are sent again. */
    private switchPath(isBack: boolean): void {
        this.register(isBack ? PATHS : PATHS - 1);
        [...this.paths[PATHS - 1]!].forEach((attempt) => {
            this.leave(attempt);
            attempt.unreadTokens = getHeld(attempt);
            attempt.run.attemptedUpstreams.add(attempt.target!.upstreamId);
            this.send(attempt);
        });
    }

    /** Callers of the entries that restart see a closed connection and come back at once. */
    private restartHalf(): void {
        const restarted = new Set(this.entries.filter(({ index }) => index % 2 === 0));
        const open = this.paths.flat().filter(({ entry }) => restarted.has(entry));
        restarted.forEach((entry) => {
            entry.restart();
        });
        open.forEach((attempt) => {
            this.leave(attempt);
            this.comeBack(attempt, TICK_MS);
        });
    }
}

function getHeld({ caller, writtenTokens }: Attempt): number {
    return caller.promptTokens + writtenTokens;
}

/** Share of the requests that were served, and of their value that was earned. */
export interface ReplayShares {
    readonly count: number;
    readonly served: number;
    readonly value: number;
}

/** Computes the shares of a group of callers. */
export function computeShares(callers: readonly ReplayCaller[]): ReplayShares {
    const sums = { served: 0, earned: 0, offered: 0 };
    callers.forEach(({ route, result }) => {
        const { value, lateValue } = LOADS[Number(route.name)]!;
        sums.served += result === "in-time" || result === "late" ? 1 : 0;
        sums.earned += result === "in-time" ? value : (result === "late" ? lateValue : 0);
        sums.offered += value;
    });
    return { count: callers.length, served: sums.served / callers.length, value: sums.earned / sums.offered };
}
