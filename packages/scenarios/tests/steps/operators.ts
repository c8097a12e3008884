import { expect } from "chai";
import { z } from "zod";
import { streamCompletion } from "../../src/harness/caller.js";
import type { JsonResponse } from "../../src/harness/cluster.js";
import type { StepRegistry } from "../../src/harness/gherkin.js";
import { MODEL, type World } from "../../src/harness/world.js";
import { createCall } from "./requests.js";

const confirmSchema = z.object({ version: z.int(), is_repeat: z.boolean() });
const NOT_READY_ATTEMPTS = 12;
const NOT_READY_INTERVAL_MS = 100;
const refusalSchema = z.object({ error: z.object({ id: z.string(), next: z.string(), details: z.array(z.string()) }) });
const statusSchema = z.object({
    configuration_version: z.int(),
    replica: z.object({ role: z.string(), term: z.int() }).optional(),
});
const votersSchema = z.object({
    replica: z.object({ replicas: z.object({ voters: z.array(z.object({ id: z.string() })) }) }),
});
const heldSchema = z.object({ holds: z.array(z.object({ version: z.string() })) });

/** Requests of operators in one scenario, and their results. */
interface OperatorState {
    plans: string[];
    answers: JsonResponse[];
    pausedLeader: string | undefined;
    lastVersion: number;
}

const operatorStates = new WeakMap<World, OperatorState>();

