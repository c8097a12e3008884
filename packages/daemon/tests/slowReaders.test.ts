import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { computeBudgetBytes, UnreadBudget } from "../src/process/entry/unreadBudget.js";
import {
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    ScriptedUpstream,
    TestEntry,
} from "./routedHarness.js";

const BUDGET_BYTES = 100_000;
/** Most that undici passes on of one read after a pause. */
const READ_BYTES = 65_536;
const CUT_MS = 1_200;
/** Time after which a caller has read all that was sent before its pause ended. */
const RESET_MS = 2_000;
/** More events than are sent before the reset. */
const MAX_EVENTS = 1_000_000;
const EVENT_TEXT = "x".repeat(4_000);

/** Sends as long as the entry reads, and cuts the stream once it has not read for a while. */
function streamUntilCut(socket: Socket, requestId: string): void {
    socket.write(formatStreamHead(requestId));
    let id = 0;
    const send = (): void => {
        let isWritable = true;
        while (isWritable && !socket.destroyed) {
            id += 1;
            isWritable = socket.write(formatChunk(`id: ${String(id)}\ndata: ${EVENT_TEXT}\n\n`));
        }
        const timer = setTimeout(() => socket.resetAndDestroy(), CUT_MS);
        socket.once("drain", () => {
            clearTimeout(timer);
            setImmediate(send);
        });
    };
    send();
}

/** Sends until the entry has not read for a while, goes on steadily once it reads again, and resets the stream later. */
function streamUntilReset(socket: Socket, requestId: string): void {
    socket.write(formatStreamHead(requestId));
    let id = 0;
    const send = (): void => {
        do {
            id += 1;
        }
        while (socket.write(formatChunk(`id: ${String(id)}\ndata: ${EVENT_TEXT}\n\n`)));
        const fullMs = performance.now();
        socket.once("drain", () => {
            if (performance.now() - fullMs < CUT_MS / 2) {
                setImmediate(send);
                return;
            }
            sendSteadily(socket, id);
            setTimeout(() => socket.resetAndDestroy(), RESET_MS);
        });
    };
    send();
}

/** Sends a small event every 5 ms. */
function streamSteadily(socket: Socket, requestId: string, lastId: number = 0): void {
    socket.write(formatStreamHead(requestId));
    sendSteadily(socket, lastId);
}

function sendSteadily(socket: Socket, lastId: number): void {
    let id = lastId;
    const timer = setInterval(() => {
        id += 1;
        socket.write(formatChunk(formatEvent(id)));
    }, 5);
    socket.once("close", () => {
        clearInterval(timer);
    });
}

class Scene {
    pauses = 0;
    /** Upstreams on which the request counted as crashed. */
    readonly crashes: string[] = [];
    readonly lines: object[] = [];
    maxUnreadBytes = 0;
    private readonly sockets: Socket[] = [];
    private readonly timer: NodeJS.Timeout;

    private constructor(
        readonly upstreams: readonly ScriptedUpstream[],
        readonly budget: UnreadBudget,
        readonly entry: TestEntry,
    ) {
        this.timer = setInterval(() => {
            this.maxUnreadBytes = Math.max(this.maxUnreadBytes, budget.unreadBytes);
        }, 2);
    }

    static async open(): Promise<Scene> {
        let hasBegun = false;
        const answer = (socket: Socket, id: string): void => {
            switch (id) {
                case "slow":
                    streamUntilCut(socket, id);
                    return;
                case "reset":
                    if (hasBegun) {
                        streamSteadily(socket, id, MAX_EVENTS);
                    }
                    else {
                        hasBegun = true;
                        streamUntilReset(socket, id);
                    }
                    return;
                case "steady":
                    streamSteadily(socket, id);
                    return;
                default:
                    socket.write(formatResponse(400, id, "x".repeat(id === "large" ? 8_000_000 : 1)));
            }
        };
        const upstreams = [await ScriptedUpstream.open("u0", answer), await ScriptedUpstream.open("u1", answer)];
        const budget = new UnreadBudget({
            budgetBytes: BUDGET_BYTES,
            getNowMs: () => performance.now(),
            log: { record: (level, event, fields) => scene.lines.push({ level, event, ...fields }) },
            countPause: () => scene.pauses += 1,
        });
        const entry = await TestEntry.open({
            upstreams,
            route: { kind: "stream", timeout_ms: 20_000 },
            // A path whose engine reports a stall as soon as a stream is paused.
            isPath: true,
            queryStall: () =>
                Promise.resolve(
                    scene.pauses === 0 ? { kind: "moving" } : { kind: "stalled", faultAddress: undefined },
                ),
            validKeyChecks: 1_000,
            unread: budget,
            crashes: { recordCrash: (_run, id) => scene.crashes.push(id) },
        });
        const scene: Scene = new Scene(upstreams, budget, entry);
        return scene;
    }

