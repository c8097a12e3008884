import { type CrashRecord, isRequestQuarantined, type ReportedCrash } from "@crankfork/schemas";
import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CrashRegister, FleetState } from "../src/index.js";

const origin = { organisation: "one", host: "h", target: "/t" };
const HOUR_MS = 3_600_000;

function createCrash(fingerprint: string, upstream: string, had_progress: boolean = false): ReportedCrash {
    return { fingerprint, upstream, had_progress, origin };
}

function listQuarantined(register: CrashRegister): readonly string[] {
    return register.list().filter(isRequestQuarantined).map((record) => record.fingerprint);
}

describe("voters count the upstream crashes of each request", () => {
    const silent = ["a", "b", "c"];
    const rows: readonly {
        readonly title: string;
        readonly apply: (register: CrashRegister) => void;
        readonly quarantined: readonly string[];
    }[] = [
        {
            title: "two crashes",
            apply: (register) => register.add(["a", "b"].map((incarnation) => createCrash("f", incarnation)), 0, 1),
            quarantined: [],
        },
        {
            title: "three crashes, reported by three entries",
            apply: (register) => {
                silent.forEach((incarnation, at) => register.add([createCrash("f", incarnation)], at, at + 1));
            },
            quarantined: ["f"],
        },
        {
            title: "one crash, reported by three entries",
            apply: (register) => {
                silent.forEach((_incarnation, at) => register.add([createCrash("f", "a")], at, at + 1));
            },
            quarantined: [],
        },
        {
            title: "three incarnations of one upstream",
            apply: (register) =>
                register.add(["u@1", "u@2", "u@3"].map((incarnation) => createCrash("f", incarnation)), 0, 1),
            quarantined: ["f"],
        },
        {
            title: "four crashes in the middle of an answer",
            apply: (register) =>
                register.add(["a", "b", "c", "d"].map((incarnation) => createCrash("f", incarnation, true)), 0, 1),
            quarantined: [],
        },
        {
            title: "five crashes, some of them in the middle of an answer",
            apply: (register) =>
                register.add(
                    ["a", "b", "c", "d", "e"].map((incarnation, at) => createCrash("f", incarnation, at > 1)),
                    0,
                    1,
                ),
            quarantined: ["f"],
        },
        {
            title: "three crashes, with the record removed after the second",
            apply: (register) => {
                register.add(["a", "b"].map((incarnation) => createCrash("f", incarnation)), 0, 1);
                register.forget(["f"], 2);
                register.add([createCrash("f", "c")], 0, 3);
            },
            quarantined: [],
        },
        {
            title: "three crashes, and another a day later: the first three have expired",
            apply: (register) => {
                register.add(silent.map((incarnation) => createCrash("f", incarnation)), 0, 1);
                register.add([createCrash("f", "d")], 25 * HOUR_MS, 2);
            },
            quarantined: [],
        },
        {
            title: "a thousand requests with three crashes, and two thousand with one: the latter are evicted first",
            apply: (register) => {
                const many = Array.from({ length: 1_000 }, (_unused, at) => `f${String(at)}`);
                many.forEach((fingerprint, at) =>
                    register.add(silent.map((incarnation) => createCrash(fingerprint, incarnation)), 0, at + 1)
                );
                const others = Array.from({ length: 2_000 }, (_unused, at) => createCrash(`o${String(at)}`, "z"));
                register.add(others, 0, 2_000);
            },
            quarantined: Array.from({ length: 1_000 }, (_unused, at) => `f${String(at)}`),
        },
    ];
    for (const { title, apply, quarantined } of rows) {
        it(title, () => {
            const register = new CrashRegister();
            apply(register);
            expect(listQuarantined(register)).to.deep.equal(quarantined);
            expect(register.list()).to.have.length.at.most(1_500);
            const copy = new CrashRegister();
            copy.restore(register.getState());
            expect(listQuarantined(copy)).to.deep.equal(quarantined);
        });
    }

    it("two trials are granted, each 30 s after the last crash or trial", () => {
        const register = new CrashRegister();
        register.add(silent.map((incarnation) => createCrash("f", incarnation)), 0, 1);
        const claims = [1_000, 30_000, 31_000, 60_000, 90_000, HOUR_MS].map((atMs, at) =>
            register.claimTrial("f", atMs, at + 2)
        );
        expect(claims).to.deep.equal([false, true, false, true, false, false]);
        expect(register.claimTrial("other", HOUR_MS, 9)).to.equal(false);
    });

    it("entries get the changes since their index: records from the second crash on, and removed fingerprints", () => {
        const state = new FleetState();
        const add = (incarnation: string, index: number): unknown =>
            state.apply({ kind: "record-crashes", crashes: [createCrash("f", incarnation)], at_ms: 0 }, index);
        const getChanges = (after: number): readonly [readonly CrashRecord[], readonly string[]] => {
            const { records, forgotten } = state.getChanges(after).crashes;
            return [records, forgotten];
        };
        add("a", 1);
        expect(getChanges(0)).to.deep.equal([[], []]);
        add("b", 2);
        expect(getChanges(1)[0].map((record) => record.silent)).to.deep.equal([["a", "b"]]);
        expect(add("b", 3)).to.deep.equal({ kind: "overtaken" });
        state.apply({ kind: "forget-crashes", fingerprints: ["f"] }, 4);
        expect(getChanges(2)).to.deep.equal([[], ["f"]]);
        const restored = new FleetState();
        restored.restore(JSON.parse(JSON.stringify(state.getState())));
        expect(restored.getChanges(2).crashes.forgotten).to.deep.equal(["f"]);
    });
});

