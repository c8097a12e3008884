import type { ReplicaAddress } from "@crankfork/schemas";
import { expect } from "chai";
import {
    type AttemptView,
    chooseNextStep,
    chooseVoterChange,
    computeVoterTarget,
    type NextStep,
    type RetryObstacle,
    SharedRetryBudget,
    type VoterView,
} from "../src/index.js";

const view: AttemptView = {
    outcome: "broken",
    isRepeatable: true,
    mayHaveRun: true,
    executions: 1,
    attempts: 1,
    maxExecutions: 2,
    remainingMs: 1_000,
    hasAlternative: true,
    isStreamWaiting: false,
    maxQueueMs: 0,
    claimRetry: () => true,
};
const notRun = { mayHaveRun: false, executions: 0 };

const rows: readonly {
    readonly title: string;
    readonly change: Partial<AttemptView>;
    readonly step: NextStep["kind"];
}[] = [
    { title: "a broken attempt of a repeatable request", change: {}, step: "try-again" },
    { title: "a stalled one", change: { outcome: "stalled" }, step: "try-again" },
    { title: "a failure that the upstream gave", change: { outcome: "failed" }, step: "try-again" },
    { title: "a broken attempt of a request that may run only once", change: { isRepeatable: false }, step: "fail" },
    {
        title: "a failure of a request that may run only once is passed on",
        change: { outcome: "failed", isRepeatable: false },
        step: "hand-on",
    },
    { title: "the route's attempts are used up", change: { executions: 2 }, step: "fail" },
    {
        title: "used up, and the upstream gave a failure",
        change: { executions: 2, outcome: "failed" },
        step: "hand-on",
    },
    { title: "the budget is spent", change: { claimRetry: () => false }, step: "fail" },
    {
        title: "the budget is spent before it ran",
        change: { ...notRun, outcome: "declined", claimRetry: () => false },
        step: "refuse",
    },
    { title: "no time is left", change: { remainingMs: 5 }, step: "fail" },
    { title: "no other upstream", change: { hasAlternative: false }, step: "fail" },
    {
        title: "not sent, though it may run only once",
        change: { ...notRun, outcome: "not-sent", isRepeatable: false },
        step: "try-again",
    },
    {
        title: "not sent costs no budget",
        change: { ...notRun, outcome: "not-sent", claimRetry: () => false },
        step: "try-again",
    },
    {
        title: "declined, though it may run only once",
        change: { ...notRun, outcome: "declined", isRepeatable: false },
        step: "try-again",
    },
    {
        title: "a partly delivered stream that all declined",
        change: { outcome: "declined", attempts: 6, hasAlternative: false, isStreamWaiting: true },
        step: "try-again",
    },
    {
        title: "a partly delivered stream while the budget is spent",
        change: { isStreamWaiting: true, claimRetry: () => false },
        step: "wait",
    },
    {
        title: "a partly delivered stream that broke while no chain is left",
        change: { isStreamWaiting: true, hasAlternative: false },
        step: "wait",
    },
    {
        title: "a partly delivered stream whose upstream cannot be reached while no chain is left",
        change: { outcome: "stalled", isStreamWaiting: true, hasAlternative: false },
        step: "wait",
    },
    {
        title: "a partly delivered stream that broke shortly before its deadline",
        change: { isStreamWaiting: true, hasAlternative: false, remainingMs: 5 },
        step: "fail",
    },
    {
        title: "a partly delivered stream whose attempts are used up",
        change: { isStreamWaiting: true, executions: 2 },
        step: "fail",
    },
    {
        title: "a partly delivered stream that may run only once",
        change: { outcome: "declined", isStreamWaiting: true, isRepeatable: false },
        step: "fail",
    },
    {
        title: "declined, and no reachable chain is left",
        change: { ...notRun, outcome: "declined", hasAlternative: false, maxQueueMs: 500 },
        step: "wait",
    },
    {
        title: "declined, with a free chain and no retry left: another entry may have one",
        change: { ...notRun, outcome: "declined", maxQueueMs: 500, claimRetry: () => false },
        step: "refuse",
    },
    {
        title: "declined, no chain is left, and it may run only once and may have run",
        change: { outcome: "declined", hasAlternative: false, isRepeatable: false, maxQueueMs: 500 },
        step: "fail",
    },
    {
        title: "broken, and no chain is left",
        change: { hasAlternative: false, maxQueueMs: 500 },
        step: "fail",
    },
    {
        title: "declined, no chain is left, and it has waited long enough",
        change: { ...notRun, outcome: "declined", hasAlternative: false },
        step: "refuse",
    },
    { title: "declined by all", change: { ...notRun, outcome: "declined", attempts: 4 }, step: "refuse" },
    {
        title: "declined after an attempt that may have run, and it may run only once",
        change: { outcome: "declined", isRepeatable: false },
        step: "fail",
    },
];

