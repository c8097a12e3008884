import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { ServerResponse } from "node:http";
import { Writable } from "node:stream";
import { CallerResponse } from "../src/request/callerResponse.js";

const limits = { maxBufferedBytes: 100, stallTimeoutMs: 1_000 };
const PART = "x".repeat(60);

/** A response whose reader takes nothing until it is told to. */
class SlowResponse extends Writable {
    headersSent = false;
    private take: (() => void) | undefined;

    constructor() {
        super({ highWaterMark: 50 });
    }

    writeHead(): this {
        this.headersSent = true;
        return this;
    }

    override _write(_chunk: unknown, _encoding: string, callback: () => void): void {
        this.take = callback;
    }

    readOne(): void {
        const take = this.take;
        this.take = undefined;
        take?.();
    }
}

describe("a caller that reads slowly bounds what waits for it", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let response: SlowResponse;
    let answer: CallerResponse;

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout"] });
        response = new SlowResponse();
        answer = new CallerResponse(response as unknown as ServerResponse, "r1", limits);
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("the writer waits while more than the buffer is unread, and goes on when it was read", async () => {
        await answer.writeChunk(PART);
        let hasWritten = false;
        const second = answer.writeChunk(PART).then(() => {
            hasWritten = true;
        });
        await new Promise(setImmediate);
        expect(hasWritten).to.equal(false);
        response.readOne();
        response.readOne();
        await second;
        expect(hasWritten).to.equal(true);
    });

    it("a caller that reads nothing for too long is given up", async () => {
        await answer.writeChunk(PART);
        const second = answer.writeChunk(PART).catch((error: unknown) => error);
        await clock.tickAsync(limits.stallTimeoutMs + 1);
        expect(await second).to.be.instanceOf(Error).with.property("message", "the caller went away");
        expect(answer.disconnect.signal.aborted).to.equal(true);
    });
});
