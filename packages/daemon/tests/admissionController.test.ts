import { defaultClassBounds, type PriorityClass } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { AdmissionController, type AdmissionRequest } from "../src/process/daemon/admissionController.js";
import { getFaultId } from "../src/request/callerFault.js";

const create = (priority: PriorityClass, more: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
    organisation: "o",
    weight: 1,
    priority,
    tokens: 10,
    bound: defaultClassBounds[priority],
    deadlineMs: Number.POSITIVE_INFINITY,
    signal: new AbortController().signal,
    ...more,
});

describe("the gate wakes what waits, in order, and gives up at once what can't be served", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let gate: AdmissionController;
    let log: string[];

    const enter = (name: string, request: AdmissionRequest): void => {
        gate.acquire(request).then(
            () => log.push(`${name} runs`),
            (error: unknown) => log.push(`${name} ${getFaultId(error)}`),
        );
    };

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
        gate = new AdmissionController("m", 3, () => 1);
        log = [];
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("one that waits runs when another ends", async () => {
        enter("first", create("interactive"));
        enter("second", create("interactive"));
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["first runs"]);
        gate.release("interactive", { firstTokenMs: 5 });
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["first runs", "second runs"]);
    });

    it("urgent does not wait for a running narrative", async () => {
        enter("narrative", create("narrative"));
        enter("urgent", create("urgent"));
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["narrative runs", "urgent runs"]);
    });

    it("a narrative waits for a running urgent one", async () => {
        enter("urgent", create("urgent"));
        enter("narrative", create("narrative"));
        await clock.tickAsync(1);
        expect(log).to.deep.equal(["urgent runs"]);
    });

    it("one that waited as long as its bound allows is refused, not held longer", async () => {
        enter("first", create("interactive"));
        enter("second", create("interactive"));
        await clock.tickAsync(defaultClassBounds.interactive.first_token_ms + 1);
        expect(log).to.deep.equal(["first runs", "second overloaded"]);
        expect(gate.waitingRequests).to.equal(0);
    });

    it("one whose caller left waits no more", async () => {
        const leave = new AbortController();
        enter("first", create("interactive"));
        enter("second", create("interactive", { signal: leave.signal }));
        await clock.tickAsync(1);
        leave.abort();
        await clock.tickAsync(1);
        expect([gate.waitingRequests, gate.runningRequests]).to.deep.equal([0, 1]);
    });

    it("a full queue refuses the next one at once", async () => {
        for (const name of ["first", "second", "third", "fourth", "fifth"]) {
            enter(name, create("interactive"));
        }
        await clock.tickAsync(1);
        expect(log).to.include("fifth queue-full");
    });

    it("refusals count as demand for a while", async () => {
        enter("first", create("interactive"));
        enter("late", create("interactive", { deadlineMs: 1 }));
        await clock.tickAsync(1);
        expect(gate.demand).to.equal(2);
        await clock.tickAsync(5_000);
        expect(gate.demand).to.equal(1);
    });
});
