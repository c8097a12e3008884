#!/usr/bin/env node
/**
 * `crankfork`: the operators' command.
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
cli.option("--at <address>", "operators' address of any instance", { default: "127.0.0.1:8081" });
cli.option("--secret-file <file>", "file with the operators' secret");
cli.option("--json", "print JSON");

cli.command("init", "found a cluster at the instance named by --at")
    .option("--voters <names>", "more instances to add as voters, separated by commas")
    .action((options: SharedOptions & { voters?: string; }) =>
        run(() => initCluster(createOptions(options), splitNames(options.voters)))
    );
cli.command("status", "instances, versions and the replica of the instance")
    .action((options: SharedOptions) => run(() => printStatus(createOptions(options))));
cli.command("plan <file>", "state an intent and get a plan; nothing changes")
    .action((file: string, options: SharedOptions) => run(() => printPlan(createOptions(options), file)));
cli.command("confirm <plan>", "confirm a plan and wait until it is in force")
    .action((plan: string, options: SharedOptions) => run(() => confirmPlan(createOptions(options), plan)));
cli.command("config <action> [from] [to]", "show | history | diff FROM TO")
    .action((action: string, from: string | undefined, to: string | undefined, options: SharedOptions) =>
        run(() => runConfiguration(createOptions(options), action, from, to))
    );
cli.command("upstreams", "upstreams as the instance sees them")
    .action((options: SharedOptions) => run(() => printUpstreams(createOptions(options))));
cli.command("voters [action] [name] [newName]", "list | add NAME | remove NAME | replace OLD NEW")
    .action((
        action: string | undefined,
        name: string | undefined,
        newName: string | undefined,
        options: SharedOptions,
    ) => run(() => runVoters(createOptions(options), action, name, newName)));
cli.command("drain", "begin the planned stop of the instance named by --at")
    .action((options: SharedOptions) => run(() => drainInstance(createOptions(options))));
cli.command("timeline <...files>", "merge logs of several processes in causal order")
    .option("--request <id>", "only this request")
    .option("--version-number <number>", "only this configuration version")
    .option("--instance <name>", "only this instance or peer")
    .option("--step <name>", "only this step")
    .option("--html <file>", "write one page with a lane for each instance")
    .action((files: string[], options: SharedOptions & TimelineFilter & { versionNumber?: string; }) =>
        run(() => {
            printTimeline(files, options);
        })
    );
cli.command("check <file>", "check a settings file without starting")
    .action((file: string) =>
        run(() => {
            checkSettings(file);
        })
    );
cli.help();
parse();

function parse(): void {
    try {
        cli.parse();
        if (cli.matchedCommand === undefined && cli.options.help !== true) {
            const found = cli.args[0] ?? "nothing";
            failWith(exitCodes.badInput, [`crankfork: found ${found}; expected a command, see crankfork --help`]);
        }
    }
    catch (error) {
        failWith(exitCodes.badInput, [`crankfork: ${error instanceof Error ? error.message : String(error)}`]);
    }
}

function run(action: () => Promise<void> | void): void {
    Promise.resolve().then(action).catch((error: unknown) => {
        if (error instanceof OperatorError) {
            const lines = [
                `${error.step} at ${error.peer}: ${error.message}`,
                ...error.details.map((line) => `  ${line}`),
            ];
            failWith(exitCodes.failed, [...lines, `next: ${error.next}`]);
        }
        failWith(exitCodes.failed, [error instanceof Error ? error.message : String(error)]);
    });
}

function createOptions(options: SharedOptions): CommandOptions {
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
            failWith(exitCodes.badInput, [`config: found ${action}; expected show, history or diff FROM TO`]);
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
        failWith(exitCodes.badInput, ["voters: expected list, add NAME, remove NAME or replace OLD NEW"]);
    }
}

function parseVersion(text: string | undefined): number {
    const version = Number(text);
    if (!Number.isInteger(version)) {
        failWith(exitCodes.badInput, [`config diff: found ${text ?? "nothing"}; expected two version numbers`]);
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
        failWith(exitCodes.badInput, [`${file}: found nothing to read; expected a TOML file (${reason})`]);
    }
    const checked = parseToml(settingsSchema, text, file);
    if (checked.kind === "invalid") {
        failWith(exitCodes.badInput, checked.faults);
    }
    process.stdout.write(`${file}: valid\n`);
}

function failWith(code: number, lines: readonly string[]): never {
    lines.forEach((line) => {
        process.stderr.write(`${line}\n`);
    });
    process.exit(code);
}
