import { FleetState } from "@crankfork/coordination";
import { type SendsParameters, sendsParametersSchema } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { UpstreamRateLimiter } from "../src/process/entry/upstreamRateLimiter.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { RateLimitCoordinator } from "../src/process/voter/rateLimitCoordinator.js";
import { waitMs } from "../src/process/waitMs.js";

/** How a rate limit is divided among entries. */
export type LimitPolicy =
    /** The leader grants single send permits. */
    | "leader"
    /** Each entry observes its even share. */
    | "even"
    /** A few fixed entries share it evenly. */
    | "owners";

/** Parameters of a simulation. */
export interface LimitSimulationOptions {
    readonly policy: LimitPolicy;
    readonly entries: number;
    /** Number of upstreams with the limit; 1 by default. */
    readonly upstreams?: number;
    /** Rate limit of each upstream, in requests per second. */
    readonly limit: number;
    /** Total demand of all callers, in requests per second. */
    readonly wanted: number;
    /** Fraction of the entries that have callers; 1 by default. */
    readonly callerFraction?: number;
    /** Idle time before the callers start, in milliseconds. */
    readonly idleMs?: number;
    /** When the leader is lost; never if omitted. */
    readonly leaderLostAtMs?: number;
    readonly seed: number;
}

/** Results, measured after all entries have learned the limit. */
export interface LimitSimulationResult {
    /** Maximum number of requests that reached the upstreams in any one second. */
    readonly maxInSecond: number;
    /** The same in any four seconds. */
    readonly maxInFourSeconds: number;
    /** Fraction of the limit that was used. */
    readonly used: number;
    /** Requests to the leader per second, and the bytes per second of requests and answers. */
    readonly leaderRequests: number;
    readonly requestBytes: number;
    readonly responseBytes: number;
}

const LATENCY_MS = 1;
/** Interval at which the other requests of an entry keep it in contact with the leader. */
const CONTACT_INTERVAL_MS = 500;
const POLL_INTERVAL_MS = 40;
const PATIENCE_MS = 75;
const HELD_PATIENCE_MS = 150;
const SIMULATED_MS = 20_000;
const SETTLED_MS = 3_000;
const ELECTION_MS = 1_000;
const OWNER_COUNT = 2;

const log = { record: () => undefined };
const count = (): undefined => undefined;
const metrics = {
    countLimitChange: count,
    recordLimitCount: count,
    countSuppressedSend: count,
    countSendOverLimit: count,
    recordPermitsHeld: count,
} as unknown as FleetMetrics;

/** Runs a simulation with the production code of entries and leaders under a fake clock. */
export async function simulateLimit(options: LimitSimulationOptions): Promise<LimitSimulationResult> {
    const clock = FakeTimers.install();
    try {
        return await new LimitSimulation(options, clock).run();
    }
    finally {
        clock.uninstall();
    }
}

class LimitSimulation {
    private readonly coordinators: RateLimitCoordinator[] = [];
    private readonly rateLimiters: UpstreamRateLimiter[];
    private readonly arrivalsMs: number[] = [];
    private readonly upstreams: readonly string[];
    private state: number;
    private term = 1;
    private isLeaderless = false;
    private leaderRequests = 0;
    private requestBytes = 0;
    private responseBytes = 0;
    private startMs = 0;

    constructor(private readonly options: LimitSimulationOptions, private readonly clock: FakeTimers.Clock) {
        this.state = options.seed;
        this.upstreams = Array.from({ length: options.upstreams ?? 1 }, (_unused, number) => `i-${String(number)}`);
        this.rateLimiters = Array.from({ length: options.entries }, (_unused, entry) => this.createEntry(entry));
        this.coordinators.push(this.createCoordinator());
    }

    async run(): Promise<LimitSimulationResult> {
        const { idleMs = 0, leaderLostAtMs } = this.options;
        if (this.options.policy === "leader") {
            this.runContacts();
        }
        if (leaderLostAtMs !== undefined) {
            void this.loseLeader(leaderLostAtMs);
        }
        await this.clock.tickAsync(idleMs);
        this.startMs = performance.now();
        void this.runCallers();
        await this.clock.tickAsync(SIMULATED_MS);
        const settledMs = this.startMs + (idleMs > 0 ? 0 : SETTLED_MS);
        const endMs = this.startMs + SIMULATED_MS;
        const times = this.arrivalsMs.filter((atMs) => atMs >= settledMs && atMs < endMs).sort((one, other) =>
            one - other
        );
        return {
            maxInSecond: countMaximumWithin(times, 1_000),
            maxInFourSeconds: countMaximumWithin(times, 4_000),
            used: times.length / ((endMs - settledMs) / 1_000 * this.options.limit * this.upstreams.length),
            leaderRequests: this.leaderRequests / SIMULATED_MS * 1_000,
            requestBytes: this.requestBytes / SIMULATED_MS * 1_000,
            responseBytes: this.responseBytes / SIMULATED_MS * 1_000,
        };
    }