/** Decides whether a request is quarantined: separates requests that crash upstreams from those that ran beside them. */
type QuarantineRule = (record: Pick<CrashRecord, "silent" | "midway">) => boolean;

const ENGINES = 7;
const STREAMS_PER_ENGINE = 30;
/** Probability that a stream makes progress before the next crash, 0.2 s later: 18 of 30 in the logs of an incident. */
const PROGRESS_PROBABILITY = 0.6;
const REPLAYS = 300;
const MAX_CRASHES = 12;

interface Stream {
    readonly name: string;
    readonly silent: string[];
    readonly midway: string[];
    engine: number;
    isQuarantined: boolean;
}

/**
 * Simulates the load: one request crashes an engine every 0.2 s and is retried. Other streams on the crashed engine
 * move to another engine each time, until they are quarantined or the crashing request is.
 */
function replay(
    shouldQuarantine: QuarantineRule,
    draw: () => number,
): { readonly crashes: number; readonly othersQuarantined: number; } {
    const streams = Array.from({ length: ENGINES * STREAMS_PER_ENGINE }, (_unused, at): Stream => ({
        name: String(at),
        silent: [],
        midway: [],
        engine: at % ENGINES,
        isQuarantined: false,
    }));
    const crashingRequest: Pick<CrashRecord, "silent" | "midway"> & { silent: string[]; } = { silent: [], midway: [] };
    for (let crash = 0; crash < MAX_CRASHES && !shouldQuarantine(crashingRequest); crash += 1) {
        const engine = Math.floor(draw() * ENGINES);
        const incarnation = `${String(engine)}@${String(crash)}`;
        crashingRequest.silent.push(incarnation);
        streams.filter((stream) => stream.engine === engine && !stream.isQuarantined).forEach((stream) => {
            const isFirst = stream.silent.length + stream.midway.length === 0;
            (isFirst || draw() < PROGRESS_PROBABILITY ? stream.midway : stream.silent).push(incarnation);
            stream.isQuarantined = shouldQuarantine(stream);
            stream.engine = (engine + 1 + Math.floor(draw() * (ENGINES - 1))) % ENGINES;
        });
    }
    return {
        crashes: crashingRequest.silent.length,
        othersQuarantined: streams.filter((stream) => stream.isQuarantined).length,
    };
}

describe("requests that ran beside a crashing request are rarely quarantined", () => {
    const rows: readonly {
        readonly title: string;
        readonly shouldQuarantine: QuarantineRule;
        readonly crashes: number;
        readonly maxOthersQuarantined: number;
    }[] = [
        {
            title: "crashes are not counted",
            shouldQuarantine: () => false,
            crashes: MAX_CRASHES,
            maxOthersQuarantined: 0,
        },
        {
            title: "three crashes of any kind",
            shouldQuarantine: ({ silent, midway }) => silent.length + midway.length >= 3,
            crashes: 3,
            maxOthersQuarantined: 3,
        },
        {
            title: "three crashes before any part of an answer, or five of any kind",
            shouldQuarantine: isRequestQuarantined,
            crashes: 3,
            maxOthersQuarantined: 0,
        },
    ];
    for (const { title, shouldQuarantine, crashes, maxOthersQuarantined } of rows) {
        it(title, () => {
            const generator = xoroshiro128plus(7);
            const draw = (): number => (generator.next() >>> 0) / 2 ** 32;
            const results = Array.from({ length: REPLAYS }, () => replay(shouldQuarantine, draw));
            const meanQuarantined = results.reduce((sum, result) => sum + result.othersQuarantined, 0) / REPLAYS;
            expect(results.every((result) => result.crashes === crashes)).to.equal(true);
            expect(meanQuarantined, `mean quarantined: ${String(meanQuarantined)}`).to.be.at.most(maxOthersQuarantined);
        });
    }
});
