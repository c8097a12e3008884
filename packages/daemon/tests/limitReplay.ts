import { FleetState } from "@crankfork/coordination";
import { type SendsParameters, sendsParametersSchema } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { LimitSends } from "../src/process/entry/limitSends.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { RateLimitCoordinator } from "../src/process/voter/rateLimitCoordinator.js";
import { waitMs } from "../src/process/waitMs.js";

/** How a limit is shared out. */
export type LimitWay =
    /** The leader hands out single sends. */
    | "leader"
    /** Each entry keeps to its even part. */
    | "even"
    /** A few entries, the same ones for all, share it evenly. */
    | "owners";

/** Callers of upstreams with a limit. */
export interface LimitReplayOptions {
    readonly way: LimitWay;
    readonly entries: number;
    /** Upstreams that all name the limit; one where left out. */
    readonly upstreams?: number;
    /** Requests a second that an upstream takes. */
    readonly limit: number;
    /** Requests a second of all callers. */
    readonly wanted: number;
    /** Part of the entries that has callers. */
    readonly callersAt?: number;
    /** Seconds in which nobody wants anything, before the callers come. */
    readonly quietMs?: number;
    /** When the leader is lost and the next one elected; never where left out. */
    readonly leaderLostMs?: number;
    readonly seed: number;
}

/** What came of it, once all had been told. */
export interface LimitReplayResult {
    /** Most requests that reached the upstream in one second. */
    readonly mostInSecond: number;
    /** The same in four seconds. */
    readonly mostInFour: number;
    /** What reached it, as a part of what it takes. */
    readonly used: number;
    /** Questions to the leader in a second, and the bytes of questions and of answers. */
    readonly questions: number;
    readonly askedBytes: number;
    readonly answeredBytes: number;
}

const LATENCY_MS = 1;
/** A leader is told of an entry so often by its other questions. */
const TOUCH_MS = 500;
const POLL_MS = 40;
const PATIENCE_MS = 75;
const HELD_PATIENCE_MS = 150;
const PLAYED_MS = 20_000;
const SETTLED_MS = 3_000;
const ELECTION_MS = 1_000;
const OWNERS = 2;

const log = { record: () => undefined };
const count = (): undefined => undefined;
const metrics = {
    countLimitChange: count,
    recordLimitCount: count,
    countSuppressedSend: count,
    countSendOverLimit: count,
    recordPermitsHeld: count,
} as unknown as FleetMetrics;

/** Plays it with the code of entries and leaders, by a clock of its own. */
export async function playLimit(options: LimitReplayOptions): Promise<LimitReplayResult> {
    const clock = FakeTimers.install();
    try {
        return await new LimitReplay(options, clock).play();
    }
    finally {
        clock.uninstall();
    }
}

class LimitReplay {
    private readonly keepers: RateLimitCoordinator[] = [];
    private readonly sends: LimitSends[];
    private readonly arrivalsMs: number[] = [];
    private readonly upstreams: readonly string[];
    private state: number;
    private term = 1;
    private isLeaderless = false;
    private questions = 0;
    private askedBytes = 0;
    private answeredBytes = 0;
    private startMs = 0;

    constructor(private readonly options: LimitReplayOptions, private readonly clock: FakeTimers.Clock) {
        this.state = options.seed;
        this.upstreams = Array.from({ length: options.upstreams ?? 1 }, (_unused, number) => `i-${String(number)}`);
        this.sends = Array.from({ length: options.entries }, (_unused, entry) => this.createEntry(entry));
        this.keepers.push(this.createKeeper());
    }

    async play(): Promise<LimitReplayResult> {
        const { quietMs = 0, leaderLostMs } = this.options;
        if (this.options.way === "leader") {
            this.runTouch();
        }
        if (leaderLostMs !== undefined) {
            void this.loseLeader(leaderLostMs);
        }
        await this.clock.tickAsync(quietMs);
        this.startMs = performance.now();
        void this.runCallers();
        await this.clock.tickAsync(PLAYED_MS);
        const settledMs = this.startMs + (quietMs > 0 ? 0 : SETTLED_MS);
        const endMs = this.startMs + PLAYED_MS;
        const times = this.arrivalsMs.filter((atMs) => atMs >= settledMs && atMs < endMs).sort((one, other) =>
            one - other
        );
        return {
            mostInSecond: countMostWithin(times, 1_000),
            mostInFour: countMostWithin(times, 4_000),
            used: times.length / ((endMs - settledMs) / 1_000 * this.options.limit * this.upstreams.length),
            questions: this.questions / PLAYED_MS * 1_000,
            askedBytes: this.askedBytes / PLAYED_MS * 1_000,
            answeredBytes: this.answeredBytes / PLAYED_MS * 1_000,
        };
    }

