import { expect } from "chai";
import { MAX_SEND_INTERVAL_MS, SendSchedule } from "../src/connection/sendSchedule.js";

const four = { id: "u", requestsASecond: 4 };

describe("sends are handed out one after another at the upstream's rate, to whoever waits longest", () => {
    const createQuestion = (
        instance: string,
        nowMs: number,
        count = 1,
    ): Parameters<SendSchedule["requestSlots"]>[0] => ({
        instance,
        upstream: four,
        count,
        limitShare: 1,
        nowMs,
        withinMs: 300,
    });

    it("the first one after the time of one, however many ask at once", () => {
        const schedule = new SendSchedule();
        const answers = ["a", "b", "c"].map((instance) => schedule.requestSlots(createQuestion(instance, 0)).sendsMs);
        expect(answers).to.deep.equal([[250], [], []]);
    });

    it("what was not asked for is lost", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots(createQuestion("a", 0));
        expect(schedule.requestSlots(createQuestion("a", 4_000, 10)).sendsMs).to.deep.equal([3_950, 4_200]);
    });

    it("one that has one comes after those that wait", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots(createQuestion("a", 0));
        schedule.requestSlots(createQuestion("b", 1));
        expect(schedule.requestSlots(createQuestion("a", 300)).sendsMs).to.deep.equal([]);
        expect(schedule.requestSlots(createQuestion("b", 310)).sendsMs).to.deep.equal([500]);
    });

    it("one that waits no more keeps nobody back", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots(createQuestion("a", 0));
        schedule.requestSlots(createQuestion("b", 1));
        expect(schedule.requestSlots(createQuestion("a", 900)).sendsMs).to.deep.equal([850]);
    });

    it("a part of the limit where entries are out of reach", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots({ ...createQuestion("a", 0), limitShare: 0.5 });
        expect(schedule.requestSlots({ ...createQuestion("a", 300), limitShare: 0.5 }).nextMs).to.equal(1_000);
    });

    const limits = [
        { title: "none at all", requestsASecond: 0, nextMs: MAX_SEND_INTERVAL_MS },
        { title: "one in a hundred seconds", requestsASecond: 0.01, nextMs: MAX_SEND_INTERVAL_MS },
        { title: "half of one a second", requestsASecond: 0.5, nextMs: 2_000 },
    ];
    for (const { title, requestsASecond, nextMs } of limits) {
        it(`${title}: the next after ${String(nextMs)} ms`, () => {
            const schedule = new SendSchedule();
            const upstream = { id: "u", requestsASecond };
            expect(schedule.requestSlots({ ...createQuestion("a", 0), upstream }).nextMs).to.equal(nextMs);
        });
    }

    const changes = [
        { title: "raised from none", before: 0, after: 4, nextMs: 950 },
        { title: "lowered", before: 40, after: 4, nextMs: 1_075 + 250 },
    ];
    for (const { title, before, after, nextMs } of changes) {
        it(`another limit counts from the last send on: ${title}`, () => {
            const schedule = new SendSchedule();
            const ask = (requestsASecond: number, nowMs: number, count: number): number =>
                schedule.requestSlots({ ...createQuestion("a", nowMs, count), upstream: { id: "u", requestsASecond } })
                    .nextMs;
            ask(before, 0, 0);
            ask(before, 1_000, 6);
            expect(ask(after, 1_000, 0)).to.equal(nextMs);
        });
    }

    it("notices that change faster than sends are due keep nothing back", () => {
        const schedule = new SendSchedule();
        let sends = 0;
        for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
            const upstream = { id: "u", requestsASecond: nowMs % 200 === 0 ? 2 : 2.1 };
            schedule.startSchedule("u", nowMs);
            sends += schedule.requestSlots({ ...createQuestion("a", nowMs), upstream, withinMs: 0 }).sendsMs.length;
        }
        expect(sends).to.be.within(7, 9);
    });
});
