import { expect } from "chai";
import { RequestQueue } from "../src/process/entry/requestQueue.js";
import { RequestContext } from "../src/request/requestContext.js";
import type { TargetChoice } from "../src/request/requestFunctions.js";
import { confirmedBasis } from "./configurationFakes.js";
import { installClock, type InstalledClock } from "./installedClock.js";

/** A request of the replay. */
interface Caller {
    readonly name: string;
    readonly rank?: number;
    readonly hasReturned?: boolean;
    readonly hasStarted?: boolean;
    readonly organisation?: string;
    readonly tokens?: number;
    readonly limitMs?: number | ((queue: RequestQueue) => number);
    readonly noneMs?: number;
    readonly attempts?: number;
    /** Position at random, which the choice of a ranked service sets. */
    readonly draw?: number;
    /** Was kept back by the only upstream with room: chosen, but not sent, which is no attempt. */
    readonly wasKeptBack?: boolean;
}

/** A path with places, for which requests wait. */
class Replay {
    readonly queue = new RequestQueue({
        getNowMs: () => performance.now(),
        recordWaiting: (_context, change) => this.waiting += change,
    });
    readonly log: string[] = [];
    readonly contexts = new Map<string, RequestContext>();
    /** Places that are free; requests larger than `largest` don't fit. */
    places = 0;
    largest = Number.POSITIVE_INFINITY;
    /** Requests with a smaller draw don't fit. */
    leastDraw = 0;
    hasPath = true;
    choices = 0;
    waiting = 0;

    constructor(private readonly isRanked: boolean) {}

    add(caller: Caller): void {
        const { name, organisation, tokens, limitMs = 75, noneMs = 1_800 } = caller;
        const context = createContext(caller);
        context.attempts = caller.attempts ?? 0;
        if (caller.wasKeptBack === true) {
            context.attemptedUpstreams.add("e");
        }
        this.contexts.set(name, context);
        const choose = (): TargetChoice => {
            this.choices += 1;
            context.draw = caller.draw ?? 0;
            if (!this.hasPath) {
                return { kind: "none" };
            }
            const hasRoom = this.places > 0 && (tokens ?? 0) <= this.largest && (caller.draw ?? 0) >= this.leastDraw
                && !context.attemptedUpstreams.has("e");
            return hasRoom ? target : { kind: "full" };
        };
        void this.queue.wait(context, choose, {
            rank: caller.rank ?? 0,
            isRanked: this.isRanked,
            hasReturned: caller.hasReturned === true,
            hasStarted: caller.hasStarted === true,
            getLimitMs: ({ kind }) => {
                if (kind === "none") {
                    return noneMs;
                }
                return typeof limitMs === "number" ? limitMs : limitMs(this.queue);
            },
        }).then(({ kind }) => {
            // As in a request that is sent, the place is taken some microtasks after the choice.
            if (kind === "target") {
                this.places -= 1;
            }
            this.log.push(kind === "target" ? name : `${name}:${kind}@${String(performance.now())}`);
            context.close();
        });
        expect(organisation).to.equal(context.admitted.organisation?.name);
    }

    /** A request ends and leaves its place. */
    release(places = 1): void {
        this.places += places;
        this.queue.wake();
    }
}

const target: TargetChoice = {
    kind: "target",
    target: {
        upstreamId: "e",
        upstreamName: "e",
        address: "h:1",
        stages: [],
        remainingMs: 1_000,
        organisation: undefined,
        priority: 0,
        lastEventId: undefined,
    },
};

function createContext({ name, organisation, tokens }: Caller): RequestContext {
    return new RequestContext({
        call: {
            requestId: name,
            method: "POST",
            host: "h",
            target: "/",
            path: "/",
            key: undefined,
            deadlineMs: undefined,
            size: tokens === undefined ? undefined : { promptTokens: tokens, answerTokens: 0 },
            lastEventId: undefined,
            rawHeaders: [],
        },
        route: {
            name: "r",
            host: "h",
            prefix: "/",
            kind: "stream",
            is_repeatable: true,
            timeout_ms: 20_000,
            objective_ms: 500,
            pause_objective_ms: 250,
            priority: 0,
            most_attempts: 2,
            is_anonymous: true,
            targets: [{ service: "s", weight: 1 }],
        },
        service: { name: "s" },
        organisation: organisation === undefined ? undefined : { name: organisation, keys: ["k"] },
        body: undefined,
        basis: confirmedBasis,
        arrivedMs: performance.now(),
    }, () => performance.now());
}

