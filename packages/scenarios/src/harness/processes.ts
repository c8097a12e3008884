/**
 * Starts and ends child processes, which are daemons and stand-ins; signals go to one process id each.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import * as z from "zod";

const addressSchema = z.object({ address: z.string() });

const runningChildren = new Set<ChildProcess>();

/** Kills all child processes when this process exits, whatever the reason. */
process.on("exit", () => {
    runningChildren.forEach((child) => {
        child.kill("SIGKILL");
    });
});
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
        process.exit(1);
    });
}

/** A Node child process. */
export class ManagedProcess {
    private constructor(readonly name: string, private readonly child: ChildProcess) {}

    /**
     * Starts a Node process.
     * @param name - name for error messages
     * @param script - path of the script
     * @param processArguments - arguments of the script
     * @param nodeFlags - flags of Node itself
     * @returns the process; it inherits standard error
     */
    static start(
        name: string,
        script: string,
        processArguments: readonly string[],
        nodeFlags: readonly string[] = [],
    ): ManagedProcess {
        const child = spawn(process.execPath, [...nodeFlags, script, ...processArguments], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        runningChildren.add(child);
        child.once("exit", () => runningChildren.delete(child));
        return new ManagedProcess(name, child);
    }

    /** Process id; 0 if the process could not be spawned. */
    get id(): number {
        return this.child.pid ?? 0;
    }

    get isRunning(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    /**
     * Subscribes to the lines of standard output.
     * @param handle - called with each line
     */
    handleLines(handle: (line: string) => void): void {
        if (this.child.stdout !== null) {
            createInterface({ input: this.child.stdout }).on("line", handle);
        }
    }

    /**
     * Waits for a line of standard output; call it before the process writes that line.
     * @param parse - returns a value for the expected line, and undefined for others
     * @returns the value
     * @throws Error if the process exits first
     */
    waitForLine<Value>(parse: (line: string) => Value | undefined): Promise<Value> {
        return new Promise((resolve, reject) => {
            this.child.once("exit", () => {
                reject(new Error(`${this.name} exited before it was ready`));
            });
            this.handleLines((line) => {
                const value = parse(line);
                if (value !== undefined) {
                    resolve(value);
                }
            });
        });
    }

    /**
     * Sends a signal.
     * @param signal - the signal
     */
    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /**
     * Waits until the process has exited.
     * @returns the exit code; undefined if a signal ended the process
     */
    async waitForExit(): Promise<number | undefined> {
        if (this.isRunning) {
            await once(this.child, "exit");
        }
        return this.child.exitCode ?? undefined;
    }

    /** Kills the process with SIGKILL, as a crash would, and waits until it has exited. */
    async kill(): Promise<void> {
        if (this.isRunning) {
            this.child.kill("SIGKILL");
        }
        await this.waitForExit();
    }
}

/** A stand-in that runs as a process. */
export interface StandIn {
    readonly process: ManagedProcess;
    readonly address: string;
}

/**
 * Starts a stand-in engine or service.
 * @param kind - kind of stand-in
 * @param settings - settings of the stand-in
 * @returns the process and its address
 */
export async function startStandIn(kind: "engine" | "service", settings: object): Promise<StandIn> {
    const script = fileURLToPath(new URL(`../${kind}/main.js`, import.meta.url));
    const managed = ManagedProcess.start(kind, script, [JSON.stringify(settings)]);
    const { address } = await managed.waitForLine((line) => addressSchema.parse(JSON.parse(line)));
    return { process: managed, address };
}
