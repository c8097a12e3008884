#!/usr/bin/env node
/**
 * `crankfork`: the operator CLI.
 */
import { parseToml, settingsSchema } from "@crankfork/schemas";
import cac from "cac";
import { readFileSync, writeFileSync } from "node:fs";
import {
    changeVoters,
    type CommandOptions,
    confirmPlan,
    drainInstance,
    initCluster,
    printConfiguration,
    printDifferences,
    printHistory,
    printPlan,
    printStatus,
    printUpstreams,
    printVoters,
    replaceVoter,
} from "./commands.js";
import { printFleetStatus } from "./fleetStatus.js";
import { OperatorError } from "./operatorClient.js";
import { formatTimeline, readTimeline, type TimelineFilter } from "./timeline.js";
import { formatTimelineHtml } from "./timelineHtml.js";

/** Exit codes; docs/API.md lists them. */
const exitCodes = { failed: 1, badInput: 2 } as const;

interface SharedOptions {
    readonly at: string;
    readonly secretFile?: string;
    readonly json?: boolean;
}

const cli = cac("crankfork");
cli.option("--at <address>", "operator address of any instance", { default: "127.0.0.1:8081" });
cli.option("--secret-file <file>", "file with the operator secret");
cli.option("--json", "print JSON output");

cli.command("init", "create a cluster at the instance given by --at")
    .option("--voters <names>", "further instances to add as voters, separated by commas")
    .action((options: SharedOptions & { voters?: string; }) =>
        runAction(() => initCluster(createCommandOptions(options), splitNames(options.voters)))
    );
cli.command("status", "show instances, versions and the replica of the instance")
    .option("--fleet <address>", "show demand, room and refusals at this peers' port of an entry or voter instead")
    .action((options: SharedOptions & { fleet?: string; }) =>
        runAction(() =>
            options.fleet === undefined
                ? printStatus(createCommandOptions(options))
                : printFleetStatus(options.fleet, options.json === true)
        )
    );
cli.command("plan <file>", "create a plan for an intent, without changing anything")
    .action((file: string, options: SharedOptions) => runAction(() => printPlan(createCommandOptions(options), file)));
cli.command("confirm <plan>", "confirm a plan and wait until it is in force")
    .action((plan: string, options: SharedOptions) =>
        runAction(() => confirmPlan(createCommandOptions(options), plan))
    );
cli.command("config <action> [from] [to]", "show | history | diff FROM TO")
    .action((action: string, from: string | undefined, to: string | undefined, options: SharedOptions) =>
        runAction(() => runConfiguration(createCommandOptions(options), action, from, to))
    );
cli.command("upstreams", "show upstreams as the instance observes them")
    .action((options: SharedOptions) => runAction(() => printUpstreams(createCommandOptions(options))));
cli.command("voters [action] [name] [newName]", "list | add NAME | remove NAME | replace OLD NEW")
    .action((
        action: string | undefined,
        name: string | undefined,
        newName: string | undefined,
        options: SharedOptions,
    ) => runAction(() => runVoters(createCommandOptions(options), action, name, newName)));
cli.command("drain", "start a graceful shutdown of the instance given by --at")
    .action((options: SharedOptions) => runAction(() => drainInstance(createCommandOptions(options))));
cli.command("timeline <...files>", "merge the logs of several processes in causal order")
    .option("--request <id>", "show only this request")
    .option("--version-number <number>", "show only this configuration version")
    .option("--instance <name>", "show only this instance or peer")
    .option("--step <name>", "show only this step")
    .option("--html <file>", "write an HTML page with one lane per instance")
    .action((files: string[], options: SharedOptions & TimelineFilter & { versionNumber?: string; }) =>
        runAction(() => {
            printTimeline(files, options);
        })
    );
cli.command("check <file>", "validate a settings file")
    .action((file: string) =>
        runAction(() => {
            checkSettings(file);
        })
    );
cli.help();
runCli();

