/**
 * A caller left in mid-stream, and engine-2 kept its run: "waited in vain for engine-2 to have no run". Whoever gives a run up tells
 * each engine once, while a step of it may still be on its way there over another connection: the step came after the notice, which
 * was answered, and began the run anew. A notice that was turned away, or not answered in time, was lost without a line.
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

/** An engine that has a run from its first step on until it is told that the run is over. */
class RunEngine {
    readonly runs = new Set<string>();
    cancels = 0;
    /** For so long a call with steps is on its way. */
    stepsTakeMs = 0;
    /** So many notices of an end are turned away. */
    refusals = 0;
    /** Whether steps are ever answered. */
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
            this.refusals -= 1;
            if (this.refusals < 0) {
                this.runs.delete(RUN);
            }
            response.writeHead(this.refusals < 0 ? 200 : 503).end("{}");
            return;
        }
        await waitMs(this.stepsTakeMs);
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

describe("an engine does not keep a run whose caller has left", () => {
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
        { title: "its step was answered", prepare: () => undefined },
        {
            title: "its step is overtaken by the notice",
            prepare: (one) => {
                one.stepsTakeMs = 100;
            },
        },
        {
            title: "its step is overtaken and never answered",
            prepare: (one) => {
                one.stepsTakeMs = 100;
                one.answers = false;
            },
        },
        {
            title: "the notice is turned away once",
            prepare: (one) => {
                one.refusals = 1;
            },
        },
    ];
    for (const { title, prepare } of rows) {
        it(title, async () => {
            prepare(engine);
            const left = new AbortController();
            const run = client.runStep(step, left.signal).catch(() => undefined);
            await waitMs(30);
            left.abort();
            await run;
            client.cancelRun(RUN);
            await waitMs(1_000);
            expect([...engine.runs]).to.deep.equal([]);
        });
    }

    it("one that is gone is not told for ever", async () => {
        engine.refusals = 100;
        client.cancelRun(RUN);
        await waitMs(1_500);
        const told = engine.cancels;
        await waitMs(500);
        expect(told).to.be.within(2, 5);
        expect(engine.cancels).to.equal(told);
    });
});