/** Steps that plan and confirm as an operator, and check the configuration in force. */
export function defineOperatorSteps(steps: StepRegistry<World>): void {
    steps.define("an operator plans intent {string} at {word}", async (world, id: string, entry: string) => {
        getOperatorState(world).plans.push(await world.cluster.plan(entry, world.createIntent({ id, maxTokens: 400 })));
    });

    steps.define("an operator plans intent {string} at a running entry", async (world, id: string) => {
        getOperatorState(world).plans.push(
            await world.cluster.plan(getRunningEntry(world), world.createIntent({ id, maxTokens: 400 })),
        );
    });

    steps.define(
        "an operator plans a different intent with id {string} at {word}",
        async (world, id: string, entry: string) => {
            const body = JSON.stringify(world.createIntent({ id, maxTokens: 300 }));
            getOperatorState(world).answers.push(await world.cluster.callOperatorApi(entry, "POST", "/v1/plans", body));
        },
    );

    steps.define("both plans are the same", (world) => {
        const { plans } = getOperatorState(world);
        expect(plans).to.have.length(2);
        expect(plans[0]).to.equal(plans[1]);
    });

    steps.define("an operator confirms the plan at {word}", (world, entry: string) => confirmLast(world, entry));
    steps.define(
        "an operator confirms the plan at a running entry",
        (world) => confirmLast(world, getRunningEntry(world)),
    );

    steps.define("an operator confirms intent {string} at {word}", async (world, id: string, entry: string) => {
        await world.cluster.confirm(entry, world.createIntent({ id, maxTokens: 400 }));
    });

    steps.define("an operator confirms an intent without engine-4 at a running entry", async (world) => {
        const intent = world.createIntent({ id: "smaller" });
        const upstreams = (intent.upstreams as { name: string; }[]).filter((one) => one.name !== "engine-4");
        await confirmAnywhere(world, { ...intent, upstreams });
    });

    steps.define("an operator confirms an intent with a new model version at a running entry", async (world) => {
        const intent = world.createIntent({ id: "newer", checksFence: false });
        const models = (intent.models as object[]).map((model) => ({ ...model, version: "v2" }));
        await confirmAnywhere(world, { ...intent, models });
    });

    steps.define(
        "operators plan {string} at {word} and {string} at {word} and confirm both at once",
        async (world, left: string, leftEntry: string, right: string, rightEntry: string) => {
            const plans = [
                {
                    entry: leftEntry,
                    plan: await world.cluster.plan(leftEntry, world.createIntent({ id: left, maxTokens: 400 })),
                },
                {
                    entry: rightEntry,
                    plan: await world.cluster.plan(rightEntry, world.createIntent({ id: right, maxTokens: 300 })),
                },
            ];
            getOperatorState(world).answers = await Promise.all(
                plans.map(({ entry, plan }) =>
                    world.cluster.callOperatorApi(entry, "POST", `/v1/plans/${plan}/confirm`)
                ),
            );
        },
    );

    steps.define(
        "one confirmation succeeds with version {int} and the other is refused with the conflicting change",
        (world, version: number) => {
            const { answers } = getOperatorState(world);
            const confirmed = answers.filter((answer) => answer.status === 200);
            const [refused] = answers.filter((answer) => answer.status === 409);
            expect(confirmed.map((answer) => confirmSchema.parse(answer.body).version)).to.deep.equal([version]);
            const { error } = refusalSchema.parse(refused?.body);
            expect([error.id, error.details]).to.deep.equal(["moved", [
                `version ${String(version)}: ~ model ${MODEL}`,
            ]]);
        },
    );

    steps.define("the operator is refused with {word}", (world, id: string) => {
        expect(refusalSchema.parse(getOperatorState(world).answers.at(-1)?.body).error.id).to.equal(id);
    });

    steps.define(
        "the version is {int} and the confirmation is not a repeat",
        (world, version: number) => expectConfirmed(world, version, false),
    );
    steps.define(
        "the version is {int} and the confirmation is a repeat",
        (world, version: number) => expectConfirmed(world, version, true),
    );

    steps.define("version {int} is in force at every entry", (world, version: number) => expectInForce(world, version));
    steps.define(
        "version {int} is in force at every running entry",
        (world, version: number) => expectInForce(world, version),
    );

    steps.define("{word} refuses callers as not ready", async (world, entry: string) => {
        // Repeated, since an entry that wrongly becomes ready does so shortly after its start, not at once.
        for (let attempt = 0; attempt < NOT_READY_ATTEMPTS; attempt += 1) {
            const completion = await streamCompletion(createCall(world, entry, 3));
            expect([completion.errorId, completion.outcome]).to.deep.equal(["not-ready", "not-run"]);
            await new Promise((resolve) => setTimeout(resolve, NOT_READY_INTERVAL_MS));
        }
    });

    steps.define("{word} can't confirm anything", async (world, entry: string) => {
        const body = JSON.stringify(world.createIntent({ id: "impossible", maxTokens: 200 }));
        const answer = await world.cluster.callOperatorApi(entry, "POST", "/v1/plans", body);
        expect(refusalSchema.parse(answer.body).error.id).to.equal("no-quorum");
    });

    steps.define(
        "an operator replaces the old replica of {word} with its new one at {word}",
        async (world, lost: string, entry: string) => {
            const { body } = await world.cluster.callOperatorApi(entry, "GET", "/v1/status");
            const { voters } = votersSchema.parse(body).replica.replicas;
            const old = voters.find((voter) => voter.id.startsWith(`${lost}.`))?.id ?? "";
            for (const change of [{ action: "add", name: lost }, { action: "remove", name: old }]) {
                await world.cluster.waitUntil(`${change.action} ${change.name}`, async () => {
                    const answer = await world.cluster.callOperatorApi(
                        entry,
                        "POST",
                        "/v1/voters",
                        JSON.stringify(change),
                    );
                    return answer.status === 200;
                });
            }
        },
    );

    steps.define(
        "{word} refuses each of these requests of an operator:",
        async (world, entry: string, table: readonly string[][]) => {
            for (const [path = "", body = "", status = "", id = ""] of table.slice(1)) {
                const answer = await world.cluster.callOperatorApi(entry, "POST", path, body);
                const { error } = refusalSchema.parse(answer.body);
                expect([path, body, String(answer.status), error.id]).to.deep.equal([path, body, status, id]);
                expect(error.next).to.have.length.above(0);
            }
        },
    );

    steps.define("the leader is killed", async (world) => {
        await world.cluster.get(await findLeader(world)).process.kill();
    });

    steps.define("the leader is paused", async (world) => {
        const leader = await findLeader(world);
        getOperatorState(world).pausedLeader = leader;
        world.cluster.get(leader).process.signal("SIGSTOP");
    });

    steps.define("the paused leader resumes", (world) => {
        world.cluster.get(getOperatorState(world).pausedLeader ?? "").process.signal("SIGCONT");
    });

    steps.define("{word} has received orders from the new leader", async (world, engine: string) => {
        const before = getOperatorState(world).lastVersion;
        expect(before).to.be.above(0);
        await world.cluster.waitUntil("the engines to hold what the new plan says", async () => {
            const { orders } = await world.getCounts(engine);
            return orders >= 1;
        });
    });

    steps.define("no engine accepts an order from the old leader within a second", async (world) => {
        const before = await countOrders(world);
        await new Promise((resolve) => setTimeout(resolve, 1_000));
        expect(await countOrders(world)).to.equal(before);
    });

    steps.define("every engine eventually holds the new model version", async (world) => {
        for (const [name, engine] of world.engines) {
            await world.cluster.waitUntil(`${name} to hold v2`, async () => {
                const response = await fetch(`http://${engine.address}/v1/status`);
                return heldSchema.parse(await response.json()).holds.some((range) => range.version === "v2");
            });
        }
    });

    steps.define(
        "an operator confirms {int} changes while all entries are killed at random points",
        async (world, changes: number) => {
            const state = getOperatorState(world);
            state.lastVersion = 1;
            const rounds = 5;
            for (let round = 0; round < rounds; round += 1) {
                await confirmAndKillAll(world, state, changes / rounds, round);
                world.reportProgress();
            }
            expect(state.lastVersion).to.be.at.least(changes);
        },
    );

    steps.define("every entry comes back to the last confirmed version or a newer one", async (world) => {
        for (const name of world.cluster.entries.keys()) {
            const { body } = await world.cluster.callOperatorApi(name, "GET", "/v1/status");
            expect(statusSchema.parse(body).configuration_version).to.be.at.least(getOperatorState(world).lastVersion);
        }
    });
}

