/**
 * `npm run demo`: streams completions from a cluster of real processes while an engine is killed, in under a minute.
 * Exits with a non-zero code if a completion is not complete. `npm run demo -- FILE` also writes the timeline of all
 * processes as an HTML page.
 */
import { formatTimeline, formatTimelineHtml, readTimeline } from "@crankfork/cli";
import { spawnSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { stringify } from "smol-toml";
import { request } from "undici";
import { type CompletionCall, computeExpectedText, streamCompletion } from "../harness/caller.js";
import { Cluster, createOrganisation, createSecret } from "../harness/cluster.js";
import { type StandIn, startStandIn } from "../harness/processes.js";

const MODEL = "teller-llm";
const LAYERS = 12;
const TOKENS = 40;
const KILL_AT_TOKEN = 10;
const entryNames = ["entry-1", "entry-2", "entry-3"];
const organisations = ["harbour-kiosks", "island-kiosks"];
const priorities = ["urgent", "interactive", "narrative"];
const cliScript = join(dirname(createRequire(import.meta.url).resolve("@crankfork/cli")), "main.js");

const cluster = new Cluster();
const standIns: StandIn[] = [];
let exitCode = 0;
try {
    exitCode = await runDemo() ? 0 : 1;
}
catch (error) {
    exitCode = 1;
    console.error(error);
}
finally {
    await Promise.all(standIns.map((standIn) => standIn.process.kill()));
    await cluster.close();
}
process.exit(exitCode);

async function runDemo(): Promise<boolean> {
    printTitle("Starting six stand-in engines with three speeds, one plain service and three entries");
    const engines = await startEngines();
    const service = await startStandIn("service", {});
    standIns.push(...engines, service);
    for (const name of entryNames) {
        const { addresses } = await cluster.startEntry({
            name,
            hasDisk: true,
            failureDomain: `domain-${name.slice(-1)}`,
        });
        console.log(`${name}: callers ${addresses.callers}, operators ${addresses.operators}`);
    }
    printTitle("Bootstrapping the cluster, submitting an intent, confirming its plan");
    const intentFile = join(cluster.folder, "intent.toml");
    writeFileSync(intentFile, stringify(createIntent(engines, service)));
    runCommand(["init", "--voters", "entry-2,entry-3"]);
    const plan = runCommand(["plan", intentFile]);
    runCommand(["confirm", /plan (\w+)/.exec(plan)?.[1] ?? ""]);
    await cluster.waitUntilReady();
    await cluster.waitUntilLoaded(engines.length);
    runCommand(["upstreams"]);

    printTitle("Streaming from all entries; one pipeline stage is killed in mid-stream");
    const areComplete = await runRequests(engines);
    const isSlipPrinted = await runSlip(service);
    printTitle("Timeline of the request that lost its stage, across all processes");
    printLostRouteTimeline();
    return areComplete && isSlipPrinted;
}

function startEngines(): Promise<StandIn[]> {
    const speeds = [4, 4, 2, 2, 1, 1];
    return Promise.all(speeds.map((speed, index) =>
        startStandIn("engine", {
            name: `engine-${String(index + 1)}`,
            model_layers: { [MODEL]: LAYERS },
            speed,
            batch_ms: 8,
        })
    ));
}

function createIntent(engines: readonly StandIn[], service: StandIn): Record<string, unknown> {
    return {
        id: "open-the-counters",
        organisations: organisations.map((name) => createOrganisation(name)),
        models: [{ name: MODEL, layers: LAYERS }],
        services: [{ name: "slips", repeatable: false, upstreams: ["printer"] }],
        upstreams: [
            ...engines.map((engine, index) => ({
                name: `engine-${String(index + 1)}`,
                kind: "engine",
                address: engine.address,
                memory_layers: 6,
                speed: [4, 4, 2, 2, 1, 1][index],
                slots: 8,
            })),
            { name: "printer", kind: "service", address: service.address },
        ],
    };
}

async function runRequests(engines: readonly StandIn[]): Promise<boolean> {
    let isKilled = false;
    const killOnce = async (): Promise<void> => {
        if (!isKilled) {
            isKilled = true;
            console.log("killing engine-1");
            await engines[0]?.process.kill();
        }
    };
    const calls = entryNames.flatMap((entry) =>
        organisations.flatMap((organisation) =>
            priorities.map((priority) => createCall(entry, organisation, priority, killOnce))
        )
    );
    const results = await Promise.all(calls.map(runRequest));
    return results.every((isComplete) => isComplete);
}

interface DemoCall {
    readonly entry: string;
    readonly call: CompletionCall;
}

function createCall(entry: string, organisation: string, priority: string, killOnce: () => Promise<void>): DemoCall {
    return {
        entry,
        call: {
            address: cluster.get(entry).addresses.callers,
            organisation,
            priority,
            model: MODEL,
            prompt: `explain the ${priority} rate board to a traveller of ${organisation} at ${entry}`,
            maxTokens: TOKENS,
            handleToken: (count) => count === KILL_AT_TOKEN ? killOnce() : undefined,
        },
    };
}

async function runRequest({ entry, call }: DemoCall): Promise<boolean> {
    const result = await streamCompletion(call);
    const isComplete = result.errorId === undefined && result.text === computeExpectedText(call, LAYERS);
    const verdict = isComplete ? "complete" : `INCOMPLETE (${result.errorId ?? "text differs from the reference"})`;
    const times = `first token ${result.firstTokenMs?.toFixed(0) ?? "-"} ms, end ${result.durationMs.toFixed(0)} ms`;
    console.log(`${entry}  ${call.organisation.padEnd(14)}  ${call.priority.padEnd(11)}  ${verdict}, ${times}`);
    return isComplete;
}

/** Sends the same slip to all entries concurrently; it must be printed exactly once. */
async function runSlip(service: StandIn): Promise<boolean> {
    printTitle("Printing one slip, sent to all three entries with the same key");
    const answers = await Promise.all(entryNames.map(async (entry) => {
        const organisation = organisations[0] ?? "";
        const response = await request(`http://${cluster.get(entry).addresses.callers}/services/slips/print`, {
            method: "POST",
            headers: {
                "x-organisation": organisation,
                "authorization": `Bearer ${createSecret(organisation)}`,
                "idempotency-key": "sale-1047",
            },
            body: "slip 1047",
        });
        const text = await response.body.text();
        console.log(`${entry}: status ${String(response.statusCode)} ${text}`);
        return response.statusCode === 200;
    }));
    const effects = await request(`http://${service.address}/control/effects`);
    const counts = await effects.body.json() as Record<string, number>;
    console.log(`prints counted by the printer: ${JSON.stringify(counts)}`);
    return answers.every((isOk) => isOk) && counts["slip 1047"] === 1;
}

function printLostRouteTimeline(): void {
    const files = entryNames.map((name) => cluster.get(name).logFile);
    const lost = readTimeline(files, {}).find((event) => event.event === "route-lost");
    if (lost?.fields.request !== undefined) {
        console.log(formatTimeline(readTimeline(files, { request: lost.fields.request })));
    }
    const [, , page] = process.argv;
    if (page !== undefined) {
        writeFileSync(page, formatTimelineHtml(readTimeline(files, {})));
        console.log(`full timeline: ${page}`);
    }
}

function runCommand(commandArguments: readonly string[]): string {
    console.log(`$ crankfork ${commandArguments.join(" ")}`);
    const address = cluster.get("entry-1").addresses.operators;
    const result = spawnSync(process.execPath, [cliScript, ...commandArguments, "--at", address], { encoding: "utf8" });
    process.stdout.write(result.stdout);
    if (result.status !== 0) {
        throw new Error(`crankfork ${commandArguments.join(" ")} failed: ${result.stderr}`);
    }
    return result.stdout;
}

function printTitle(title: string): void {
    console.log(`\n== ${title}`);
}
