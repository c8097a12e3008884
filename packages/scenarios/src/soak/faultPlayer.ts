/**
 * Plays the faults of a soak run from outside the processes: signals, disks, links and the operator.
 */
import { waitMs } from "@crankfork/daemon";
import { rmSync } from "node:fs";
import type { World } from "../harness/world.js";
import type { SoakFault } from "./faultSeries.js";
import type { SoakLink } from "./soakLink.js";
import { waitWithin } from "./waitWithin.js";

/** What faults are played on. */
export interface FaultPlayerOptions {
    readonly world: World;
    /** One before each printer. */
    readonly proxies: readonly SoakLink[];
    readonly entryNames: readonly string[];
}

/** Plays faults; they may overlap. */
export class FaultPlayer {
    /** What is done to one entry comes one after another: a process can't be killed while it is being started. */
    private readonly entryWork = new Map<string, Promise<void>>();
    private confirmed = 0;
    private changes = 0;

    /**
     * @param options - processes and links
     */
    constructor(private readonly options: FaultPlayerOptions) {}

    /** The newest version that an operator was told to be confirmed. */
    get confirmedVersion(): number {
        return this.confirmed;
    }

    /**
     * Plays a fault to its end.
     * @param fault - what happens, where and for how long
     */
    async play({ kind, target, forMs }: SoakFault): Promise<void> {
        const entry = this.options.entryNames[target % this.options.entryNames.length] ?? "";
        const printer = target % this.options.proxies.length;
        switch (kind) {
            case "kill-entry": {
                await this.workOn(entry, () => this.restart(entry, forMs));
                return;
            }
            case "stop-entry": {
                await this.workOn(entry, () => this.stopAndStart(entry));
                return;
            }
            case "pause-entry": {
                await this.workOn(entry, () => this.pause(entry, forMs));
                return;
            }
            case "kill-all-entries":
                await Promise.all(
                    this.options.entryNames.map((name) => this.workOn(name, () => this.restart(name, forMs))),
                );
                return;
            case "lose-disk": // A quorum of disks has to stay: only the last entry ever loses its own.
            {
                await this.workOn(this.options.entryNames.at(-1) ?? "", () => this.loseDisk(forMs));
                return;
            }
            case "delay-link": {
                await this.changeLink(printer, { kind: "delayed", delayMs: forMs / 4 }, forMs);
                return;
            }
            case "one-way-link": {
                await this.changeLink(printer, { kind: "one-way" }, forMs);
                return;
            }
            case "silent-link": {
                await this.changeLink(printer, { kind: "silent" }, forMs);
                return;
            }
            case "reset-link":
                this.options.proxies[printer]?.reset();
                return;
            case "drop-answers": {
                await this.changePrinter(printer, { drop_answers: true }, forMs);
                return;
            }
            case "decline-calls": {
                await this.changePrinter(printer, { not_run: true }, forMs);
                return;
            }
            case "change-configuration": {
                await this.changeConfiguration(entry);
                return;
            }
        }
    }

    private async workOn(entry: string, work: () => Promise<void>): Promise<void> {
        const before = this.entryWork.get(entry) ?? Promise.resolve();
        const done = before.then(work);
        this.entryWork.set(entry, done);
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

    private async pause(entry: string, forMs: number): Promise<void> {
        const { process } = this.options.world.cluster.get(entry);
        process.signal("SIGSTOP");
        await waitMs(forMs);
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
        forMs: number,
    ): Promise<void> {
        const proxy = this.options.proxies[printer];
        proxy?.setLink(link);
        await waitMs(forMs);
        proxy?.setLink({ kind: "sound" });
        // What a link swallowed never arrives; its connections have to end for anybody to notice.
        proxy?.reset();
    }

    private async changePrinter(printer: number, faults: object, forMs: number): Promise<void> {
        const name = `printer-${String(printer + 1)}`;
        await waitWithin(this.options.world.setFaults(name, faults)).catch(() => undefined);
        await waitMs(forMs);
        await waitWithin(this.options.world.setFaults(name, {})).catch(() => undefined);
    }

    private async changeConfiguration(entry: string): Promise<void> {
        this.changes += 1;
        const { cluster } = this.options.world;
        const intent = this.options.world.createIntent({
            id: `change-${String(this.changes)}`,
            maxTokens: 100 + this.changes,
        });
        // A change without an answer may be in force or not; only what was confirmed has to stay.
        const version = await waitWithin(cluster.confirm(entry, intent)).catch(() => undefined);
        this.confirmed = Math.max(this.confirmed, version ?? 0);
    }
}
