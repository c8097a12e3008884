import { type CrashRecord, isRequestQuarantined, type ReportedCrash } from "@crankfork/schemas";
import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CrashRegister, FleetState } from "../src/index.js";

const origin = { organisation: "one", host: "h", target: "/t" };
const HOUR_MS = 3_600_000;

function createCrash(fingerprint: string, upstream: string, had_progress: boolean = false): ReportedCrash {
    return { fingerprint, upstream, had_progress, origin };
}

function listHeld(register: CrashRegister): readonly string[] {
    return register.list().filter(isRequestQuarantined).map((record) => record.fingerprint);
}

describe("voters add up under which requests upstreams ended", () => {
    const silent = ["a", "b", "c"];
    const rows: readonly {
        readonly title: string;
        readonly play: (register: CrashRegister) => void;
        readonly held: readonly string[];
    }[] = [
        {
            title: "two crashes",
            play: (register) => register.add(["a", "b"].map((life) => createCrash("f", life)), 0, 1),
            held: [],
        },
        {
            title: "three crashes, told by three entries",
            play: (register) => {
                silent.forEach((life, at) => register.add([createCrash("f", life)], at, at + 1));
            },
            held: ["f"],
        },
        {
            title: "one crash that three entries tell",
            play: (register) => {
                silent.forEach((_life, at) => register.add([createCrash("f", "a")], at, at + 1));
            },
            held: [],
        },
        {
            title: "three lives of one upstream",
            play: (register) => register.add(["u@1", "u@2", "u@3"].map((life) => createCrash("f", life)), 0, 1),
            held: ["f"],
        },
        {
            title: "four crashes in the middle of an answer",
            play: (register) => register.add(["a", "b", "c", "d"].map((life) => createCrash("f", life, true)), 0, 1),
            held: [],
        },
        {
            title: "five, of which some were in the middle of an answer",
            play: (register) =>
                register.add(["a", "b", "c", "d", "e"].map((life, at) => createCrash("f", life, at > 1)), 0, 1),
            held: ["f"],
        },
        {
            title: "three crashes, and an end after the second",
            play: (register) => {
                register.add(["a", "b"].map((life) => createCrash("f", life)), 0, 1);
                register.forget(["f"], 2);
                register.add([createCrash("f", "c")], 0, 3);
            },
            held: [],
        },
        {
            title: "three crashes, and another a day later: the first ones are forgotten",
            play: (register) => {
                register.add(silent.map((life) => createCrash("f", life)), 0, 1);
                register.add([createCrash("f", "d")], 25 * HOUR_MS, 2);
            },
            held: [],
        },
        {
            title: "a thousand requests of three crashes, and two thousand of one",
            play: (register) => {
                const many = Array.from({ length: 1_000 }, (_unused, at) => `f${String(at)}`);
                many.forEach((one, at) => register.add(silent.map((life) => createCrash(one, life)), 0, at + 1));
                const others = Array.from({ length: 2_000 }, (_unused, at) => createCrash(`o${String(at)}`, "z"));
                register.add(others, 0, 2_000);
            },
            held: Array.from({ length: 1_000 }, (_unused, at) => `f${String(at)}`),
        },
    ];
    for (const { title, play, held } of rows) {
        it(title, () => {
            const register = new CrashRegister();
            play(register);
            expect(listHeld(register)).to.deep.equal(held);
            expect(register.list()).to.have.length.at.most(1_500);
            const copy = new CrashRegister();
            copy.restore(register.getState());
            expect(listHeld(copy)).to.deep.equal(held);
        });
    }

    it("a trial is granted twice, each half a minute after the last crash or trial", () => {
        const register = new CrashRegister();
        register.add(silent.map((life) => createCrash("f", life)), 0, 1);
        const claims = [1_000, 30_000, 31_000, 60_000, 90_000, HOUR_MS].map((atMs, at) =>
            register.claimTrial("f", atMs, at + 2)
        );
        expect(claims).to.deep.equal([false, true, false, true, false, false]);
        expect(register.claimTrial("other", HOUR_MS, 9)).to.equal(false);
    });

    it("entries are told from the second crash on, and of what is forgotten, from where they are", () => {
        const state = new FleetState();
        const add = (life: string, index: number): unknown =>
            state.apply({ kind: "record-crashes", crashes: [createCrash("f", life)], at_ms: 0 }, index);
        const tell = (after: number): readonly [readonly CrashRecord[], readonly string[]] => {
            const { records, forgotten } = state.getChanges(after).crashes;
            return [records, forgotten];
        };
        add("a", 1);
        expect(tell(0)).to.deep.equal([[], []]);
        add("b", 2);
        expect(tell(1)[0].map((record) => record.silent)).to.deep.equal([["a", "b"]]);
        expect(add("b", 3)).to.deep.equal({ kind: "overtaken" });
        state.apply({ kind: "forget-crashes", fingerprints: ["f"] }, 4);
        expect(tell(2)).to.deep.equal([[], ["f"]]);
        const restored = new FleetState();
        restored.restore(JSON.parse(JSON.stringify(state.getState())));
        expect(restored.getChanges(2).crashes.forgotten).to.deep.equal(["f"]);
    });
});

