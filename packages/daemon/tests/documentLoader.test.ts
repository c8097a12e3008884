import { type DocumentResult, packDocument } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { PeerClient } from "../src/connection/peerClient.js";
import { DocumentLoader } from "../src/process/entry/documentLoader.js";

const createResult = (version: number): DocumentResult => ({
    kind: "document",
    version,
    packed: packDocument({ version }),
});

/** A loader that always draws the first of the voters it may go on at. */
function createLoader(
    ask: PeerClient["call"],
    getHeldVersion: () => number | undefined,
    handleVersion: (version: number) => void,
): DocumentLoader {
    return new DocumentLoader({
        peers: { call: ask, send: () => undefined },
        log: { record: () => undefined },
        random: () => 0,
        getHeldVersion,
        handleDocument: (content) => {
            handleVersion((content as { version: number; }).version);
        },
    });
}

/** What the voters answer, one after another; the last answer is given again and again. */
type Script = readonly (DocumentResult | "unreachable" | "rubbish")[];

describe("an entry loads the newest document that it was told of", () => {
    const rows: readonly {
        readonly title: string;
        readonly script: Script;
        readonly wanted: readonly number[];
        readonly held: number | undefined;
        readonly asked: readonly string[];
    }[] = [
        { title: "from the leader", script: [createResult(4)], wanted: [4], held: 4, asked: ["a"] },
        { title: "nothing where there is none", script: [createResult(4)], wanted: [], held: undefined, asked: [] },
        {
            title: "from another, where the leader has not got it yet",
            script: [{ kind: "not-held" }, createResult(4)],
            wanted: [4],
            held: 4,
            asked: ["a", "b"],
        },
        {
            title: "from another, where the leader is busy",
            script: [{ kind: "busy", retry_ms: 30 }, createResult(4)],
            wanted: [4],
            held: 4,
            asked: ["a", "b"],
        },
        {
            title: "past voters that are away or answer nonsense",
            script: ["unreachable", "rubbish", createResult(4)],
            wanted: [4],
            held: 4,
            asked: ["a", "b", "a"],
        },
        {
            title: "a newer one than wanted ends it",
            script: [createResult(9)],
            wanted: [4, 5, 9],
            held: 9,
            asked: ["a"],
        },
        {
            title: "once more from the voter that served it, where a newer one was told meanwhile",
            script: [createResult(4), createResult(5)],
            wanted: [4, 5],
            held: 5,
            asked: ["a", "a"],
        },
        {
            title: "an older one that is told late changes nothing",
            script: [createResult(5)],
            wanted: [5, 4],
            held: 5,
            asked: ["a"],
        },
    ];
    for (const { title, script, wanted, held, asked } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
            const found: string[] = [];
            let version: number | undefined;
            const loader = createLoader(
                (address) => {
                    const answer = script[Math.min(found.length, script.length - 1)];
                    found.push(address);
                    return answer === "unreachable"
                        ? Promise.reject(new Error("not reached"))
                        : Promise.resolve(answer);
                },
                () => version,
                (next) => {
                    version = next;
                },
            );
            wanted.forEach((one) => {
                loader.want(one, "a", ["a", "b", "c"]);
            });
            await clock.tickAsync(2_000);
            loader.stop();
            clock.uninstall();
            expect({ held: version, asked: found, isNewest: loader.hasWanted() }).to.deep.equal({
                held,
                asked,
                isNewest: true,
            });
        });
    }

    it("at once, where the leader is the only voter that is there", async () => {
        const clock = FakeTimers.install();
        let version: number | undefined;
        const loader = createLoader(
            (address, _method, _parameters, silenceMs) =>
                address === "leader"
                    ? Promise.resolve(createResult(4))
                    : new Promise((_resolve, reject) => setTimeout(reject, silenceMs, new Error("silent"))),
            () => version,
            (next) => {
                version = next;
            },
        );
        loader.want(4, "leader", ["away", "cut-off", "leader"]);
        await clock.tickAsync(10);
        loader.stop();
        clock.uninstall();
        expect(version).to.equal(4);
    });
});
