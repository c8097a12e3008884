import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { ServerResponse } from "node:http";
import { Writable } from "node:stream";
import { CallerResponse } from "../src/request/callerResponse.js";

const limits = { maxBufferedBytes: 100, stallTimeoutMs: 1_000 };
const CHUNK = "x".repeat(60);

/** A response whose reader consumes one chunk per call of `readOne`. */
class SlowResponse extends Writable {
    headersSent = false;
    private finishWrite: (() => void) | undefined;

    constructor() {
        super({ highWaterMark: 50 });
    }

    writeHead(): this {
        this.headersSent = true;
        return this;
    }

    override _write(_chunk: unknown, _encoding: string, callback: () => void): void {
        this.finishWrite = callback;
    }

    readOne(): void {
        const finishWrite = this.finishWrite;
        this.finishWrite = undefined;
        finishWrite?.();
    }
}

describe("the response to a slow reader is buffered up to a limit", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let slowResponse: SlowResponse;
    let response: CallerResponse;

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout"] });
        slowResponse = new SlowResponse();
        response = new CallerResponse(slowResponse as unknown as ServerResponse, "r1", limits);
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("writing pauses while more than the buffer is unread, and resumes after it was read", async () => {
        await response.writeChunk(CHUNK);
        let hasWritten = false;
        const second = response.writeChunk(CHUNK).then(() => {
            hasWritten = true;
        });
        await new Promise(setImmediate);
        expect(hasWritten).to.equal(false);
        slowResponse.readOne();
        slowResponse.readOne();
        await second;
        expect(hasWritten).to.equal(true);
    });

    it("a caller that does not read within the stall time-out is disconnected", async () => {
        await response.writeChunk(CHUNK);
        const second = response.writeChunk(CHUNK).catch((error: unknown) => error);
        await clock.tickAsync(limits.stallTimeoutMs + 1);
        expect(await second).to.be.instanceOf(Error).with.property("message", "the caller went away");
        expect(response.disconnect.signal.aborted).to.equal(true);
    });
});