describe("the next step never runs a non-repeatable request twice, and reports not-run only where that is true", () => {
    for (const { title, change, step } of rows) {
        it(`${title}: ${step}`, () => {
            expect(chooseNextStep({ ...view, ...change }).kind).to.equal(step);
        });
    }
});

describe("a request that fails says why it is not attempted again", () => {
    const failures: readonly { readonly change: Partial<AttemptView>; readonly lacks: RetryObstacle; }[] = [
        { change: { isRepeatable: false }, lacks: "permission" },
        { change: { remainingMs: 5 }, lacks: "time" },
        { change: { executions: 2 }, lacks: "attempt" },
        { change: { attempts: 4 }, lacks: "attempt" },
        { change: { hasAlternative: false }, lacks: "upstream" },
        { change: { claimRetry: () => false }, lacks: "retry" },
    ];
    for (const { change, lacks } of failures) {
        it(lacks, () => {
            expect(chooseNextStep({ ...view, ...change })).to.deep.equal({ kind: "fail", lacks });
        });
    }
});

describe("a refusal for lack of retries says whether an upstream is free", () => {
    for (const hasAlternative of [true, false]) {
        it(hasAlternative ? "one is" : "none is", () => {
            const step = chooseNextStep({
                ...view,
                ...notRun,
                outcome: "declined",
                hasAlternative,
                claimRetry: () => false,
            });
            expect(step).to.deep.equal({ kind: "refuse", hasFreeUpstream: hasAlternative });
        });
    }
});

describe("all entries together stay within the retry budget", () => {
    const options = { ratio: 0.2, slack: 90, windowMs: 10_000 };
    const claimAll = (budget: SharedRetryBudget, hasPartialAnswer: boolean = true): number => {
        let claimed = 0;
        while (budget.claimRetry(hasPartialAnswer)) {
            claimed += 1;
        }
        return claimed;
    };

    it("nine entries spend no more than the slack", () => {
        const budgets = Array.from({ length: 9 }, () => new SharedRetryBudget(options, () => 9, () => 0));
        const total = budgets.reduce((sum, budget) => sum + claimAll(budget), 0);
        expect(total).to.be.above(0).and.at.most(options.slack);
    });

    it("requests earn their share", () => {
        const budget = new SharedRetryBudget(options, () => 9, () => 0);
        const before = claimAll(budget);
        for (let request = 0; request < 100; request += 1) {
            budget.recordRequest();
        }
        expect(before + claimAll(budget)).to.be.at.most(100 * options.ratio + options.slack / 9);
    });

    it("requests without an answer leave a share to partly delivered streams", () => {
        const budget = new SharedRetryBudget(options, () => 1, () => 0);
        const fresh = claimAll(budget, false);
        const resumed = claimAll(budget, true);
        expect(fresh).to.be.above(resumed);
        expect(resumed).to.be.above(0);
        expect(fresh + resumed).to.be.at.most(options.slack);
    });

    it("a retry that is released can be claimed again, and no more than were claimed", () => {
        const budget = new SharedRetryBudget(options, () => 1, () => 0);
        budget.releaseRetry();
        const claimed = claimAll(budget);
        budget.releaseRetry();
        expect([claimed <= options.slack, claimAll(budget)]).to.deep.equal([true, 1]);
    });

    it("a retry is counted for the whole window", () => {
        let nowMs = 0;
        const budget = new SharedRetryBudget(options, () => 1, () => nowMs);
        // The first window after a start has a smaller share.
        nowMs = 20_000;
        const first = claimAll(budget);
        nowMs = 28_900;
        expect(claimAll(budget)).to.equal(0);
        nowMs = 30_001;
        expect(claimAll(budget)).to.equal(first);
    });
});