/** Confirms changes one after another, then kills all entries while another change is in progress, and restarts them. */
async function confirmAndKillAll(world: World, state: OperatorState, changes: number, round: number): Promise<void> {
    const entries = [...world.cluster.entries.keys()];
    const target = state.lastVersion + changes;
    while (state.lastVersion < target) {
        const entry = entries[state.lastVersion % entries.length] ?? "";
        const maxTokens = 100 + state.lastVersion;
        const intent = world.createIntent({ id: `change-${String(round)}-${String(state.lastVersion)}`, maxTokens });
        state.lastVersion = Math.max(state.lastVersion, await world.cluster.confirm(entry, intent));
    }
    const interruptedConfirm = world.cluster.plan(
        entries[0] ?? "",
        world.createIntent({ id: `dying-${String(round)}`, maxTokens: 99 }),
    )
        .then((plan) => world.cluster.callOperatorApi(entries[0] ?? "", "POST", `/v1/plans/${plan}/confirm`))
        .then((answer) => {
            if (answer.status === 200) {
                state.lastVersion = Math.max(state.lastVersion, confirmSchema.parse(answer.body).version);
            }
        })
        .catch(() => undefined);
    await new Promise((resolve) => setTimeout(resolve, round * 7));
    await Promise.all(entries.map((name) => world.cluster.get(name).process.kill()));
    await interruptedConfirm;
    await Promise.all(entries.map((name) => world.cluster.restartEntry(name)));
    await world.cluster.waitUntilReady();
}

async function confirmLast(world: World, entry: string): Promise<void> {
    const state = getOperatorState(world);
    state.answers.push(
        await world.cluster.callOperatorApi(entry, "POST", `/v1/plans/${state.plans.at(-1) ?? ""}/confirm`),
    );
}

async function confirmAnywhere(world: World, intent: object): Promise<void> {
    const state = getOperatorState(world);
    await world.cluster.waitUntil("a new leader to confirm", async () => {
        state.lastVersion = await world.cluster.confirm(getRunningEntry(world), intent);
        return true;
    });
}

function expectConfirmed(world: World, version: number, isRepeat: boolean): void {
    const confirmed = confirmSchema.parse(getOperatorState(world).answers.at(-1)?.body);
    expect([confirmed.version, confirmed.is_repeat]).to.deep.equal([version, isRepeat]);
}

async function expectInForce(world: World, version: number): Promise<void> {
    for (const [name, entry] of world.cluster.entries) {
        if (entry.process.isRunning) {
            await world.cluster.waitUntil(`version ${String(version)} at ${name}`, async () => {
                const { body } = await world.cluster.callOperatorApi(name, "GET", "/v1/status");
                return statusSchema.parse(body).configuration_version === version;
            });
        }
    }
}

async function findLeader(world: World): Promise<string> {
    for (const [name, entry] of world.cluster.entries) {
        if (entry.process.isRunning) {
            const { body } = await world.cluster.callOperatorApi(name, "GET", "/v1/status");
            if (statusSchema.parse(body).replica?.role === "leader") {
                return name;
            }
        }
    }
    throw new Error("no running entry is the leader");
}

function getRunningEntry(world: World): string {
    const { pausedLeader: frozen } = getOperatorState(world);
    const runningEntry = [...world.cluster.entries].find(([name, entry]) => name !== frozen && entry.process.isRunning);
    return runningEntry?.[0] ?? "";
}

async function countOrders(world: World): Promise<number> {
    const counts = await Promise.all([...world.engines.keys()].map((name) => world.getCounts(name)));
    return counts.reduce((sum, count) => sum + count.orders, 0);
}

function getOperatorState(world: World): OperatorState {
    const state = operatorStates.get(world) ?? { plans: [], answers: [], pausedLeader: undefined, lastVersion: 0 };
    operatorStates.set(world, state);
    return state;
}
