import { type DocumentResult, packDocument } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { PeerClient } from "../src/connection/peerClient.js";
import { DocumentLoader } from "../src/process/entry/documentLoader.js";
import type { InstalledClock } from "./installedClock.js";

const createResult = (version: number): DocumentResult => ({
    kind: "document",
    version,
    packed: packDocument({ version }),
});

/** Creates a loader that always continues at the first of the other voters. */
function createLoader(
    ask: PeerClient["call"],
    getAppliedVersion: () => number | undefined,
    handleVersion: (version: number) => void,
): DocumentLoader {
    return new DocumentLoader({
        peers: { call: ask, send: () => undefined },
        log: { record: () => undefined },
        random: () => 0,
        getAppliedVersion,
        handleDocument: (content) => {
            handleVersion((content as { version: number; }).version);
        },
    });
}

/** Answers of the voters in sequence; the last one is repeated. */
type Script = readonly (DocumentResult | "unreachable" | "rubbish")[];

describe("an entry loads the newest known document", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const rows: readonly {
        readonly title: string;
        readonly script: Script;
        readonly targets: readonly number[];
        readonly loaded: number | undefined;
        readonly queried: readonly string[];
    }[] = [
        { title: "from the leader", script: [createResult(4)], targets: [4], loaded: 4, queried: ["a"] },
        {
            title: "nothing without a target version",
            script: [createResult(4)],
            targets: [],
            loaded: undefined,
            queried: [],
        },
        {
            title: "from another voter if the leader does not have it yet",
            script: [{ kind: "not-held" }, createResult(4)],
            targets: [4],
            loaded: 4,
            queried: ["a", "b"],
        },
        {
            title: "from another voter if the leader is busy",
            script: [{ kind: "busy", retry_ms: 30 }, createResult(4)],
            targets: [4],
            loaded: 4,
            queried: ["a", "b"],
        },
        {
            title: "despite a busy voter that asks for a delay without end",
            script: [{ kind: "busy", retry_ms: 1e300 }, createResult(4)],
            targets: [4],
            loaded: 4,
            queried: ["a", "b"],
        },
        {
            title: "despite voters that are unreachable or send invalid answers",
            script: ["unreachable", "rubbish", createResult(4)],
            targets: [4],
            loaded: 4,
            queried: ["a", "b", "a"],
        },
        {
            title: "once, if a newer version than the target arrives",
            script: [createResult(9)],
            targets: [4, 5, 9],
            loaded: 9,
            queried: ["a"],
        },
        {
            title: "again from the same voter if a newer version was announced during the transfer",
            script: [createResult(4), createResult(5)],
            targets: [4, 5],
            loaded: 5,
            queried: ["a", "a"],
        },
        {
            title: "without regard to an older version announced late",
            script: [createResult(5)],
            targets: [5, 4],
            loaded: 5,
            queried: ["a"],
        },
    ];
    for (const { title, script, targets, loaded, queried } of rows) {
        it(title, async () => {
            const requests: string[] = [];
            let version: number | undefined;
            const loader = createLoader(
                (address) => {
                    const answer = script[Math.min(requests.length, script.length - 1)];
                    requests.push(address);
                    return answer === "unreachable"
                        ? Promise.reject(new Error("not reached"))
                        : Promise.resolve(answer);
                },
                () => version,
                (next) => {
                    version = next;
                },
            );
            targets.forEach((target) => {
                loader.setTarget(target, "a", ["a", "b", "c"]);
            });
            await clock.tickAsync(2_000);
            loader.stop();
            expect({ loaded: version, queried: requests, isNewest: loader.isUpToDate() }).to.deep.equal({
                loaded,
                queried,
                isNewest: true,
            });
        });
    }

    it("at once if the leader is the only reachable voter", async () => {
        let version: number | undefined;
        const loader = createLoader(
            (address, _method, _parameters, timeoutMs) =>
                address === "leader"
                    ? Promise.resolve(createResult(4))
                    : new Promise((_resolve, reject) => setTimeout(reject, timeoutMs, new Error("silent"))),
            () => version,
            (next) => {
                version = next;
            },
        );
        loader.setTarget(4, "leader", ["away", "cut-off", "leader"]);
        await clock.tickAsync(10);
        loader.stop();
        expect(version).to.equal(4);
    });
});