const replica = (id: string, address: string = id): ReplicaAddress => ({ id, address });
const voterView: VoterView = {
    replicas: { voters: ["a", "b", "c"].map((id) => replica(id)), learners: [] },
    selfId: "a",
    joining: [],
    getSilenceMs: () => 0,
    isLeaving: () => false,
    toleratedLosses: 2,
};
const five = ["a", "b", "c", "d", "e"].map((id) => replica(id));

const voterRows: readonly {
    readonly title: string;
    readonly change: Partial<VoterView>;
    readonly next: string | undefined;
}[] = [
    { title: "nothing to do", change: {}, next: undefined },
    { title: "a joining replica is a learner first", change: { joining: [replica("d")] }, next: "a,b,c|d" },
    {
        title: "a learner is promoted while voters are missing",
        change: { replicas: { voters: voterView.replicas.voters, learners: [replica("d")] } },
        next: "a,b,c,d|",
    },
    {
        title: "a learner waits while all voters are present",
        change: { replicas: { voters: five, learners: [replica("f")] } },
        next: undefined,
    },
    {
        title: "a silent voter is replaced by a learner",
        change: { replicas: { voters: five, learners: [replica("f")] }, getSilenceMs: (id) => id === "c" ? 4_000 : 0 },
        next: "a,b,d,e|f",
    },
    {
        title: "a silent voter stays while no learner waits",
        change: { getSilenceMs: (id) => id === "c" ? 60_000 : 0 },
        next: undefined,
    },
    {
        title: "a leaving voter stays until a learner has joined it",
        change: { replicas: { voters: five, learners: [replica("f")] }, isLeaving: (id) => id === "c" },
        next: "a,b,c,d,e,f|",
    },
    {
        title: "a leaving voter goes once there are voters enough without it",
        change: { replicas: { voters: [...five, replica("f")], learners: [] }, isLeaving: (id) => id === "c" },
        next: "a,b,d,e,f|",
    },
    {
        title: "of too many voters a silent one goes before a leaving one",
        change: {
            replicas: { voters: [...five, replica("f")], learners: [] },
            isLeaving: (id) => id === "c",
            getSilenceMs: (id) => id === "d" ? 4_000 : 0,
        },
        next: "a,b,c,e,f|",
    },
    {
        title: "a leaving voter stays while no learner waits",
        change: { replicas: { voters: five, learners: [] }, isLeaving: (id) => id === "c" },
        next: undefined,
    },
    {
        title: "a leaving learner takes nobody's place",
        change: { replicas: { voters: five, learners: [replica("f")] }, isLeaving: (id) => id === "c" || id === "f" },
        next: undefined,
    },
    {
        title: "a leader that leaves hands over before it is replaced",
        change: { replicas: { voters: [...five, replica("f")], learners: [] }, isLeaving: (id) => id === "a" },
        next: undefined,
    },
    {
        title: "another replica at a voter's address means its disk is gone",
        change: { joining: [replica("b2", "b")] },
        next: "a,c|",
    },
    {
        title: "a learner that is gone is removed",
        change: { replicas: { voters: five, learners: [replica("f")] }, getSilenceMs: (id) => id === "f" ? 11_000 : 0 },
        next: "a,b,c,d,e|",
    },
    {
        title: "a silent learner is not promoted",
        change: {
            replicas: { voters: voterView.replicas.voters, learners: [replica("d")] },
            getSilenceMs: (id) => id === "d" ? 5_000 : 0,
        },
        next: undefined,
    },
];

describe("voters change one at a time, until there are enough for the tolerated losses", () => {
    for (const { title, change, next } of voterRows) {
        it(title, () => {
            const set = chooseVoterChange({ ...voterView, ...change });
            const formatted = set
                && `${set.voters.map((one) => one.id).join(",")}|${set.learners.map((one) => one.id).join(",")}`;
            expect(formatted).to.equal(next);
        });
    }

    it("two losses need five voters", () => {
        expect(computeVoterTarget(2)).to.equal(5);
    });
});
