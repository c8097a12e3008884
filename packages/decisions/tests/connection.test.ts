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
        title: "a success between them starts the count again",
        acts: ["fail", "fail", "succeed", "fail"],
        state: "closed",
        isUsable: true,
    },
    { title: "after the wait it takes a trial", acts: ["fail", "fail", "fail", 100], state: "trial", isUsable: true },
    {
        title: "a trial that is out lets no second one follow",
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
        title: "a trial that fails doubles the wait",
        acts: ["fail", "fail", "fail", 100, "start", "fail", 150],
        state: "open",
        isUsable: false,
    },
    {
        title: "a doubled wait ends too",
        acts: ["fail", "fail", "fail", 100, "start", "fail", 200],
        state: "trial",
        isUsable: true,
    },
    {
        title: "the wait has a limit",
        acts: ["fail", "fail", "fail", 100, "start", "fail", 200, "start", "fail", 350],
        state: "trial",
        isUsable: true,
    },
];

describe("a circuit opens after failures in a row and is tried one request at a time", () => {
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
    it("starts full, and gives no more than that without fresh requests", () => {
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
        title: "other entries count where there is no report",
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

describe("the load score is lower for the upstream that will be done sooner", () => {
    for (const { title, better, worse } of scores) {
        it(title, () => {
            expect(computeLoadScore({ ...idle, ...better })).to.be.below(computeLoadScore({ ...idle, ...worse }));
        });
    }
});

describe("large transfers take turns, so that they leave a part of the link free", () => {
    const terms = { bytesPerSecond: 1_000, maxWaitMs: 400 };
    const turnRows = [
        { title: "the first leaves at once", claims: [[0, 100]], last: { kind: "granted", waitMs: 0 } },
        { title: "the next waits for it", claims: [[0, 100], [0, 100]], last: { kind: "granted", waitMs: 100 } },
        {
            title: "time that passed is not waited for",
            claims: [[0, 100], [60, 100]],
            last: { kind: "granted", waitMs: 40 },
        },
        {
            title: "an idle budget saves nothing up",
            claims: [[0, 100], [900, 300], [900, 1]],
            last: { kind: "granted", waitMs: 300 },
        },
        {
            title: "one larger than a whole wait has its turn",
            claims: [[0, 9_000]],
            last: { kind: "granted", waitMs: 0 },
        },
        {
            title: "who would wait too long comes back",
            claims: [[0, 900], [0, 1]],
            last: { kind: "busy", retryMs: 500 },
        },
        {
            title: "who was told so spent nothing",
            claims: [[0, 900], [0, 9_000], [500, 1]],
            last: { kind: "granted", waitMs: 400 },
        },
    ] as const;
    for (const { title, claims, last } of turnRows) {
        it(title, () => {
            const budget = new BandwidthLimiter(terms);
            const turns = claims.map(([nowMs, bytes]) => budget.reserve(bytes, nowMs));
            expect(turns.at(-1)).to.deep.equal(last);
        });
    }
});
