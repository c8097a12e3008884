import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import fc from "fast-check";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FleetState, type ProposalResult } from "../src/index.js";
import { type InstalledClock, type SimulatedState, Simulation } from "./simulation.js";

const SEED = 82;
const RUNS = 25;
const SETTLE_MS = 3_000;

const facts = { id: "u", service: "s", address: "127.0.0.1:1", failure_domain: "d", slots: 1 };
const crash = { fingerprint: "f", upstream: "u", had_progress: false, origin: { host: "h", target: "/" } };
const soundCommands: readonly Readonly<Record<string, unknown>>[] = [
    { kind: "put-document", version: 1, packed: "packed" },
    { kind: "put-upstream", facts: { ...facts, held: { first: 0, end: 4 }, slowness: 1 }, status: "ready" },
    { kind: "remove-upstream", id: "u@5", life: { name: "u", started_at_ms: 5 } },
    { kind: "record-crashes", crashes: [{ ...crash, segments: ["a"], is_late: false }], at_ms: 1 },
    { kind: "forget-crashes", fingerprints: ["f", "segment:a"] },
    { kind: "claim-trial", fingerprint: "f", at_ms: 1 },
];

const refusedCommands: readonly { readonly title: string; readonly command: unknown; }[] = [
    { title: "slots of 1e300", command: { kind: "put-upstream", facts: { ...facts, slots: 1e300 }, status: "ready" } },
    { title: "a version of 1e21", command: { kind: "put-document", version: 1e21, packed: "" } },
    { title: "an unknown kind", command: { kind: "later" } },
    { title: "a kind that is a name of Object", command: { kind: "__proto__" } },
    { title: "a list of crashes that is a table", command: { kind: "record-crashes", crashes: {}, at_ms: 1 } },
    { title: "a time that is null", command: { kind: "claim-trial", fingerprint: "f", at_ms: null } },
    { title: "no table", command: 7 },
    { title: "null", command: null },
];

/** A sound command in which one value, at any depth, is replaced. */
const foreignCommand = fc.tuple(
    fc.constantFrom(...soundCommands),
    fc.nat(),
    fc.oneof(
        fc.jsonValue(),
        fc.constantFrom(1e300, 2 ** 53, -1, 0.5, 1e6, "", " ", "__proto__", "constructor", "u", "\ud800"),
    ),
).map(([command, at, value]) => replaceValue(command, at, value));

function replaceValue(command: object, at: number, value: unknown): unknown {
    const paths = listPaths(command, []);
    return setAt(command, paths[at % paths.length] ?? [], value);
}

function listPaths(value: unknown, path: readonly string[]): readonly (readonly string[])[] {
    const below = typeof value === "object" && value !== null
        ? Object.entries(value).flatMap(([key, one]) => listPaths(one, [...path, key]))
        : [];
    return [path, ...below];
}

function setAt(target: unknown, [key, ...rest]: readonly string[], value: unknown): unknown {
    if (key === undefined) {
        return value;
    }
    const copy = structuredClone(target) as Record<string, unknown>;
    copy[key] = setAt(copy[key], rest, value);
    return copy;
}

