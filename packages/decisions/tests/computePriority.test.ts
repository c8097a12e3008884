import { expect } from "chai";
import { computePriority, urgencies, type Urgency } from "../src/index.js";

describe("the priority for an engine reflects class and urgency", () => {
    const rows: readonly {
        readonly title: string;
        readonly classPriority: number;
        readonly leastUrgent: number;
        readonly urgency: Urgency;
        readonly priority: number;
    }[] = [
        { title: "a moved stream", classPriority: 1, leastUrgent: 2, urgency: "under-way", priority: 3 },
        { title: "a new request", classPriority: 1, leastUrgent: 2, urgency: "fresh", priority: 4 },
        { title: "a late one", classPriority: 1, leastUrgent: 2, urgency: "late", priority: 5 },
        { title: "the next class", classPriority: 2, leastUrgent: 2, urgency: "under-way", priority: 6 },
        {
            title: "too many classes for priorities within a class",
            classPriority: 3,
            leastUrgent: 5,
            urgency: "late",
            priority: 3,
        },
        {
            title: "a class beyond the priorities of engines",
            classPriority: 12,
            leastUrgent: 12,
            urgency: "fresh",
            priority: 9,
        },
    ];
    for (const { title, priority, ...row } of rows) {
        it(title, () => {
            expect(computePriority(row.classPriority, row.leastUrgent, row.urgency)).to.equal(priority);
        });
    }

    for (const leastUrgent of [0, 1, 2, 3, 5, 9]) {
        it(`no class goes before a more urgent one (0 to ${String(leastUrgent)})`, () => {
            const sent = Array.from(
                { length: leastUrgent + 1 },
                (_, classPriority) => urgencies.map((urgency) => computePriority(classPriority, leastUrgent, urgency)),
            );
            sent.slice(1).forEach((priorities, before) => {
                expect(Math.min(...priorities)).to.be.above(Math.max(...sent[before] ?? []));
            });
        });
    }
});
