import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { installClock, type InstalledClock } from "./installedClock.js";
import { type SimulatedMachine, VoterSimulation } from "./voterSimulation.js";

const TOLERATED_LOSSES = 2;
/** Time after the start of a new machine from which the loss of as many others as are tolerated has to be borne. */
const CATCH_UP_MS = 4_000;
/** Time after the return of all machines within which there has to be a leader. */
const RECOVERY_MS = 12_000;
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
