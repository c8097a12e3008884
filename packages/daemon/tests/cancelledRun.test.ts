/**
 * Guards against an engine that keeps the run of a caller that has disconnected. A step may still be in flight on
 * another connection when the cancellation arrives, and would restart the run; a cancellation that is rejected or times
 * out must be retried.
 */
import { type Step } from "@crankfork/schemas";
import { expect } from "chai";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Dispatcher } from "undici";
import { createEngineClient, type EngineClient } from "../src/connection/engineClient.js";
import { createAgent } from "../src/connection/httpClient.js";
import { waitMs } from "../src/process/waitMs.js";

const RUN = "run-1";
const step: Step = {
    run: RUN,
    epoch: 0,
    position: 0,
    model: "m",
    version: "1",
    first_layer: 0,
    end_layer: 4,
    priority: "interactive",
    inputs: [1],
};

/** A stub engine that holds a run from its first step until its cancellation. */
class RunEngine {
    readonly runs = new Set<string>();
    cancels = 0;
    /** Delay until a call with steps arrives, in milliseconds. */
    stepDelayMs = 0;
    /** Number of cancellations to reject. */
    rejections = 0;
    /** Whether steps are answered. */
    answers = true;
    private readonly server: Server;
    private readonly open: ServerResponse[] = [];

    constructor(done: () => void) {
        this.server = createServer((message, response) => {
            message.resume();
            message.once("end", () => void this.handle(message.url ?? "", response));
        }).listen(0, "127.0.0.1", done);
    }

    get address(): string {
        return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(url: string, response: ServerResponse): Promise<void> {
        if (url.endsWith("/cancel")) {
            this.cancels += 1;
            this.rejections -= 1;
            if (this.rejections < 0) {
                this.runs.delete(RUN);
            }
            response.writeHead(this.rejections < 0 ? 200 : 503).end("{}");
            return;
        }
        await waitMs(this.stepDelayMs);
        this.runs.add(RUN);
        if (this.answers) {
            const { run, epoch, position, first_layer, end_layer } = step;
            const echo = { run, epoch, position, first_layer, end_layer };
            response.writeHead(200).end(
                `${JSON.stringify({ ...echo, result: { kind: "activations", outputs: [1] } })}\n`,
            );
        }
        else {
            this.open.push(response);
        }
    }
}

describe("an engine does not keep a run whose caller has disconnected", () => {
    let engine: RunEngine;
    let agent: Dispatcher;
    let client: EngineClient;

    beforeEach((done) => {
        agent = createAgent();
        engine = new RunEngine(() => {
            client = createEngineClient({
                agent,
                name: "engine-2",
                address: engine.address,
                timeoutMs: 300,
                statusTimeoutMs: 300,
                handleStrayAnswer: () => undefined,
                handleCancelFailure: () => undefined,
                handleLimitNotice: () => undefined,
            });
            done();
        });
    });

    afterEach(async () => {
        engine.close();
        await agent.destroy();
    });

    const rows: readonly {
        readonly title: string;
        readonly prepare: (engine: RunEngine) => void;
    }[] = [
        { title: "the step was answered", prepare: () => undefined },
        {
            title: "the cancellation overtakes the step",
            prepare: (one) => {
                one.stepDelayMs = 100;
            },
        },
        {
            title: "the cancellation overtakes the step, which is never answered",
            prepare: (one) => {
                one.stepDelayMs = 100;
                one.answers = false;
            },
        },
        {
            title: "the cancellation is rejected once",
            prepare: (one) => {
                one.rejections = 1;
            },
        },
    ];
    for (const { title, prepare } of rows) {
        it(title, async () => {
            prepare(engine);
            const disconnect = new AbortController();
            const run = client.runStep(step, disconnect.signal).catch(() => undefined);
            await waitMs(30);
            disconnect.abort();
            await run;
            client.cancelRun(RUN);
            await waitMs(1_000);
            expect([...engine.runs]).to.deep.equal([]);
        });
    }

    it("a cancellation is not retried forever", async () => {
        engine.rejections = 100;
        client.cancelRun(RUN);
        await waitMs(1_500);
        const cancels = engine.cancels;
        await waitMs(500);
        expect(cancels).to.be.within(2, 5);
        expect(engine.cancels).to.equal(cancels);
    });
});