function runCli(): void {
    try {
        cli.parse();
        if (cli.matchedCommand === undefined && cli.options.help !== true) {
            const found = cli.args[0] ?? "nothing";
            exitWithError(exitCodes.badInput, [`crankfork: found ${found}; expected a command, see crankfork --help`]);
        }
    }
    catch (error) {
        exitWithError(exitCodes.badInput, [`crankfork: ${error instanceof Error ? error.message : String(error)}`]);
    }
}

function runAction(action: () => Promise<void> | void): void {
    Promise.resolve().then(action).catch((error: unknown) => {
        if (error instanceof OperatorError) {
            const lines = [
                `${error.step} at ${error.peer}: ${error.message}`,
                ...error.details.map((line) => `  ${line}`),
            ];
            exitWithError(exitCodes.failed, [...lines, `next: ${error.next}`]);
        }
        exitWithError(exitCodes.failed, [error instanceof Error ? error.message : String(error)]);
    });
}

function createCommandOptions(options: SharedOptions): CommandOptions {
    const secret = options.secretFile === undefined ? undefined : readFileSync(options.secretFile, "utf8").trim();
    return { client: { address: options.at, secret }, isJson: options.json === true };
}

function splitNames(text: string | undefined): readonly string[] {
    return (text ?? "").split(",").filter((name) => name !== "");
}

async function runConfiguration(
    options: CommandOptions,
    action: string,
    from: string | undefined,
    to: string | undefined,
): Promise<void> {
    switch (action) {
        case "show":
            await printConfiguration(options);
            return;
        case "history":
            await printHistory(options);
            return;
        case "diff":
            await printDifferences(options, parseVersion(from), parseVersion(to));
            return;
        default:
            exitWithError(exitCodes.badInput, [`config: found ${action}; expected show, history or diff FROM TO`]);
    }
}

async function runVoters(
    options: CommandOptions,
    action: string | undefined,
    name: string | undefined,
    newName: string | undefined,
): Promise<void> {
    if (action === undefined || action === "list") {
        await printVoters(options);
    }
    else if ((action === "add" || action === "remove") && name !== undefined) {
        await changeVoters(options, action, name);
    }
    else if (action === "replace" && name !== undefined && newName !== undefined) {
        await replaceVoter(options, name, newName);
    }
    else {
        exitWithError(exitCodes.badInput, ["voters: expected list, add NAME, remove NAME or replace OLD NEW"]);
    }
}

function parseVersion(text: string | undefined): number {
    const version = Number(text);
    if (!Number.isInteger(version)) {
        exitWithError(exitCodes.badInput, [`config diff: found ${text ?? "nothing"}; expected two version numbers`]);
    }
    return version;
}

function printTimeline(
    files: string[],
    options: TimelineFilter & { versionNumber?: string; json?: boolean; html?: string; },
): void {
    const { versionNumber, html, ...filter } = options;
    const wanted = versionNumber === undefined ? filter : { ...filter, version: versionNumber };
    const events = readTimeline(files, wanted);
    if (html !== undefined) {
        writeFileSync(html, formatTimelineHtml(events));
        process.stdout.write(`${html}: ${String(events.length)} events\n`);
        return;
    }
    const text = options.json === true ? JSON.stringify(events, undefined, 4) : formatTimeline(events);
    process.stdout.write(`${text}\n`);
}

function checkSettings(file: string): void {
    let text = "";
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        exitWithError(exitCodes.badInput, [`${file}: found nothing to read; expected a TOML file (${reason})`]);
    }
    const checked = parseToml(settingsSchema, text, file);
    if (checked.kind === "invalid") {
        exitWithError(exitCodes.badInput, checked.faults);
    }
    process.stdout.write(`${file}: valid\n`);
}

function exitWithError(code: number, lines: readonly string[]): never {
    lines.forEach((line) => {
        process.stderr.write(`${line}\n`);
    });
    process.exit(code);
}
