import { expect } from "chai";
import { BandwidthLimiter, CircuitBreaker, computeLoadScore, type LoadView, RetryBudget } from "../src/index.js";

const options = { failureThreshold: 3, openMs: 100, maxOpenMs: 350 };

type Act = "fail" | "succeed" | "start" | number;

const rows: readonly {
    readonly title: string;
    readonly acts: readonly Act[];
    readonly state: string;
    readonly isUsable: boolean;
}[] = [
    { title: "two failures leave it closed", acts: ["fail", "fail"], state: "closed", isUsable: true },
    { title: "three in a row open it", acts: ["fail", "fail", "fail"], state: "open", isUsable: false },
    {
        title: "a success between them resets the count",
        acts: ["fail", "fail", "succeed", "fail"],
        state: "closed",
        isUsable: true,
    },
    {
        title: "after the open time it takes a trial",
        acts: ["fail", "fail", "fail", 100],
        state: "trial",
        isUsable: true,
    },
    {
        title: "no second trial while one is in flight",
        acts: ["fail", "fail", "fail", 100, "start"],
        state: "trial",
        isUsable: false,
    },
    {
        title: "a trial that succeeds closes it",
        acts: ["fail", "fail", "fail", 100, "start", "succeed"],
        state: "closed",
        isUsable: true,
    },
    {
        title: "a trial that fails doubles the open time",
        acts: ["fail", "fail", "fail", 100, "start", "fail", 150],
        state: "open",
        isUsable: false,
    },
    {
        title: "the doubled open time ends too",
        acts: ["fail", "fail", "fail", 100, "start", "fail", 200],
        state: "trial",
        isUsable: true,
    },
    {
        title: "the open time has a limit",
        acts: ["fail", "fail", "fail", 100, "start", "fail", 200, "start", "fail", 350],
        state: "trial",
        isUsable: true,
    },
];

describe("a circuit breaker opens after consecutive failures and is tried one request at a time", () => {
    for (const { title, acts, state, isUsable } of rows) {
        it(title, () => {
            const circuit = new CircuitBreaker(options);
            let nowMs = 0;
            for (const act of acts) {
                if (act === "fail") {
                    circuit.recordFailure(nowMs);
                }
                else if (act === "succeed") {
                    circuit.recordSuccess();
                }
                else if (act === "start") {
                    circuit.recordStart();
                }
                else {
                    nowMs += act;
                    circuit.isUsable(nowMs);
                }
            }
            expect([circuit.isUsable(nowMs), circuit.state]).to.deep.equal([isUsable, state]);
        });
    }
});

describe("a retry budget lets a failing upstream multiply the load by no more than its share", () => {
    it("starts full, and grants no more than that without first attempts", () => {
        const budget = new RetryBudget({ tokensPerRequest: 0.2, maxTokens: 3 });
        expect([1, 2, 3, 4].map(() => budget.claimRetry())).to.deep.equal([true, true, true, false]);
    });

    it("earns one retry for five requests", () => {
        const budget = new RetryBudget({ tokensPerRequest: 0.2, maxTokens: 1 });
        budget.claimRetry();
        const claims = Array.from({ length: 100 }, () => {
            budget.recordRequest();
            return budget.claimRetry();
        });
        expect(claims.filter((isClaimed) => isClaimed)).to.have.length.within(19, 20);
    });
});

const idle: LoadView = {
    reported: 0,
    reportAgeMs: 0,
    ownInFlight: 0,
    ownSinceReport: 0,
    othersInFlight: 0,
    slots: 8,
    speed: 1,
};

const scores: readonly {
    readonly title: string;
    readonly better: Partial<LoadView>;
    readonly worse: Partial<LoadView>;
}[] = [
    { title: "less reported load", better: { reported: 2 }, worse: { reported: 5 } },
    { title: "more slots", better: { slots: 16, reported: 4 }, worse: { reported: 4 } },
    { title: "more speed", better: { speed: 4, reported: 3 }, worse: { reported: 3 } },
    {
        title: "what was sent since the report counts",
        better: { reported: 2 },
        worse: { reported: 2, ownSinceReport: 3, ownInFlight: 3 },
    },
    {
        title: "requests of other entries count where there is no report",
        better: { reported: undefined },
        worse: { reported: undefined, othersInFlight: 4 },
    },
    {
        title: "an old report of load is outweighed by counts of none",
        better: { reported: 8, reportAgeMs: 10_000 },
        worse: { reported: 2 },
    },
    {
        title: "a fresh report is not outweighed",
        better: { reported: 2 },
        worse: { reported: 8, reportAgeMs: 10 },
    },
];

describe("the load score is lower for the upstream that will finish sooner", () => {
    for (const { title, better, worse } of scores) {
        it(title, () => {
            expect(computeLoadScore({ ...idle, ...better })).to.be.below(computeLoadScore({ ...idle, ...worse }));
        });
    }
});

describe("large transfers take turns, so that they leave a share of the link free", () => {
    const limits = { bytesPerSecond: 1_000, maxWaitMs: 400 };
    const turnRows = [
        { title: "the first starts at once", claims: [[0, 100]], last: { kind: "granted", waitMs: 0 } },
        { title: "the next waits for it", claims: [[0, 100], [0, 100]], last: { kind: "granted", waitMs: 100 } },
        {
            title: "elapsed time shortens the wait",
            claims: [[0, 100], [60, 100]],
            last: { kind: "granted", waitMs: 40 },
        },
        {
            title: "an idle limiter saves nothing up",
            claims: [[0, 100], [900, 300], [900, 1]],
            last: { kind: "granted", waitMs: 300 },
        },
        {
            title: "a transfer longer than the longest wait is granted",
            claims: [[0, 9_000]],
            last: { kind: "granted", waitMs: 0 },
        },
        {
            title: "one that would wait too long is told when to retry",
            claims: [[0, 900], [0, 1]],
            last: { kind: "busy", retryMs: 500 },
        },
        {
            title: "a denied reservation uses nothing",
            claims: [[0, 900], [0, 9_000], [500, 1]],
            last: { kind: "granted", waitMs: 400 },
        },
    ] as const;
    for (const { title, claims, last } of turnRows) {
        it(title, () => {
            const budget = new BandwidthLimiter(limits);
            const turns = claims.map(([nowMs, bytes]) => budget.reserve(bytes, nowMs));
            expect(turns.at(-1)).to.deep.equal(last);
        });
    }
});
