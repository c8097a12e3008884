#!/usr/bin/env node
/**
 * `crankforkd`: the command-line entry point of the daemon.
 */
import { intentSchema, parseToml, type Settings } from "@crankfork/schemas";
import cac from "cac";
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { Daemon } from "./process/daemon/daemon.js";
import { endProcess, EXIT_FAILED } from "./process/processFailures.js";
import { readSettings } from "./process/readSettings.js";

const EXIT_INVALID_SETTINGS = 2;

const cli = cac("crankforkd");
cli.command("", "run one instance").option("--settings <file>", "TOML file with the settings").action(run);
cli.help();
cli.parse();

async function run(options: { settings?: string; }): Promise<void> {
    if (options.settings === undefined) {
        fail(EXIT_INVALID_SETTINGS, ["crankforkd: found no settings; expected --settings FILE"]);
    }
    const checked = readSettings(options.settings);
    if (checked.kind === "invalid") {
        fail(EXIT_INVALID_SETTINGS, checked.faults);
    }
    const folder = dirname(resolve(options.settings));
    await startDaemon(resolvePaths(checked.value, folder));
}

async function startDaemon(settings: Settings): Promise<void> {
    const daemon = new Daemon(settings);
    daemon.watchFailures();
    try {
        await daemon.start();
        if (settings.instance.alone) {
            await daemon.startSingleInstance(readIntent(settings));
        }
    }
    catch (error) {
        endProcess("start-failed", error);
    }
    stopOnSignal(daemon);
}

/** The first signal shuts down gracefully; the second exits at once. */
function stopOnSignal(daemon: Daemon): void {
    let isStopping = false;
    const handle = (): void => {
        if (isStopping) {
            process.exit(EXIT_FAILED);
        }
        isStopping = true;
        daemon.stop().then(() => process.exit(0), (error: unknown) => endProcess("stop-failed", error));
    };
    process.on("SIGTERM", handle);
    process.on("SIGINT", handle);
}

/** Resolves relative paths in the settings against the folder of the settings file. */
function resolvePaths(settings: Settings, folder: string): Settings {
    const { instance, log } = settings;
    const resolveOptional = (path: string | undefined): string | undefined =>
        path === undefined ? undefined : resolve(folder, path);
    return {
        ...settings,
        instance: {
            ...instance,
            data_folder: resolveOptional(instance.data_folder),
            initial_intent: resolveOptional(instance.initial_intent),
        },
        log: { ...log, file: resolveOptional(log.file) },
    };
}

function readIntent(settings: Settings): ReturnType<typeof intentSchema.parse> | undefined {
    const file = settings.instance.initial_intent;
    if (file === undefined) {
        return undefined;
    }
    const checked = parseToml(intentSchema, readFileSync(file, "utf8"), file);
    if (checked.kind === "invalid") {
        fail(EXIT_INVALID_SETTINGS, checked.faults);
    }
    return checked.value;
}

function fail(code: number, lines: readonly string[]): never {
    lines.forEach((line) => {
        process.stderr.write(`${line}\n`);
    });
    process.exit(code);
}