    private createEntry(entry: number): LimitSends {
        const { way, entries, limit } = this.options;
        const getNowMs = (): number => performance.now();
        const limits = new UpstreamRateLimits({ getNowMs, log, metrics, handleChange: count });
        this.upstreams.forEach((id) => {
            limits.applyNotice(id, { kind: "limit", requestsASecond: limit }, {
                asked: "1",
                askedMs: 0,
                isReport: false,
            });
        });
        const sends = new LimitSends({
            instance: `e${String(entry)}`,
            limits,
            getNowMs,
            countEntries: () => way === "owners" ? Math.min(OWNERS, entries) : entries,
            random: () => this.draw(),
            askLeader: (_method, parameters) => this.ask(parameters as SendsParameters),
            log,
            metrics,
        });
        this.upstreams.forEach((id) => {
            sends.handleChange(id, "begun", true);
        });
        return sends;
    }

    private createKeeper(): RateLimitCoordinator {
        const { entries } = this.options;
        const getNowMs = (): number => performance.now();
        const state = new FleetState();
        this.upstreams.forEach((id, index) => {
            const facts = { id, service: "s", address: id, failure_domain: "d", slots: 1 };
            state.apply({ kind: "put-upstream", facts, status: "ready" }, index + 1);
        });
        const limits = new UpstreamRateLimits({
            getNowMs,
            log,
            metrics,
            handleChange: (id) => {
                keeper.handleLimitChange(id);
            },
        });
        const host = {
            state,
            replica: { hasNewestState: () => true, getStatus: () => ({ term: this.term }) },
        } as unknown as FleetReplicaHost;
        const keeper: RateLimitCoordinator = new RateLimitCoordinator({
            host,
            limits,
            getNowMs,
            countEntries: () => entries,
            countActiveEntries: () => entries,
            handleUpdate: count,
        });
        return keeper;
    }

    private async ask(parameters: SendsParameters): Promise<unknown> {
        this.questions += 1;
        await waitMs(LATENCY_MS);
        const keeper = this.keepers.at(-1);
        if (this.options.way !== "leader" || this.isLeaderless || keeper === undefined) {
            throw new Error("no leader");
        }
        const answer = keeper.grantPermits(sendsParametersSchema.parse(parameters));
        this.askedBytes += JSON.stringify(parameters).length;
        this.answeredBytes += JSON.stringify(answer).length;
        await waitMs(LATENCY_MS);
        return answer;
    }

    private runTouch(): void {
        setInterval(() => {
            if (!this.isLeaderless) {
                this.sends.forEach((one) => {
                    one.recordLeader();
                });
            }
        }, TOUCH_MS);
        this.sends.forEach((one) => {
            one.recordLeader();
        });
    }

    private async loseLeader(atMs: number): Promise<void> {
        await waitMs(atMs);
        this.isLeaderless = true;
        await waitMs(ELECTION_MS);
        this.term += 1;
        this.keepers.push(this.createKeeper());
        this.isLeaderless = false;
        this.sends.forEach((one) => {
            one.notifyAll();
        });
    }

    private async runCallers(): Promise<void> {
        const { wanted, callersAt = 1, entries } = this.options;
        const places = Math.max(1, Math.round(entries * callersAt));
        for (;;) {
            await waitMs(-Math.log(1 - this.draw()) * 1_000 / wanted);
            void this.runRequest(Math.floor(this.draw() * places));
        }
    }

    private async runRequest(entry: number): Promise<void> {
        const sends = this.sends[entry]!;
        const upstream = this.upstreams[Math.floor(this.draw() * this.upstreams.length)]!;
        const isOwner = this.options.way !== "owners" || entry < OWNERS;
        const request = {};
        const startMs = performance.now();
        while (isOwner) {
            if (sends.claimSend(upstream, { request, priority: 1, patienceMs: HELD_PATIENCE_MS })) {
                sends.recordSend(upstream);
                this.arrivalsMs.push(performance.now());
                return;
            }
            const { leftMs, isHeld } = sends.computeLeft([upstream]);
            if (performance.now() - startMs >= (isHeld ? HELD_PATIENCE_MS : PATIENCE_MS) - leftMs) {
                sends.withdraw(request);
                return;
            }
            await waitMs(POLL_MS);
        }
    }

    /** Numbers from 0 up to 1, by a linear congruential generator. */
    private draw(): number {
        this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return this.state / 2 ** 32;
    }
}

function countMostWithin(times: readonly number[], windowMs: number): number {
    let most = 0;
    let from = 0;
    times.forEach((atMs, index) => {
        while (times[from]! <= atMs - windowMs) {
            from += 1;
        }
        most = Math.max(most, index - from + 1);
    });
    return most;
}
