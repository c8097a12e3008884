import { expect } from "chai";
import { computePriority, urgencies, type Urgency } from "../src/index.js";

describe("an engine is told how urgent a request is", () => {
    const rows: readonly {
        readonly title: string;
        readonly classPriority: number;
        readonly leastUrgent: number;
        readonly standing: Urgency;
        readonly priority: number;
    }[] = [
        { title: "a moved stream", classPriority: 1, leastUrgent: 2, standing: "under-way", priority: 3 },
        { title: "a new request", classPriority: 1, leastUrgent: 2, standing: "fresh", priority: 4 },
        { title: "a late one", classPriority: 1, leastUrgent: 2, standing: "late", priority: 5 },
        { title: "the next class", classPriority: 2, leastUrgent: 2, standing: "under-way", priority: 6 },
        { title: "many classes leave no room", classPriority: 3, leastUrgent: 5, standing: "late", priority: 3 },
        { title: "beyond what engines know", classPriority: 12, leastUrgent: 12, standing: "fresh", priority: 9 },
    ];
    for (const { title, priority, ...row } of rows) {
        it(title, () => {
            expect(computePriority(row.classPriority, row.leastUrgent, row.standing)).to.equal(priority);
        });
    }

    for (const leastUrgent of [0, 1, 2, 3, 5, 9]) {
        it(`no class goes before a more urgent one (0 to ${String(leastUrgent)})`, () => {
            const told = Array.from(
                { length: leastUrgent + 1 },
                (_, classPriority) =>
                    urgencies.map((standing) => computePriority(classPriority, leastUrgent, standing)),
            );
            told.slice(1).forEach((priorities, before) => {
                expect(Math.min(...priorities)).to.be.above(Math.max(...told[before] ?? []));
            });
        });
    }
});
