import type { SendsParameters, SendsResult } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { LimitSends } from "../src/process/entry/limitSends.js";
import type { SendWish } from "../src/process/entry/sendDemand.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";

const log = { record: () => undefined };

/** An entry that heard of limits, and a leader that answers as the case says. */
class SendStand {
    readonly questions: SendsParameters[] = [];
    keptBack = 0;
    beyond = 0;
    /** What each question gets; nothing is answered where undefined. */
    grantInMs: readonly number[] | undefined = [0];
    readonly limits: UpstreamRateLimits;
    readonly sends: LimitSends;

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
                this.beyond += 1;
            },
        } as unknown as FleetMetrics;
        const getNowMs = (): number => performance.now();
        this.limits = new UpstreamRateLimits({
            getNowMs,
            log,
            metrics,
            handleChange: (id, change, source) => {
                this.sends.handleChange(id, change, source === "heard");
            },
        });
        this.sends = new LimitSends({
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

    receive(id: string, requestsASecond: number | undefined): void {
        const notice = requestsASecond === undefined
            ? { kind: "none" } as const
            : { kind: "limit", requestsASecond } as const;
        this.limits.applyNotice(id, notice, { asked: "1", askedMs: performance.now(), isReport: false });
    }

    claims(id: string, wish: Partial<SendWish> = {}): boolean {
        return this.sends.claimSend(id, { request: {}, priority: 1, patienceMs: 150, ...wish });
    }

    private answer({ ...question }: SendsParameters): Promise<SendsResult> {
        this.questions.push(question);
        const { grantInMs } = this;
        if (grantInMs === undefined) {
            return Promise.reject(new Error("no answer"));
        }
        const granted = question.wanted.map(({ upstream }) => ({
            upstream,
            in_ms: [...grantInMs],
            next_in_ms: 500,
        }));
        return Promise.resolve({ kind: "sends", granted });
    }
}

describe("an entry sends to an upstream with a limit only what it holds a send for", () => {
    let clock: FakeTimers.Clock;
    let stand: SendStand;

    beforeEach(() => {
        clock = FakeTimers.install();
        stand = new SendStand();
        stand.sends.recordLeader();
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("others are free, and nobody is asked", () => {
        expect([stand.claims("u"), stand.sends.maySend("u"), stand.questions]).to.deep.equal([true, true, []]);
    });

    it("the leader is told of a limit at once", async () => {
        stand.receive("u", 2);
        await clock.tickAsync(1);
        const told = { id: "u", requests_a_second: 2, asked_ms_ago: 0, heard_ms_ago: 0 };
        expect(stand.questions).to.deep.equal([{ instance: "e", entries: 2, heard: [told], wanted: [] }]);
    });

    it("a send that is granted is used once, and not made where its connection fails", async () => {
        stand.receive("u", 2);
        expect(stand.claims("u")).to.equal(false);
        await clock.tickAsync(101);
        expect(stand.questions.at(-1)?.wanted).to.deep.equal([]);
        expect(stand.claims("u")).to.equal(false);
        await clock.tickAsync(101);
        // Kept back, or not sent: it is there for the next one.
        expect([stand.claims("u"), stand.claims("u")]).to.deep.equal([true, true]);
        stand.sends.recordSend("u");
        expect([stand.sends.maySend("u"), stand.keptBack, stand.beyond]).to.deep.equal([false, 1, 0]);
    });

    it("one that is not used in time is lost", async () => {
        stand.receive("u", 2);
        await clock.tickAsync(101);
        stand.claims("u");
        await clock.tickAsync(240);
        expect(stand.claims("u")).to.equal(true);
        await clock.tickAsync(400);
        expect(stand.claims("u")).to.equal(false);
    });

    it("one that is for later is waited for", async () => {
        stand.grantInMs = [120];
        stand.receive("u", 2);
        await clock.tickAsync(101);
        const request = {};
        stand.claims("u", { request });
        await clock.tickAsync(40);
        expect(stand.sends.computeLeft(["u"])).to.deep.equal({ leftMs: 80, isHeld: true });
        await clock.tickAsync(80);
        expect(stand.claims("u", { request })).to.equal(true);
    });

    it("a more urgent request that waits goes first", async () => {
        stand.grantInMs = [60];
        stand.receive("u", 2);
        await clock.tickAsync(101);
        const urgent = { request: {}, priority: 0 };
        stand.claims("u", urgent);
        stand.claims("u");
        await clock.tickAsync(60);
        expect([stand.claims("u"), stand.claims("u", urgent)]).to.deep.equal([false, true]);
    });

    it("what was handed out by a limit is not used under the next one", async () => {
        stand.grantInMs = [0, 0, 0];
        stand.receive("u", 40);
        await clock.tickAsync(101);
        stand.claims("u");
        await clock.tickAsync(1);
        expect(stand.claims("u")).to.equal(true);
        stand.receive("u", 2);
        expect(stand.claims("u")).to.equal(false);
    });

    it("and is under a higher one", async () => {
        stand.receive("u", 2);
        await clock.tickAsync(201);
        stand.claims("u");
        await clock.tickAsync(1);
        stand.receive("u", 40);
        expect(stand.claims("u")).to.equal(true);
    });

    it("a request that has ended wants nothing more", async () => {
        stand.receive("u", 2);
        const request = {};
        stand.claims("u", { request });
        stand.sends.withdraw(request);
        await clock.tickAsync(101);
        expect(stand.questions.at(-1)?.wanted).to.deep.equal([]);
    });

    it("without a leader it keeps to its even part", async () => {
        stand.grantInMs = undefined;
        stand.receive("u", 4);
        await clock.tickAsync(1_600);
        // Half of a part of 500 ms is drawn for the first one.
        expect(stand.claims("u")).to.equal(false);
        await clock.tickAsync(250);
        expect(stand.claims("u")).to.equal(true);
        stand.sends.recordSend("u");
        await clock.tickAsync(499);
        expect(stand.sends.maySend("u")).to.equal(false);
        await clock.tickAsync(1);
        expect(stand.sends.maySend("u")).to.equal(true);
    });

    it("a new leader is told all that was heard here", async () => {
        stand.receive("u", 2);
        await clock.tickAsync(101);
        stand.sends.notifyAll();
        await clock.tickAsync(101);
        expect(stand.questions.map(({ heard }) => heard.map(({ id }) => id))).to.deep.equal([["u"], ["u"]]);
    });
});
