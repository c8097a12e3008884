import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { installClock, type InstalledClock } from "./installedClock.js";
import { type SimulatedMachine, VoterSimulation } from "./voterSimulation.js";

const TOLERATED_LOSSES = 2;
/** Time after the start of a new machine from which the loss of as many others as are tolerated has to be borne. */
const CATCH_UP_MS = 4_000;
/** Time after the return of all machines within which there has to be a leader. */
const RECOVERY_MS = 12_000;
/** Time from the loss of a machine without notice to the start of its successor. */
const SUCCESSOR_MS = 1_000;
const MAX_RESTART_MS = 500;
const MAX_PAUSE_MS = 2_500;
/** The longest cut that the losses contain. */
const CUT_MS = 5_500;
/** Nothing is lost by a cut, so its end is not waited for as that of a loss. */
const AFTER_CUT_MS = 800;
/** CI uses some seeds; more by hand. */
const seeds = Number(process.env.VOTER_SEEDS ?? 10);
const firstSeed = Number(process.env.VOTER_FROM ?? 1);

interface Row {
    readonly title: string;
    /** Replaces a machine; ends when the tolerated losses may come. */
    readonly replace: (simulation: VoterSimulation) => Promise<void>;
}

const chooseFollower = (simulation: VoterSimulation, voters: readonly SimulatedMachine[]): SimulatedMachine =>
    simulation.choose(voters.filter((machine) => machine !== simulation.getLeader()));

async function replaceAsPlanned(
    simulation: VoterSimulation,
    chooseReplaced: (voters: readonly SimulatedMachine[]) => SimulatedMachine,
): Promise<void> {
    const voters = simulation.listRunning();
    await simulation.addMachine();
    await simulation.wait(CATCH_UP_MS);
    await simulation.terminate(chooseReplaced(voters));
}

/**
 * A machine is gone without notice, its successor comes a second later, and the leader is killed and returns some times
 * meanwhile. Each of them counts as lost until `CATCH_UP_MS` after its start.
 */
async function replaceWithoutNotice(
    simulation: VoterSimulation,
    gone: SimulatedMachine | undefined,
    leaderChanges: number,
): Promise<void> {
    simulation.kill(gone ?? simulation.choose(simulation.listRunning()));
    await simulation.wait(SUCCESSOR_MS);
    await simulation.addMachine();
    for (let change = 0; change < leaderChanges; change += 1) {
        await simulation.wait(simulation.drawRandom() * MAX_PAUSE_MS);
        const leader = simulation.getLeader();
        if (leader !== undefined) {
            simulation.kill(leader);
            await simulation.wait(simulation.drawRandom() * MAX_RESTART_MS);
            await simulation.startMachine(leader);
        }
    }
    await simulation.wait(CATCH_UP_MS);
}

/**
 * A machine is gone without notice, and the others are cut in two halves without a majority of the voters. Its successor
 * starts a second before or after the cut.
 */
async function replaceBesideCut(
    simulation: VoterSimulation,
    { afterCutMs, startsInCut = false }: { readonly afterCutMs: number; readonly startsInCut?: boolean; },
): Promise<void> {
    simulation.kill(chooseFollower(simulation, simulation.listRunning()));
    await simulation.wait(SUCCESSOR_MS);
    const leader = simulation.getLeader() ?? simulation.choose(simulation.listRunning());
    const others = simulation.listRunning().filter((machine) => machine !== leader);
    const successor = startsInCut ? undefined : await simulation.addMachine();
    await simulation.wait(SUCCESSOR_MS);
    const half = [leader, ...others.slice(0, 1)];
    const otherHalf = others.slice(1);
    if (successor === undefined) {
        simulation.cut(half, otherHalf);
        await simulation.wait(SUCCESSOR_MS);
        simulation.cut(half, [await simulation.addMachine()]);
        await simulation.wait(CUT_MS - SUCCESSOR_MS);
    }
    else {
        simulation.cut(half, [...otherHalf, successor]);
        await simulation.wait(CUT_MS);
    }
    simulation.heal();
    await simulation.wait(afterCutMs);
}

