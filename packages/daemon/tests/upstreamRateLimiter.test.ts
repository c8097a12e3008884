import type { SendsParameters, SendsResult } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { PermitClaim } from "../src/process/entry/sendPermitPool.js";
import { UpstreamRateLimiter } from "../src/process/entry/upstreamRateLimiter.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";

const log = { record: () => undefined };

/** Rate limiter of an entry, with a scripted leader. */
class RateLimiterHarness {
    readonly requests: SendsParameters[] = [];
    keptBack = 0;
    sendsBeyondLimit = 0;
    /** Delays of the permits granted to each request; undefined for no answer. */
    grantInMs: readonly number[] | undefined = [0];
    readonly limits: UpstreamRateLimits;
    readonly rateLimiter: UpstreamRateLimiter;

    constructor() {
        const count = (): undefined => undefined;
        const metrics = {
            countLimitChange: count,
            recordLimitCount: count,
            recordPermitsHeld: count,
            countSuppressedSend: () => {
                this.keptBack += 1;
            },
            countSendOverLimit: () => {
                this.sendsBeyondLimit += 1;
            },
        } as unknown as FleetMetrics;
        const getNowMs = (): number => performance.now();
        this.limits = new UpstreamRateLimits({
            getNowMs,
            log,
            metrics,
            handleChange: (id, change, source) => {
                this.rateLimiter.handleChange(id, change, source === "heard");
            },
        });
        this.rateLimiter = new UpstreamRateLimiter({
            instance: "e",
            limits: this.limits,
            getNowMs,
            countEntries: () => 2,
            random: () => 0.5,
            askLeader: (_method, parameters) => this.answer(parameters as SendsParameters),
            log,
            metrics,
        });
    }

    receive(id: string, requestsPerSecond: number | undefined): void {
        const notice = requestsPerSecond === undefined
            ? { kind: "none" } as const
            : { kind: "limit", requestsPerSecond } as const;
        this.limits.applyNotice(id, notice, { asked: "1", requestSentMs: performance.now(), isReport: false });
    }

    claim(id: string, overrides: Partial<PermitClaim> = {}): boolean {
        return this.rateLimiter.claimPermit(id, { request: {}, priority: 1, maxWaitMs: 150, ...overrides });
    }

    private answer({ ...permitRequest }: SendsParameters): Promise<SendsResult> {
        this.requests.push(permitRequest);
        const { grantInMs } = this;
        if (grantInMs === undefined) {
            return Promise.reject(new Error("no answer"));
        }
        const granted = permitRequest.wanted.map(({ upstream }) => ({
            upstream,
            in_ms: [...grantInMs],
            next_in_ms: 500,
        }));
        return Promise.resolve({ kind: "sends", granted });
    }
}

describe("an entry sends to a rate-limited upstream only with a permit", () => {
    let clock: FakeTimers.Clock;
    let harness: RateLimiterHarness;

    beforeEach(() => {
        clock = FakeTimers.install();
        harness = new RateLimiterHarness();
        harness.rateLimiter.recordLeader();
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("upstreams without a limit need no permit", () => {
        expect([harness.claim("u"), harness.rateLimiter.maySend("u"), harness.requests]).to.deep.equal([
            true,
            true,
            [],
        ]);
    });

    it("a limit is reported to the leader at once", async () => {
        harness.receive("u", 2);
        await clock.tickAsync(1);
        const reported = { id: "u", requests_a_second: 2, asked_ms_ago: 0, heard_ms_ago: 0 };
        expect(harness.requests).to.deep.equal([{ instance: "e", entries: 2, heard: [reported], wanted: [] }]);
    });

    it("a permit is consumed by the send, not by a claim whose send is not made", async () => {
        harness.receive("u", 2);
        expect(harness.claim("u")).to.equal(false);
        await clock.tickAsync(101);
        expect(harness.requests.at(-1)?.wanted).to.deep.equal([]);
        expect(harness.claim("u")).to.equal(false);
        await clock.tickAsync(101);
        // A claim without a send leaves the permit for the next request.
        expect([harness.claim("u"), harness.claim("u")]).to.deep.equal([true, true]);
        harness.rateLimiter.recordSend("u");
        expect([harness.rateLimiter.maySend("u"), harness.keptBack, harness.sendsBeyondLimit]).to.deep.equal([
            false,
            1,
            0,
        ]);
    });

    it("an unused permit expires", async () => {
        harness.receive("u", 2);
        await clock.tickAsync(101);
        harness.claim("u");
        await clock.tickAsync(240);
        expect(harness.claim("u")).to.equal(true);
        await clock.tickAsync(400);
        expect(harness.claim("u")).to.equal(false);
    });

    it("a request waits for a permit that is valid later", async () => {
        harness.grantInMs = [120];
        harness.receive("u", 2);
        await clock.tickAsync(101);
        const request = {};
        harness.claim("u", { request });
        await clock.tickAsync(40);
        expect(harness.rateLimiter.computeWait(["u"])).to.deep.equal({ remainingMs: 80, isHeld: true });
        await clock.tickAsync(80);
        expect(harness.claim("u", { request })).to.equal(true);
    });

    it("a more urgent waiting request goes first", async () => {
        harness.grantInMs = [60];
        harness.receive("u", 2);
        await clock.tickAsync(101);
        const urgent = { request: {}, priority: 0 };
        harness.claim("u", urgent);
        harness.claim("u");
        await clock.tickAsync(60);
        expect([harness.claim("u"), harness.claim("u", urgent)]).to.deep.equal([false, true]);
    });

    it("permits granted under a limit are not used under a lower one", async () => {
        harness.grantInMs = [0, 0, 0];
        harness.receive("u", 40);
        await clock.tickAsync(101);
        harness.claim("u");
        await clock.tickAsync(1);
        expect(harness.claim("u")).to.equal(true);
        harness.receive("u", 2);
        expect(harness.claim("u")).to.equal(false);
    });

    it("permits granted under a limit are used under a higher one", async () => {
        harness.receive("u", 2);
        await clock.tickAsync(201);
        harness.claim("u");
        await clock.tickAsync(1);
        harness.receive("u", 40);
        expect(harness.claim("u")).to.equal(true);
    });

    it("a request that has ended claims no permit", async () => {
        harness.receive("u", 2);
        const request = {};
        harness.claim("u", { request });
        harness.rateLimiter.withdraw(request);
        await clock.tickAsync(101);
        expect(harness.requests.at(-1)?.wanted).to.deep.equal([]);
    });

    it("without a leader the entry keeps to its equal share", async () => {
        harness.grantInMs = undefined;
        harness.receive("u", 4);
        await clock.tickAsync(1_600);
        // The first send is due after a random part of the interval of 500 ms, here half of it.
        expect(harness.claim("u")).to.equal(false);
        await clock.tickAsync(250);
        expect(harness.claim("u")).to.equal(true);
        harness.rateLimiter.recordSend("u");
        await clock.tickAsync(499);
        expect(harness.rateLimiter.maySend("u")).to.equal(false);
        await clock.tickAsync(1);
        expect(harness.rateLimiter.maySend("u")).to.equal(true);
    });

    it("all limits received here are reported to a new leader", async () => {
        harness.receive("u", 2);
        await clock.tickAsync(101);
        harness.rateLimiter.resendLimits();
        await clock.tickAsync(101);
        expect(harness.requests.map(({ heard }) => heard.map(({ id }) => id))).to.deep.equal([["u"], ["u"]]);
    });
});
