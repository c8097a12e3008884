/**
 * Injects the faults of a soak run from outside the processes: with signals, on disks and links, and as an operator.
 */
import { waitMs } from "@crankfork/daemon";
import { rmSync } from "node:fs";
import type { World } from "../harness/world.js";
import type { SoakFault } from "./faultSeries.js";
import type { SoakLink } from "./soakLink.js";
import { withTimeout } from "./withTimeout.js";

/** Processes and links into which faults are injected. */
export interface FaultInjectorOptions {
    readonly world: World;
    /** One link for each printer. */
    readonly proxies: readonly SoakLink[];
    readonly entryNames: readonly string[];
}

/** Injects faults, which may overlap. */
export class FaultInjector {
    /** Serialises the faults of each entry, since a process can't be killed while it is being started. */
    private readonly entryQueues = new Map<string, Promise<void>>();
    private newestConfirmed = 0;
    private changeCount = 0;

    /**
     * @param options - processes and links
     */
    constructor(private readonly options: FaultInjectorOptions) {}

    /** The newest configuration version whose confirmation an operator received. */
    get confirmedVersion(): number {
        return this.newestConfirmed;
    }

    /**
     * Injects a fault and waits until it is over.
     * @param fault - the fault
     */
    async inject({ kind, target, durationMs }: SoakFault): Promise<void> {
        const entry = this.options.entryNames[target % this.options.entryNames.length] ?? "";
        const printer = target % this.options.proxies.length;
        switch (kind) {
            case "kill-entry": {
                await this.enqueue(entry, () => this.restart(entry, durationMs));
                return;
            }
            case "stop-entry": {
                await this.enqueue(entry, () => this.stopAndStart(entry));
                return;
            }
            case "pause-entry": {
                await this.enqueue(entry, () => this.pauseProcess(entry, durationMs));
                return;
            }
            case "kill-all-entries":
                await Promise.all(
                    this.options.entryNames.map((name) => this.enqueue(name, () => this.restart(name, durationMs))),
                );
                return;
            case "lose-disk": // Only the last entry ever loses its disk, so that a quorum of disks remains.
            {
                await this.enqueue(this.options.entryNames.at(-1) ?? "", () => this.loseDisk(durationMs));
                return;
            }
            case "delay-link": {
                await this.changeLink(printer, { kind: "delayed", delayMs: durationMs / 4 }, durationMs);
                return;
            }
            case "one-way-link": {
                await this.changeLink(printer, { kind: "one-way" }, durationMs);
                return;
            }
            case "silent-link": {
                await this.changeLink(printer, { kind: "silent" }, durationMs);
                return;
            }
            case "reset-link":
                this.options.proxies[printer]?.reset();
                return;
            case "drop-answers": {
                await this.changePrinter(printer, { drop_answers: true }, durationMs);
                return;
            }
            case "decline-calls": {
                await this.changePrinter(printer, { not_run: true }, durationMs);
                return;
            }
            case "change-configuration": {
                await this.changeConfiguration(entry);
                return;
            }
        }
    }

    private async enqueue(entry: string, work: () => Promise<void>): Promise<void> {
        const before = this.entryQueues.get(entry) ?? Promise.resolve();
        const done = before.then(work);
        this.entryQueues.set(entry, done);
        await done;
    }

    private async restart(entry: string, downMs: number): Promise<void> {
        await this.options.world.cluster.get(entry).process.kill();
        await waitMs(downMs / 2);
        await this.options.world.cluster.restartEntry(entry);
    }

    private async stopAndStart(entry: string): Promise<void> {
        const { process } = this.options.world.cluster.get(entry);
        process.signal("SIGTERM");
        await process.waitForExit();
        await this.options.world.cluster.restartEntry(entry);
    }

    private async pauseProcess(entry: string, durationMs: number): Promise<void> {
        const { process } = this.options.world.cluster.get(entry);
        process.signal("SIGSTOP");
        await waitMs(durationMs);
        process.signal("SIGCONT");
    }

    private async loseDisk(downMs: number): Promise<void> {
        const name = this.options.entryNames.at(-1) ?? "";
        const entry = this.options.world.cluster.get(name);
        await entry.process.kill();
        rmSync(entry.dataFolder, { recursive: true, force: true });
        await waitMs(downMs / 2);
        await this.options.world.cluster.restartEntry(name);
    }

    private async changeLink(
        printer: number,
        link: Parameters<SoakLink["setLink"]>[0],
        durationMs: number,
    ): Promise<void> {
        const proxy = this.options.proxies[printer];
        proxy?.setLink(link);
        await waitMs(durationMs);
        proxy?.setLink({ kind: "sound" });
        // Bytes that the link dropped never arrive, and only a reset lets both ends notice that.
        proxy?.reset();
    }

    private async changePrinter(printer: number, faults: object, durationMs: number): Promise<void> {
        const name = `printer-${String(printer + 1)}`;
        await withTimeout(this.options.world.setFaults(name, faults)).catch(() => undefined);
        await waitMs(durationMs);
        await withTimeout(this.options.world.setFaults(name, {})).catch(() => undefined);
    }

    private async changeConfiguration(entry: string): Promise<void> {
        this.changeCount += 1;
        const { cluster } = this.options.world;
        const intent = this.options.world.createIntent({
            id: `change-${String(this.changeCount)}`,
            maxTokens: 100 + this.changeCount,
        });
        // A change without a response may or may not be in force; only confirmed versions have to persist.
        const version = await withTimeout(cluster.confirm(entry, intent)).catch(() => undefined);
        this.newestConfirmed = Math.max(this.newestConfirmed, version ?? 0);
    }
}