const rows: readonly Row[] = [
    {
        title: "a follower is replaced as planned",
        replace: (simulation) => replaceAsPlanned(simulation, (voters) => chooseFollower(simulation, voters)),
    },
    {
        title: "the leader is replaced as planned",
        replace: (simulation) => replaceAsPlanned(simulation, (voters) => simulation.getLeader() ?? voters[0]!),
    },
    {
        title: "two machines are replaced as planned, one after the other",
        replace: async (simulation) => {
            await replaceAsPlanned(simulation, (voters) => simulation.choose(voters));
            await replaceAsPlanned(simulation, (voters) => simulation.choose(voters));
        },
    },
    {
        title: "all machines are replaced as planned while the leader changes",
        replace: async (simulation) => {
            for (const machine of simulation.listRunning()) {
                await simulation.addMachine();
                await simulation.wait(CATCH_UP_MS);
                simulation.getLeader()?.replica?.transferLeadership();
                await simulation.wait(simulation.drawRandom() * 100);
                await simulation.terminate(machine);
            }
        },
    },
    {
        title: "a follower is gone without notice",
        replace: (simulation) =>
            replaceWithoutNotice(simulation, chooseFollower(simulation, simulation.listRunning()), 0),
    },
    {
        title: "the leader is gone without notice",
        replace: (simulation) => replaceWithoutNotice(simulation, simulation.getLeader(), 0),
    },
    {
        title: "a machine is gone without notice, and the leader changes",
        replace: (simulation) => replaceWithoutNotice(simulation, undefined, 1),
    },
    {
        title: "a machine is gone without notice, and the leader changes twice",
        replace: (simulation) => replaceWithoutNotice(simulation, undefined, 2),
    },
    {
        title: "a machine is gone without notice, and the voters are cut in two halves",
        replace: (simulation) => replaceBesideCut(simulation, { afterCutMs: AFTER_CUT_MS }),
    },
    {
        title: "the same, and the loss comes with the first acknowledgement after the cut",
        replace: (simulation) => replaceBesideCut(simulation, { afterCutMs: 0 }),
    },
    {
        title: "the same, and the successor starts while they are cut",
        replace: (simulation) => replaceBesideCut(simulation, { afterCutMs: 0, startsInCut: true }),
    },
];

/** Guards against a set of voters that keeps a replaced machine, so that the tolerated losses leave no quorum. */
describe("a set of voters bears the tolerated loss of disks once a machine is replaced", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    for (const { title, replace } of rows) {
        it(title, async () => {
            const failures: string[] = [];
            for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
                clock.reset();
                const simulation = new VoterSimulation(clock, xoroshiro128plus(seed), TOLERATED_LOSSES);
                await simulation.start();
                await replace(simulation);
                failures.push(...(await loseDisks(simulation)).map((failure) => `seed ${String(seed)}: ${failure}`));
            }
            expect(failures).to.deep.equal([]);
        });
    }
});

/** Loses the disks of as many machines as are tolerated, right after an acknowledgement; returns what is wrong then. */
async function loseDisks(simulation: VoterSimulation): Promise<readonly string[]> {
    if (!await simulation.confirm()) {
        return ["nothing was acknowledged before the loss"];
    }
    const lost = new Set<SimulatedMachine>();
    if (simulation.drawRandom() < 0.5) {
        lost.add(simulation.getLeader() ?? simulation.choose(simulation.listRunning()));
    }
    while (lost.size < TOLERATED_LOSSES) {
        lost.add(simulation.choose(simulation.listRunning()));
    }
    lost.forEach((machine) => {
        simulation.loseDisk(machine);
    });
    for (const machine of lost) {
        await simulation.startMachine(machine);
    }
    await simulation.wait(RECOVERY_MS);
    const leader = simulation.getLeader();
    const lostValues = simulation.acknowledged.filter((value) => leader?.values.includes(value) !== true);
    return [
        ...simulation.violations,
        ...leader === undefined ? ["no leader"] : lostValues.map((value) => `value ${String(value)} was lost`),
    ];
}