/** Lets the queue go on after each place that it gave away, which takes a turn of the event loop. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
    }
}

describe("waiting requests are served in order, not by whoever asks when there is room", () => {
    let clock: InstalledClock;
    beforeEach(() => {
        clock = installClock();
    });
    afterEach(() => {
        clock.uninstall();
    });

    const orders: readonly {
        readonly title: string;
        readonly isRanked: boolean;
        readonly callers: readonly Caller[];
        readonly order: string;
    }[] = [
        {
            title: "a service that is not ranked serves by arrival, whatever the organisation",
            isRanked: false,
            callers: [
                { name: "a", organisation: "x" },
                { name: "b", organisation: "x" },
                { name: "c", organisation: "y" },
            ],
            order: "a b c",
        },
        {
            title: "more urgent ranks go first",
            isRanked: true,
            callers: [{ name: "c", rank: 2 }, { name: "b", rank: 1 }, { name: "a", rank: 0 }],
            order: "a b c",
        },
        {
            title: "a caller that came back as told goes before new ones of its class, not before more urgent ones",
            isRanked: true,
            callers: [
                { name: "b", rank: 1 },
                { name: "returned", rank: 1, hasReturned: true },
                { name: "a", rank: 0 },
            ],
            order: "a returned b",
        },
        {
            title: "a request that was declined goes before those that were not sent yet",
            isRanked: false,
            callers: [{ name: "a" }, { name: "declined", attempts: 1 }],
            order: "declined a",
        },
        {
            title: "organisations of a rank take turns by tokens",
            isRanked: true,
            callers: [
                { name: "a1", organisation: "a", tokens: 100 },
                { name: "a2", organisation: "a", tokens: 100 },
                { name: "a3", organisation: "a", tokens: 100 },
                { name: "b1", organisation: "b", tokens: 100 },
                { name: "b2", organisation: "b", tokens: 100 },
            ],
            order: "a1 b1 a2 b2 a3",
        },
        {
            title: "ranks beyond the tenth share the last class",
            isRanked: true,
            callers: [{ name: "a", rank: 40 }, { name: "b", rank: 9 }],
            order: "a b",
        },
    ];
    for (const { title, isRanked, callers, order } of orders) {
        it(title, async () => {
            const replay = new Replay(isRanked);
            callers.forEach((caller) => {
                replay.add(caller);
            });
            await settle();
            expect(replay.log).to.deep.equal([]);
            replay.release(callers.length);
            await settle();
            expect(replay.log.join(" ")).to.equal(order);
            expect([replay.waiting, replay.queue.length, clock.countTimers()]).to.deep.equal([0, 0, 0]);
        });
    }

    it("a new request does not overtake those that wait, though it is there when a place comes free", async () => {
        const replay = new Replay(false);
        replay.add({ name: "first" });
        await settle();
        replay.places = 1;
        replay.add({ name: "newcomer" });
        await settle();
        expect(replay.log).to.deep.equal(["first"]);
    });

    it("is not held up by a request that fits nowhere: a smaller one of another organisation goes", async () => {
        const replay = new Replay(true);
        replay.add({ name: "large", organisation: "a", tokens: 2_000 });
        await settle();
        replay.largest = 1_000;
        replay.places = 1;
        replay.add({ name: "small", organisation: "b", tokens: 500 });
        await settle();
        expect(replay.log).to.deep.equal(["small"]);
    });

    for (const isRanked of [true, false]) {
        it(`nor by one of its own organisation and route: a smaller one goes${isRanked ? "" : ", also unranked"}`, async () => {
            const replay = new Replay(isRanked);
            ["large", "as large"].forEach((name) => {
                replay.add({ name, organisation: "a", tokens: 2_000 });
            });
            replay.add({ name: "small", organisation: "a", tokens: 500 });
            await settle();
            replay.largest = 1_000;
            replay.choices = 0;
            replay.release();
            await settle();
            expect(replay.log).to.deep.equal(["small"]);
            expect(replay.choices, "one for each size, and one for those that are left").to.equal(3);
        });
    }

    // A quarter of the requests of a rank that gets too little, by their draw, may take places that are kept from the rest.
    it("nor by one whose draw leaves it less room", async () => {
        const replay = new Replay(true);
        [0.2, 0.9, 0.1].forEach((draw) => {
            replay.add({ name: String(draw), draw });
        });
        await settle();
        replay.leastDraw = 0.75;
        replay.choices = 0;
        replay.release();
        await settle();
        expect(replay.log).to.deep.equal(["0.9"]);
        expect(replay.choices, "0.2 and 0.9, then 0.2 for those that are left").to.equal(3);
    });

    it("is not held up by a request that was kept back by the upstream that has room now", async () => {
        const replay = new Replay(false);
        replay.add({ name: "kept back", wasKeptBack: true });
        replay.add({ name: "waiting" });
        await settle();
        replay.release();
        await settle();
        expect(replay.log).to.deep.equal(["waiting"]);
        replay.places = 1;
        replay.add({ name: "new" });
        await settle();
        expect(replay.log).to.deep.equal(["waiting", "new"]);
    });

    it("gives one place to one request, however many wake-ups come before it is taken", async () => {
        const replay = new Replay(false);
        ["a", "b", "c"].forEach((name) => {
            replay.add({ name });
        });
        replay.release();
        replay.queue.wake();
        replay.queue.wake();
        await settle();
        expect(replay.log).to.deep.equal(["a"]);
        expect(replay.places).to.equal(0);
    });

    it("sends a request at once where nobody waits, with no timer but its deadline's", async () => {
        const replay = new Replay(true);
        replay.places = 1;
        replay.add({ name: "a" });
        expect(clock.countTimers()).to.equal(1);
        await Promise.resolve();
        await Promise.resolve();
        expect(replay.log).to.deep.equal(["a"]);
    });

    it("asks once for all that are alike, by one timer", async () => {
        const replay = new Replay(false);
        Array.from({ length: 50 }, (_, index) => {
            replay.add({ name: String(index), limitMs: 1_000 });
        });
        await settle();
        expect(clock.countTimers()).to.equal(51);
        replay.choices = 0;
        await clock.tickAsync(400);
        expect(replay.choices).to.equal(10);
    });

    it("drops callers that leave, so that their turn goes to the next", async () => {
        const replay = new Replay(true);
        ["a", "b", "c"].forEach((name) => {
            replay.add({ name });
        });
        replay.contexts.get("a")?.stop("caller-left");
        replay.contexts.get("b")?.stop("caller-left");
        await settle();
        expect(replay.waiting).to.equal(1);
        replay.release();
        await settle();
        expect(replay.log).to.deep.equal(["a:full@0", "b:full@0", "c"]);
    });

    it("keeps those that wait while paths are lost, by the limit of that reason, and ends every wait", async () => {
        const replay = new Replay(false);
        replay.add({ name: "a" });
        replay.add({ name: "b" });
        await clock.tickAsync(40);
        replay.hasPath = false;
        await clock.tickAsync(400);
        expect(replay.log).to.deep.equal([]);
        replay.hasPath = true;
        replay.places = 1;
        await clock.tickAsync(80);
        await settle();
        expect(replay.log).to.deep.equal(["a", "b:full@480"]);
        replay.hasPath = false;
        replay.add({ name: "c" });
        await clock.tickAsync(2_000);
        expect(replay.log.at(-1)).to.equal("c:none@2320");
        expect([replay.queue.length, clock.countTimers()]).to.deep.equal([0, 0]);
    });

    it("a stream that has started waits behind nobody, and is not counted", async () => {
        const replay = new Replay(true);
        replay.add({ name: "a" });
        await settle();
        replay.places = 1;
        replay.add({ name: "stream", hasStarted: true });
        await settle();
        expect(replay.log).to.deep.equal(["stream"]);
        expect(replay.waiting).to.equal(1);
    });

    it("the least urgent gives way as soon as a more urgent one begins to wait", async () => {
        const replay = new Replay(true);
        const limitMs = (queue: RequestQueue): number => queue.hasMoreUrgent(2) ? 75 : 1_250;
        replay.add({ name: "low", rank: 2, limitMs });
        await clock.tickAsync(600);
        expect(replay.log).to.deep.equal([]);
        replay.add({ name: "fresh low", rank: 2, limitMs });
        replay.add({ name: "urgent", rank: 0 });
        await settle();
        expect(replay.log).to.deep.equal(["low:full@600"]);
    });

    it("refuses at once what can't have its turn in time, by the rate at which the queue drained", async () => {
        const replay = new Replay(true);
        const caller = { organisation: "a", tokens: 100, limitMs: 150 };
        replay.add({ ...caller, name: "a" });
        replay.add({ ...caller, name: "b" });
        await clock.tickAsync(100);
        replay.release();
        await settle();
        replay.add({ ...caller, name: "c" });
        replay.add({ ...caller, name: "d" });
        await settle();
        expect(replay.log).to.deep.equal(["a", "d:full@100"]);
        replay.add({ ...caller, name: "other", organisation: "b" });
        await settle();
        expect(replay.log).to.deep.equal(["a", "d:full@100"]);
    });

    it("a choice that fails ends that request only", async () => {
        const replay = new Replay(false);
        const context = createContext({ name: "bad" });
        let asked = 0;
        const bad = replay.queue.wait(context, () => {
            asked += 1;
            if (asked > 1) {
                throw new Error("no such path");
            }
            return { kind: "full" };
        }, { rank: 0, isRanked: false, hasReturned: false, hasStarted: false, getLimitMs: () => 1_000 });
        replay.add({ name: "good" });
        replay.release();
        const error: unknown = await bad.catch((reason: unknown) => reason);
        await settle();
        expect(error).to.have.property("message", "no such path");
        expect(replay.log).to.deep.equal(["good"]);
        context.close();
    });
});