/** A way to tell requests that end upstreams from those that were beside them. */
type Judge = (record: Pick<CrashRecord, "silent" | "midway">) => boolean;

const ENGINES = 7;
const STREAMS_AN_ENGINE = 30;
/** Streams of which a part had come before the next crash, 0.2 s later: 18 of 30 in the lines of a day that went so. */
const PROGRESS_SHARE = 0.6;
const DRAWS = 300;
const MOST_CRASHES = 12;

interface Stream {
    readonly name: string;
    readonly silent: string[];
    readonly midway: string[];
    engine: number;
    isOver: boolean;
}

/**
 * Replays the load: one request ends an engine each 0.2 s and comes again; streams beside it move to another engine, as often
 * as it takes, and end well once no engine ends under them.
 */
function replay(judge: Judge, draw: () => number): { readonly crashes: number; readonly othersHeld: number; } {
    const streams = Array.from({ length: ENGINES * STREAMS_AN_ENGINE }, (_unused, at): Stream => ({
        name: String(at),
        silent: [],
        midway: [],
        engine: at % ENGINES,
        isOver: false,
    }));
    const crashing: Pick<CrashRecord, "silent" | "midway"> & { silent: string[]; } = { silent: [], midway: [] };
    for (let crash = 0; crash < MOST_CRASHES && !judge(crashing); crash += 1) {
        const engine = Math.floor(draw() * ENGINES);
        const life = `${String(engine)}@${String(crash)}`;
        crashing.silent.push(life);
        streams.filter((one) => one.engine === engine && !one.isOver).forEach((one) => {
            const isFirst = one.silent.length + one.midway.length === 0;
            (isFirst || draw() < PROGRESS_SHARE ? one.midway : one.silent).push(life);
            one.isOver = judge(one);
            one.engine = (engine + 1 + Math.floor(draw() * (ENGINES - 1))) % ENGINES;
        });
    }
    return { crashes: crashing.silent.length, othersHeld: streams.filter((one) => one.isOver).length };
}

describe("of requests that were beside one that ends engines, hardly any is held", () => {
    const rows: readonly {
        readonly title: string;
        readonly judge: Judge;
        readonly crashes: number;
        readonly mostOthersHeld: number;
    }[] = [
        {
            title: "nobody counts",
            judge: () => false,
            crashes: MOST_CRASHES,
            mostOthersHeld: 0,
        },
        {
            title: "three crashes of any kind",
            judge: ({ silent, midway }) => silent.length + midway.length >= 3,
            crashes: 3,
            mostOthersHeld: 3,
        },
        {
            title: "three before any part of an answer, or five",
            judge: isRequestQuarantined,
            crashes: 3,
            mostOthersHeld: 0,
        },
    ];
    for (const { title, judge, crashes, mostOthersHeld } of rows) {
        it(title, () => {
            const generator = xoroshiro128plus(7);
            const draw = (): number => (generator.next() >>> 0) / 2 ** 32;
            const played = Array.from({ length: DRAWS }, () => replay(judge, draw));
            const meanHeld = played.reduce((sum, one) => sum + one.othersHeld, 0) / DRAWS;
            expect(played.every((one) => one.crashes === crashes)).to.equal(true);
            expect(meanHeld, `mean held: ${String(meanHeld)}`).to.be.at.most(mostOthersHeld);
        });
    }
});
