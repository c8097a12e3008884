import { expect } from "chai";
import { MAX_SEND_INTERVAL_MS, SendSchedule } from "../src/connection/sendSchedule.js";

const four = { id: "u", requestsPerSecond: 4 };

describe("send slots are granted one after another at the upstream's rate, to the entry that has waited longest", () => {
    const createRequest = (
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

    it("the first slot is one interval ahead, however many entries ask at once", () => {
        const schedule = new SendSchedule();
        const answers = ["a", "b", "c"].map((instance) => schedule.requestSlots(createRequest(instance, 0)).sendsMs);
        expect(answers).to.deep.equal([[250], [], []]);
    });

    it("unused slots are dropped", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots(createRequest("a", 0));
        expect(schedule.requestSlots(createRequest("a", 4_000, 10)).sendsMs).to.deep.equal([3_950, 4_200]);
    });

    it("an entry with a slot comes after those that wait", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots(createRequest("a", 0));
        schedule.requestSlots(createRequest("b", 1));
        expect(schedule.requestSlots(createRequest("a", 300)).sendsMs).to.deep.equal([]);
        expect(schedule.requestSlots(createRequest("b", 310)).sendsMs).to.deep.equal([500]);
    });

    it("an entry that no longer asks delays no other", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots(createRequest("a", 0));
        schedule.requestSlots(createRequest("b", 1));
        expect(schedule.requestSlots(createRequest("a", 900)).sendsMs).to.deep.equal([850]);
    });

    it("a share of the limit where entries can't reach the leader", () => {
        const schedule = new SendSchedule();
        schedule.requestSlots({ ...createRequest("a", 0), limitShare: 0.5 });
        expect(schedule.requestSlots({ ...createRequest("a", 300), limitShare: 0.5 }).nextMs).to.equal(1_000);
    });

    const limits = [
        { title: "none at all", requestsPerSecond: 0, nextMs: MAX_SEND_INTERVAL_MS },
        { title: "one in a hundred seconds", requestsPerSecond: 0.01, nextMs: MAX_SEND_INTERVAL_MS },
        { title: "half of one a second", requestsPerSecond: 0.5, nextMs: 2_000 },
    ];
    for (const { title, requestsPerSecond, nextMs } of limits) {
        it(`${title}: the next after ${String(nextMs)} ms`, () => {
            const schedule = new SendSchedule();
            const upstream = { id: "u", requestsPerSecond };
            expect(schedule.requestSlots({ ...createRequest("a", 0), upstream }).nextMs).to.equal(nextMs);
        });
    }

    const changes = [
        { title: "raised from none", before: 0, after: 4, nextMs: 950 },
        { title: "lowered", before: 40, after: 4, nextMs: 1_075 + 250 },
    ];
    for (const { title, before, after, nextMs } of changes) {
        it(`a changed limit continues from the last slot: ${title}`, () => {
            const schedule = new SendSchedule();
            const ask = (requestsPerSecond: number, nowMs: number, count: number): number =>
                schedule.requestSlots({ ...createRequest("a", nowMs, count), upstream: { id: "u", requestsPerSecond } })
                    .nextMs;
            ask(before, 0, 0);
            ask(before, 1_000, 6);
            expect(ask(after, 1_000, 0)).to.equal(nextMs);
        });
    }

    it("limits that change faster than slots are due don't hold up the schedule", () => {
        const schedule = new SendSchedule();
        let sends = 0;
        for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
            const upstream = { id: "u", requestsPerSecond: nowMs % 200 === 0 ? 2 : 2.1 };
            schedule.startSchedule("u", nowMs);
            sends += schedule.requestSlots({ ...createRequest("a", nowMs), upstream, withinMs: 0 }).sendsMs.length;
        }
        expect(sends).to.be.within(7, 9);
    });
});
