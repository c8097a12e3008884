/**
 * Starts and ends processes: daemons and stand-ins, each by its own id.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import * as z from "zod";

const addressSchema = z.object({ address: z.string() });

const runningChildren = new Set<ChildProcess>();

/** Whatever ends this process, nothing that it started stays behind. */
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

/** A process that was started here. */
export class ManagedProcess {
    private constructor(readonly name: string, private readonly child: ChildProcess) {}

    /**
     * Starts a Node process.
     * @param name - for messages
     * @param script - the script
     * @param processArguments - its arguments
     * @param nodeFlags - flags of Node itself
     * @returns the process; its standard error goes to this one's
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

    /** Its process id. */
    get id(): number {
        return this.child.pid ?? 0;
    }

    /** Whether it still runs. */
    get isRunning(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    /**
     * Hands each line of its output on.
     * @param handle - called with each line
     */
    handleLines(handle: (line: string) => void): void {
        if (this.child.stdout !== null) {
            createInterface({ input: this.child.stdout }).on("line", handle);
        }
    }

    /**
     * Waits for a line of its output; call it before `handleLines` gets any.
     * @param parse - gives a value for the line that is waited for
     * @returns the value
     * @throws Error where the process ends before
     */
    waitForLine<Value>(parse: (line: string) => Value | undefined): Promise<Value> {
        return new Promise((resolve, reject) => {
            this.child.once("exit", () => {
                reject(new Error(`${this.name} ended before it was ready`));
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
     * Waits for its end.
     * @returns the exit code; undefined where a signal ended it
     */
    async waitForExit(): Promise<number | undefined> {
        if (this.isRunning) {
            await once(this.child, "exit");
        }
        return this.child.exitCode ?? undefined;
    }

    /** Ends it at once, as a crash would, and waits until it is gone. */
    async kill(): Promise<void> {
        if (this.isRunning) {
            this.child.kill("SIGKILL");
        }
        await this.waitForExit();
    }
}

/** A stand-in as a process. */
export interface StandIn {
    readonly process: ManagedProcess;
    readonly address: string;
}

/**
 * Starts a stand-in engine or service.
 * @param kind - which
 * @param settings - its settings
 * @returns the process and its address
 */
export async function startStandIn(kind: "engine" | "service", settings: object): Promise<StandIn> {
    const script = fileURLToPath(new URL(`../${kind}/main.js`, import.meta.url));
    const managed = ManagedProcess.start(kind, script, [JSON.stringify(settings)]);
    const { address } = await managed.waitForLine((line) => addressSchema.parse(JSON.parse(line)));
    return { process: managed, address };
}