describe("a committed command ends no replica, whatever it holds", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install();
    });

    afterEach(() => {
        clock.uninstall();
    });

    async function open(createState: () => SimulatedState = () => new FleetState()): Promise<Simulation> {
        const simulation = new Simulation(clock, xoroshiro128plus(SEED), 3, undefined, createState);
        await simulation.startTogether();
        await clock.tickAsync(SETTLE_MS);
        return simulation;
    }

    /** Proposes commands in one batch, past the check that precedes a proposal, as another build may. */
    async function commit(simulation: Simulation, commands: readonly unknown[]): Promise<readonly string[]> {
        const results: (string | undefined)[] = commands.map(() => undefined);
        commands.forEach((command, at) => {
            void simulation.getLeader()?.replica?.propose(command).then(({ kind }: ProposalResult) => {
                results[at] = kind;
            });
        });
        await clock.tickAsync(SETTLE_MS);
        return results.map((kind) => kind ?? "never settled");
    }

    async function restartAll(simulation: Simulation): Promise<void> {
        simulation.nodes.forEach((_, number) => {
            simulation.crash(number);
        });
        for (const [number] of simulation.nodes.entries()) {
            await simulation.startNode(number);
        }
        await clock.tickAsync(SETTLE_MS);
    }

    function listStates(simulation: Simulation): readonly string[] {
        return [...new Set(simulation.nodes.map(({ state }) => JSON.stringify(state?.getState())))];
    }

    function putSound(id: string): object {
        return { kind: "put-upstream", facts: { ...facts, id }, status: "ready" };
    }

    function hasUpstream(simulation: Simulation, id: string): boolean {
        return simulation.nodes.every(({ state }) => (state as FleetState).getUpstream(id) !== undefined);
    }

    for (const { title, command } of refusedCommands) {
        it(`${title}: the rest of the batch is applied, by followers and after a restart too`, async () => {
            const simulation = await open();
            const kinds = await commit(simulation, [putSound("before"), command, putSound("after")]);
            expect(kinds).to.deep.equal(["applied", "applied", "applied"]);
            const before = listStates(simulation);
            await restartAll(simulation);
            expect(listStates(simulation)).to.deep.equal(before);
            expect(before).to.have.length(1);
            expect(await commit(simulation, [putSound("later")])).to.deep.equal(["applied"]);
            expect(["before", "after", "later"].map((id) => hasUpstream(simulation, id))).to.not.include(false);
            expect(simulation.violations).to.deep.equal([]);
        });
    }

    it("a state machine that throws costs only its own command", async () => {
        const simulation = await open(() => {
            const state = new FleetState();
            return {
                apply: (command, index) => {
                    if (command === "throw") {
                        throw new Error("not applied");
                    }
                    return state.apply(command, index);
                },
                getState: () => state.getState(),
                restore: (raw) => {
                    state.restore(raw);
                },
            };
        });
        const kinds = await commit(simulation, [putSound("before"), "throw", putSound("after")]);
        expect(kinds).to.deep.equal(["applied", "unknown", "applied"]);
        await restartAll(simulation);
        expect(await commit(simulation, [putSound("later")])).to.deep.equal(["applied"]);
        expect(listStates(simulation)).to.have.length(1).and.to.satisfy(([state]: string[]) =>
            ["before", "after", "later"].every((id) => state?.includes(`"${id}"`))
        );
        expect(simulation.violations).to.deep.equal([]);
    });

    it("a snapshot that a follower cannot restore leaves its state and its log as they are", async () => {
        let isRefused = true;
        const simulation = await open(() => {
            const state = new FleetState();
            return {
                apply: (command, index) => state.apply(command, index),
                getState: () => state.getState(),
                restore: (raw) => {
                    if (isRefused) {
                        throw new Error("not restored");
                    }
                    state.restore(raw);
                },
            };
        });
        await commit(simulation, [putSound("before")]);
        const behind = simulation.nodes.findIndex((node) => node !== simulation.getLeader());
        simulation.isolate(behind);
        await commit(simulation, Array.from({ length: 30 }, (_, at) => putSound(String(at))));
        simulation.heal();
        await clock.tickAsync(SETTLE_MS);
        const state = JSON.stringify(simulation.nodes[behind]?.state?.getState());
        expect(state).to.include('"before"').and.not.include('"29"');
        expect(simulation.nodes[behind]?.replica?.getStatus().lastIndex).to.be.below(10);
        isRefused = false;
        await clock.tickAsync(SETTLE_MS);
        expect(listStates(simulation)).to.have.length(1);
        expect(simulation.violations).to.deep.equal([]);
    });

    it("any values: replicas stay equal through log, snapshot and restart", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(foreignCommand, { minLength: 1, maxLength: 40 }), async (commands) => {
                const simulation = await open();
                const kinds = await commit(simulation, [...commands, ...soundCommands, putSound("after")]);
                expect(new Set(kinds)).to.deep.equal(new Set(["applied"]));
                expect(hasUpstream(simulation, "after")).to.equal(true);
                const before = listStates(simulation);
                expect(before).to.have.length(1);
                await restartAll(simulation);
                expect(listStates(simulation)).to.deep.equal(before);
                expect(await commit(simulation, [putSound("later")])).to.deep.equal(["applied"]);
                expect(hasUpstream(simulation, "later")).to.equal(true);
                expect(simulation.violations).to.deep.equal([]);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});
