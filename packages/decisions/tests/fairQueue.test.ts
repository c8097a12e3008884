import type { PriorityClass } from "@crankfork/schemas";
import { expect } from "chai";
import fc from "fast-check";
import { FairQueue, type QueuedRequest } from "../src/index.js";

const create = (
    organisation: string,
    tokens = 10,
    priority: PriorityClass = "interactive",
    weight = 1,
): QueuedRequest => ({
    organisation,
    weight,
    priority,
    tokens,
});

function popAll(queue: FairQueue<QueuedRequest>): readonly QueuedRequest[] {
    const popped: QueuedRequest[] = [];
    for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
        popped.push(next);
    }
    return popped;
}

const rows: readonly { readonly title: string; readonly pushed: readonly QueuedRequest[]; readonly order: string; }[] =
    [
        {
            title: "one organisation is served in its own order",
            pushed: [create("a", 1), create("a", 2)],
            order: "a a",
        },
        {
            title: "two organisations take turns, whoever sent more",
            pushed: [create("a"), create("a"), create("a"), create("b"), create("b")],
            order: "a b a b a",
        },
        {
            title: "turns are by tokens, not by requests",
            pushed: [create("a", 30), create("a", 30), create("b"), create("b"), create("b"), create("b")],
            order: "a b b b a b",
        },
        {
            title: "a weight of two gets two turns",
            pushed: [
                ...["a", "a", "a", "a"].map((name) => create(name, 10, "interactive", 2)),
                create("b", 12),
                create("b", 12),
            ],
            order: "a b a a b a",
        },
        {
            title: "urgent goes before interactive before narrative",
            pushed: [create("n", 10, "narrative"), create("i"), create("u", 10, "urgent")],
            order: "u i n",
        },
    ];

describe("the fair queue serves classes in order, and organisations by their share of tokens", () => {
    for (const { title, pushed, order } of rows) {
        it(title, () => {
            const queue = new FairQueue<QueuedRequest>();
            pushed.forEach((request) => queue.push(request));
            expect(popAll(queue).map((request) => request.organisation).join(" ")).to.equal(order);
        });
    }

    it("gives the lowest class one turn in twenty", () => {
        const queue = new FairQueue<QueuedRequest>();
        queue.push(create("n", 10, "narrative"));
        Array.from({ length: 40 }, () => queue.push(create("u", 10, "urgent")));
        expect(popAll(queue).findIndex((request) => request.priority === "narrative")).to.equal(19);
    });

    it("an organisation that was idle saves up no share", () => {
        const queue = new FairQueue<QueuedRequest>();
        Array.from({ length: 10 }, () => queue.push(create("a")));
        Array.from({ length: 5 }, () => queue.pop());
        Array.from({ length: 5 }, () => queue.push(create("b")));
        const rest = popAll(queue).slice(0, 4).map((request) => request.organisation);
        expect(rest.filter((name) => name === "b")).to.have.length(2);
    });

    it("counts another organisation's backlog only as far as it is served in between", () => {
        const queue = new FairQueue<QueuedRequest>();
        Array.from({ length: 50 }, () => queue.push(create("heavy")));
        queue.push(create("light"));
        expect(queue.countTokensAhead(create("heavy"))).to.equal(510);
        expect(queue.countTokensAhead(create("light"))).to.equal(20);
        expect(queue.countTokensAhead(create("new"))).to.equal(0);
    });

    it("neither loses nor duplicates a request under random pushes, pops and removals", () => {
        const request = fc.record({
            organisation: fc.constantFrom("a", "b", "c"),
            weight: fc.constantFrom(1, 2),
            priority: fc.constantFrom<PriorityClass>("urgent", "interactive", "narrative"),
            tokens: fc.integer({ min: 1, max: 50 }),
        });
        const act = fc.oneof(
            fc.record({ kind: fc.constant("push" as const), request }),
            fc.record({ kind: fc.constant("pop" as const) }),
            fc.record({ kind: fc.constant("remove" as const), at: fc.nat(20) }),
        );
        fc.assert(
            fc.property(fc.array(act, { maxLength: 100 }), (acts) => {
                const queue = new FairQueue<QueuedRequest>();
                const inside = new Set<QueuedRequest>();
                for (const one of acts) {
                    if (one.kind === "push") {
                        inside.add(one.request);
                        queue.push(one.request);
                    }
                    else if (one.kind === "pop") {
                        const popped = queue.pop();
                        expect(popped === undefined ? inside.size === 0 : inside.delete(popped)).to.equal(true);
                    }
                    else {
                        const chosen = [...inside][one.at];
                        if (chosen !== undefined) {
                            expect(queue.remove(chosen)).to.equal(true);
                            inside.delete(chosen);
                        }
                    }
                    expect(queue.length).to.equal(inside.size);
                }
                const rest = popAll(queue);
                expect(rest.every((one) => inside.delete(one)) && inside.size === 0).to.equal(true);
                expect(queue.countTokensAhead(create("a", 1, "narrative"))).to.equal(0);
            }),
            { seed: 4_711, numRuns: 300 },
        );
    });
});
