import type { EngineProfile, RegisteredUpstream } from "@crankfork/schemas";
import { expect } from "chai";
import { installClock, type InstalledClock } from "./installedClock.js";
import { MemorySimulation, profile, type RequestTokens } from "./memorySimulation.js";

/** Four copies of a first stage before two stages with memory for 128,000 and 93,000 tokens. */
const sharedProfile: EngineProfile = {
    ...profile,
    usual_prompt_tokens: 760,
    usual_answer_tokens: 256,
    accelerators: [
        { name: "first", memory_mb: 225, step_factor: 1, read_factor: 1 },
        { name: "large", memory_mb: 348, step_factor: 1, read_factor: 1 },
        { name: "small", memory_mb: 334.875, step_factor: 1, read_factor: 1 },
    ],
};
const SMALL_TOKENS = 93_000;

function createGroup(domain: string): readonly RegisteredUpstream[] {
    const create = (name: string, accelerator: string, first: number, end: number): RegisteredUpstream => ({
        id: `${name}-${domain}`,
        service: "s",
        address: `${name}-${domain}`,
        failure_domain: domain,
        slots: 256,
        accelerator,
        status: "ready",
        held: { first, end },
    });
    const firsts = ["f1", "f2", "f3", "f4"].map((name) => create(name, "first", 0, 2));
    return [...firsts, create("large", "large", 2, 5), create("small", "small", 5, 8)];
}

/** Prompts of 150 to 2,320 tokens around 760, and answers of 170 to 600 around 256. */
function drawSize(draw: number): RequestTokens {
    const other = (draw * 1_009) % 1;
    return { prompt: Math.round(150 + 2_170 * draw ** 2.56), answer: Math.round(170 + 430 * other ** 4) };
}

/** Requests a second that the smallest stage can hold: one of the mean size holds its 888 tokens for 3.9 s. */
const FULL_RATE = SMALL_TOKENS / 888 / 3.9;

describe("requests of uneven sizes before paths that share stages", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("fill the smallest stage, and few are declined or preempted", async () => {
        const fleet = new MemorySimulation(clock, createGroup("a"), 69, Number(process.env["SEED"] ?? 7), sharedProfile);
        await fleet.start();
        await fleet.send(0.7 * FULL_RATE, 10_000, drawSize);
        const rampMs = fleet.nowMs;
        await fleet.send(1.3 * FULL_RATE, 8_000, drawSize);
        const startMs = fleet.nowMs;
        const used: number[] = [];
        for (let step = 0; step < 800; step += 1) {
            await fleet.send(1.3 * FULL_RATE, 50, drawSize);
            used.push(fleet.getUsedTokens("small-a") / SMALL_TOKENS);
        }
        fleet.stop();
        const requests = fleet.requests.filter(({ atMs }) => atMs >= startMs);
        const served = requests.filter(({ end }) => end === "served");
        const bySize = [...requests].sort((one, other) => other.tokens - one.tokens);
        const largest = bySize.slice(0, requests.length / 10);
        const measured = {
            requests: requests.length,
            ramp: fleet.declines.filter(({ atMs }) => atMs > rampMs && atMs < startMs).length / fleet.requests.filter(({ atMs, end }) => atMs > rampMs && atMs < startMs && end === "served").length,
            served: served.length / requests.length,
            declines: fleet.declines.filter(({ atMs }) => atMs >= startMs).length / served.length,
            preempted: fleet.preemptions.filter((atMs) => atMs >= startMs).length / served.length,
            used: used.reduce((sum, one) => sum + one, 0) / used.length,
            largest: largest.filter(({ end }) => end === "served").length / largest.length,
        };
        if (process.env["MEASURE"] !== undefined) {
            console.log(measured);
        }
        expect(measured.declines).to.be.below(0.02);
    });
});