    /** Sends a request over a connection of its own. */
    call(id: string, organisation: string): Socket {
        const socket = connect(Number(new URL(this.entry.url).port), "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(`GET / HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\nx-organisation: ${organisation}\r\n\r\n`);
        this.sockets.push(socket);
        return socket;
    }

    /** Sends a request and returns the start of its answer. */
    async ask(id: string, organisation: string): Promise<string> {
        const socket = this.call(id, organisation);
        return await new Promise((resolve) =>
            socket.once("data", (chunk) => {
                resolve(chunk.toString());
            })
        );
    }

    /** Stops reading right away, and waits until the entry has paused the upstream. */
    async stall(id: string, organisation: string): Promise<Socket> {
        const socket = this.call(id, organisation);
        socket.pause();
        await until(() => this.budget.unreadBytes > BUDGET_BYTES);
        return socket;
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        this.sockets.forEach((socket) => socket.destroy());
        await this.entry.close();
        this.upstreams.forEach((one) => {
            one.close();
        });
    }
}

async function until(isTrue: () => boolean): Promise<void> {
    for (let at = 0; at < 500 && !isTrue(); at += 1) {
        await delay(10);
    }
    expect(isTrue(), String(isTrue)).to.equal(true);
}

const REFUSAL = /^HTTP\/1.1 503 [^]*retry-after: 2\r\n[^]*slow-readers/i;
const SERVED = /^HTTP\/1.1 400 /;

describe("callers that do not read", () => {
    let scene: Scene;
    beforeEach(async () => {
        scene = await Scene.open();
    });
    afterEach(async () => {
        await scene.close();
    });

    // Guards against memory that grows with the callers that stop reading, and against others paying for them.
    it("only their upstreams pause, only their organisation is refused, until they read again", async () => {
        const steady = scene.call("steady", "b");
        let events = 0;
        steady.on("data", () => events += 1);
        const slow = await scene.stall("slow", "a");
        const before = events;
        await delay(500);
        expect(events - before).to.be.greaterThan(25);
        expect(scene.pauses).to.equal(1);
        expect(scene.upstreams[1]?.requests).to.deep.equal([]);
        expect(scene.maxUnreadBytes).to.be.below(BUDGET_BYTES + READ_BYTES);
        expect(await scene.ask("new", "a")).to.match(REFUSAL);
        expect(await scene.ask("new", "b")).to.match(SERVED);
        expect(scene.lines).to.have.length(1);
        expect(scene.lines[0]).to.include({ event: "readers-paused", readers: 1, organisation: "a" });
        let readBytes = 0;
        slow.on("data", (chunk) => readBytes += chunk.length);
        slow.resume();
        await until(() => readBytes > 30_000_000);
        slow.destroy();
        await until(() => scene.budget.unreadBytes < BUDGET_BYTES);
        expect(await scene.ask("new", "a")).to.match(SERVED);
    });

    // Guards against a pause that is taken for a stall, a retry that stays unread again, and against an upstream that counts as failed or crashed.
    it("an answer that the upstream cut ends without a retry", async () => {
        const slow = await scene.stall("slow", "a");
        await delay(CUT_MS + 300);
        slow.resume();
        await until(() => scene.entry.ends.length === 1);
        expect(scene.entry.ends[0]?.outcome).to.equal("caller-left");
        expect(scene.upstreams[1]?.requests).to.deep.equal([]);
        expect([scene.crashes, scene.entry.suspects, scene.budget.unreadBytes]).to.deep.equal([[], [], 0]);
    });

    // Guards against a stream that ends although another upstream could go on, because its caller paused once.
    it("an answer that is cut after its caller has caught up goes on at another upstream", async () => {
        const paused = await scene.stall("reset", "a");
        await delay(CUT_MS);
        paused.resume();
        await until(() => scene.upstreams.every(({ requests }) => requests.length === 1));
        expect(scene.entry.ends).to.deep.equal([]);
    });

    // Guards against bytes that stay counted, so that the organisation would be refused for ever.
    it("one that leaves while paused frees its bytes", async () => {
        const slow = await scene.stall("slow", "a");
        slow.destroy();
        await until(() => scene.budget.unreadBytes === 0);
        expect(await scene.ask("new", "a")).to.match(SERVED);
        expect(scene.entry.ends[0]?.outcome).to.equal("caller-left");
    });

    // Guards against complete answers that are left out of the sum.
    it("a complete answer counts", async () => {
        await scene.stall("large", "a");
        expect(await scene.ask("new", "a")).to.match(REFUSAL);
        expect(await scene.ask("new", "b")).to.match(SERVED);
    });
});

describe("the budget is a tenth of the memory", () => {
    const rows = [{ memoryMb: 250, bytes: 25_000_000 }, { memoryMb: undefined, bytes: 16_000_000 }];
    for (const { memoryMb, bytes } of rows) {
        it(`${String(memoryMb)} MB`, () => {
            expect(computeBudgetBytes(memoryMb)).to.equal(bytes);
        });
    }
});