    private createEntry(entry: number): UpstreamRateLimiter {
        const { policy, entries, limit } = this.options;
        const getNowMs = (): number => performance.now();
        const limits = new UpstreamRateLimits({ getNowMs, log, metrics, handleChange: count });
        this.upstreams.forEach((id) => {
            limits.applyNotice(id, { kind: "limit", requestsPerSecond: limit }, {
                asked: "1",
                requestSentMs: 0,
                isReport: false,
            });
        });
        const rateLimiter = new UpstreamRateLimiter({
            instance: `e${String(entry)}`,
            limits,
            getNowMs,
            countEntries: () => policy === "owners" ? Math.min(OWNER_COUNT, entries) : entries,
            random: () => this.draw(),
            askLeader: (_method, parameters) => this.ask(parameters as SendsParameters),
            log,
            metrics,
        });
        this.upstreams.forEach((id) => {
            rateLimiter.handleChange(id, "begun", true);
        });
        return rateLimiter;
    }

    private createCoordinator(): RateLimitCoordinator {
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
                coordinator.handleLimitChange(id);
            },
        });
        const host = {
            state,
            replica: { hasLeaderLease: () => true, getStatus: () => ({ term: this.term }) },
        } as unknown as FleetReplicaHost;
        const coordinator: RateLimitCoordinator = new RateLimitCoordinator({
            host,
            limits,
            getNowMs,
            countEntries: () => entries,
            countActiveEntries: () => entries,
            handleUpdate: count,
        });
        return coordinator;
    }

    private async ask(parameters: SendsParameters): Promise<unknown> {
        this.leaderRequests += 1;
        await waitMs(LATENCY_MS);
        const coordinator = this.coordinators.at(-1);
        if (this.options.policy !== "leader" || this.isLeaderless || coordinator === undefined) {
            throw new Error("no leader");
        }
        const answer = coordinator.grantPermits(sendsParametersSchema.parse(parameters));
        this.requestBytes += JSON.stringify(parameters).length;
        this.responseBytes += JSON.stringify(answer).length;
        await waitMs(LATENCY_MS);
        return answer;
    }

    private runContacts(): void {
        setInterval(() => {
            if (!this.isLeaderless) {
                this.rateLimiters.forEach((one) => {
                    one.recordLeader();
                });
            }
        }, CONTACT_INTERVAL_MS);
        this.rateLimiters.forEach((one) => {
            one.recordLeader();
        });
    }

    private async loseLeader(atMs: number): Promise<void> {
        await waitMs(atMs);
        this.isLeaderless = true;
        await waitMs(ELECTION_MS);
        this.term += 1;
        this.coordinators.push(this.createCoordinator());
        this.isLeaderless = false;
        this.rateLimiters.forEach((one) => {
            one.resendLimits();
        });
    }

    private async runCallers(): Promise<void> {
        const { wanted, callerFraction = 1, entries } = this.options;
        const places = Math.max(1, Math.round(entries * callerFraction));
        for (;;) {
            await waitMs(-Math.log(1 - this.draw()) * 1_000 / wanted);
            void this.runRequest(Math.floor(this.draw() * places));
        }
    }

    private async runRequest(entry: number): Promise<void> {
        const rateLimiter = this.rateLimiters[entry]!;
        const upstream = this.upstreams[Math.floor(this.draw() * this.upstreams.length)]!;
        const isOwner = this.options.policy !== "owners" || entry < OWNER_COUNT;
        const request = {};
        const startMs = performance.now();
        while (isOwner) {
            if (rateLimiter.claimPermit(upstream, { request, priority: 1, maxWaitMs: HELD_PATIENCE_MS })) {
                rateLimiter.recordSend(upstream);
                this.arrivalsMs.push(performance.now());
                return;
            }
            const { remainingMs, isHeld } = rateLimiter.computeWait([upstream]);
            if (performance.now() - startMs >= (isHeld ? HELD_PATIENCE_MS : PATIENCE_MS) - remainingMs) {
                rateLimiter.withdraw(request);
                return;
            }
            await waitMs(POLL_INTERVAL_MS);
        }
    }

    /** Draws a number in [0, 1) from a linear congruential generator. */
    private draw(): number {
        this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return this.state / 2 ** 32;
    }
}

function countMaximumWithin(times: readonly number[], windowMs: number): number {
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
