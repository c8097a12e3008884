import { expect } from "chai";
import fc from "fast-check";
import { ClassDrainMeters, MultiClassQueue, type QueuedRequest } from "../src/index.js";

describe("a queue over any classes skips requests that can't start, and keeps their places", () => {
    const create = (organisation: string, priority: number, tokens = 10): QueuedRequest<number> => ({
        organisation,
        weight: 1,
        priority,
        tokens,
    });

    it("asks in the order of service until one can start", () => {
        const queue = new MultiClassQueue<QueuedRequest<number>, number>([0, 1]);
        [create("c", 1), create("a", 0), create("b", 0), create("a", 0)].forEach((one) => queue.push(one));
        const asked: string[] = [];
        const popped = queue.popAccepted(({ organisation }) => {
            asked.push(organisation);
            return organisation === "b";
        });
        expect([popped?.organisation, asked.join(" "), queue.length]).to.deep.equal(["b", "a a b", 3]);
        expect(queue.pop()?.organisation).to.equal("a");
    });

    it("does not run out of step with its counts under random pushes and pops", () => {
        const act = fc.record({
            isPush: fc.boolean(),
            organisation: fc.constantFrom("a", "b", "c"),
            priority: fc.constantFrom(0, 1, 2),
            tokens: fc.integer({ min: 1, max: 50 }),
        });
        fc.assert(
            fc.property(fc.array(act, { maxLength: 80 }), (acts) => {
                const queue = new MultiClassQueue<QueuedRequest<number>, number>([0, 1, 2]);
                const inside = new Set<QueuedRequest<number>>();
                for (const { isPush, organisation, priority, tokens } of acts) {
                    if (isPush) {
                        const request = create(organisation, priority, tokens);
                        inside.add(request);
                        queue.push(request);
                    }
                    else {
                        const fits = (one: QueuedRequest<number>): boolean => one.tokens <= tokens;
                        const popped = queue.popAccepted(fits);
                        expect(popped === undefined ? ![...inside].some(fits) : inside.delete(popped)).to.equal(true);
                    }
                    expect(queue.length).to.equal(inside.size);
                    expect(queue.list().filter((one) => inside.has(one))).to.have.length(inside.size);
                }
                while (queue.popAccepted(() => true) !== undefined) {
                    // Emptied to check that no tokens remain counted.
                }
                [0, 1, 2].forEach((name) => {
                    expect(queue.countTokensAhead(create("a", name, 1))).to.equal(0);
                });
            }),
            { seed: 4_711, numRuns: 200 },
        );
    });
});

describe("drain rates of classes are apart, and a rate from an earlier burst is not used", () => {
    const meters = new ClassDrainMeters([0, 1], { smoothing: 0.5, keepMs: 10_000 });

    it("weighs the newest departure as set", () => {
        meters.get(0).recordArrival(0);
        meters.get(0).recordDeparture(10, false, 20);
        meters.get(0).recordDeparture(10, true, 60);
        expect(meters.get(0).getMsPerToken(60)).to.equal(3);
        expect(meters.get(1).getMsPerToken(60)).to.equal(undefined);
    });

    it("keeps a rate for ten seconds", () => {
        meters.get(0).recordArrival(10_060);
        expect(meters.get(0).getMsPerToken(10_060)).to.equal(3);
        meters.get(0).recordEmpty();
        meters.get(0).recordArrival(10_061);
        expect(meters.get(0).getMsPerToken(10_061)).to.equal(undefined);
    });
});
