import { defaultLatencyBounds, type PriorityClass } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { AdmissionController, type AdmissionRequest } from "../src/process/daemon/admissionController.js";
import { getErrorId } from "../src/request/callerError.js";

const createRequest = (priority: PriorityClass, overrides: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
    organisation: "o",
    weight: 1,
    priority,
    tokens: 10,
    bound: defaultLatencyBounds[priority],
    deadlineMs: Number.POSITIVE_INFINITY,
    signal: new AbortController().signal,
    ...overrides,
});

describe("the admission controller starts queued requests in order and refuses what can't be served in time", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let controller: AdmissionController;
    let log: string[];

    const acquire = (name: string, request: AdmissionRequest): void => {
        controller.acquire(request).then(
            () => log.push(`${name} runs`),
            (error: unknown) => log.push(`${name} ${getErrorId(error)}`),
        );
    };

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
        controller = new AdmissionController("m", 3, () => 1);
        log = [];
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("starts a queued request when a running one ends", async () => {
        acquire("first", createRequest("interactive"));
        acquire("second", createRequest("interactive"));
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["first runs"]);
        controller.release("interactive", { firstTokenMs: 5 });
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["first runs", "second runs"]);
    });

    it("runs an urgent request beside a narrative one", async () => {
        acquire("narrative", createRequest("narrative"));
        acquire("urgent", createRequest("urgent"));
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["narrative runs", "urgent runs"]);
    });

    it("queues a narrative request behind a running urgent one", async () => {
        acquire("urgent", createRequest("urgent"));
        acquire("narrative", createRequest("narrative"));
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["urgent runs"]);
    });

    it("refuses a request that has waited as long as its bound allows", async () => {
        acquire("first", createRequest("interactive"));
        acquire("second", createRequest("interactive"));
        await clock.tickAsync(defaultLatencyBounds.interactive.first_token_ms + 1);
        expect(log).to.deep.equal(["first runs", "second overloaded"]);
        expect(controller.waitingRequests).to.equal(0);
    });

    it("removes a request from the queue when its caller disconnects", async () => {
        const leave = new AbortController();
        acquire("first", createRequest("interactive"));
        acquire("second", createRequest("interactive", { signal: leave.signal }));
        await clock.tickAsync(1);
        leave.abort();
        await clock.tickAsync(1);
        expect([controller.waitingRequests, controller.runningRequests]).to.deep.equal([0, 1]);
    });

    it("refuses immediately when the queue is full", async () => {
        for (const name of ["first", "second", "third", "fourth", "fifth"]) {
            acquire(name, createRequest("interactive"));
        }
        await clock.tickAsync(1);
        expect(log).to.include("fifth queue-full");
    });

    it("counts recent refusals as demand", async () => {
        acquire("first", createRequest("interactive"));
        acquire("late", createRequest("interactive", { deadlineMs: 1 }));
        await clock.tickAsync(1);
        expect(controller.demand).to.equal(2);
        await clock.tickAsync(5_000);
        expect(controller.demand).to.equal(1);
    });
});
