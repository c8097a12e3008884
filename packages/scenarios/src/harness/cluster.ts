/**
 * A cluster of real `crankforkd` processes on loopback, for the demo, scenarios and benches.
 */
import { parseEvent } from "@crankfork/cli";
import { createHash } from "node:crypto";
import { appendFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { stringify } from "smol-toml";
import { request } from "undici";
import * as z from "zod";
import { ManagedProcess } from "./processes.js";

const requireHere = createRequire(import.meta.url);
const daemonScript = join(dirname(requireHere.resolve("@crankfork/daemon")), "main.js");

const addressesSchema = z.object({ callers: z.string(), operators: z.string(), peers: z.string() });
type Addresses = z.infer<typeof addressesSchema>;

/** How an entry is set up. */
export interface EntryOptions {
    readonly name: string;
    readonly hasDisk: boolean;
    readonly failureDomain?: string;
    /** More settings, by section. */
    readonly sections?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
}

/** One entry of a cluster. */
export interface Entry {
    readonly options: EntryOptions;
    process: ManagedProcess;
    addresses: Addresses;
    readonly logFile: string;
    readonly dataFolder: string;
}

/** An answer of a port. */
export interface PortAnswer {
    readonly status: number;
    readonly body: unknown;
}

const READY_LIMIT_MS = 15_000;
const POLL_MS = 25;

/** The secret of an organisation in tests. */
export function createSecret(organisation: string): string {
    return `secret-of-${organisation}`;
}

/** An organisation's row in an intent. */
export function createOrganisation(name: string, weight = 1): { name: string; weight: number; secret_sha256: string; } {
    return { name, weight, secret_sha256: createHash("sha256").update(createSecret(name)).digest("hex") };
}

/** Entries that know each other. */
export class Cluster {
    readonly folder = mkdtempSync(join(tmpdir(), "crankfork-"));
    readonly entries = new Map<string, Entry>();

    /**
     * Starts an entry.
     * @param options - its name and kind
     * @returns the entry, once it listens
     */
    async startEntry(options: EntryOptions): Promise<Entry> {
        const base = join(this.folder, options.name);
        mkdirSync(base, { recursive: true });
        const entry = {
            options,
            logFile: join(base, "events.log"),
            dataFolder: join(base, "data"),
            ...await this.startProcess(options, { callers: loopback, operators: loopback, peers: loopback }),
        };
        this.entries.set(options.name, entry);
        return entry;
    }

    /**
     * Starts an entry again that was ended, at its old addresses.
     * @param name - the entry
     */
    async restartEntry(name: string): Promise<void> {
        const entry = this.get(name);
        await entry.process.kill();
        const started = await this.startProcess(entry.options, entry.addresses);
        entry.process = started.process;
        entry.addresses = started.addresses;
    }

    /**
     * Gets an entry.
     * @param name - its name
     * @returns the entry
     */
    get(name: string): Entry {
        const entry = this.entries.get(name);
        if (entry === undefined) {
            throw new Error(`no entry ${name}`);
        }
        return entry;
    }

    /**
     * Founds the cluster at the first entry with a disk, and adds the others that have one.
     */
    async init(): Promise<void> {
        const [first, ...others] = [...this.entries.values()].filter((entry) => entry.options.hasDisk);
        if (first === undefined) {
            throw new Error("no entry has a disk");
        }
        await this.askOperators(first.options.name, "POST", "/v1/init");
        for (const { options } of others) {
            await this.waitFor(`${options.name} to become a voter`, async () => {
                const body = JSON.stringify({ action: "add", name: options.name });
                const answer = await this.askOperators(first.options.name, "POST", "/v1/voters", body);
                return answer.status === 200;
            });
        }
    }

    /**
     * States an intent and confirms its plan.
     * @param name - the entry to ask
     * @param intent - the intent
     * @returns the version in force
     */
    async confirm(name: string, intent: object): Promise<number> {
        const planned = await this.plan(name, intent);
        const confirmed = await this.askOperators(name, "POST", `/v1/plans/${planned}/confirm`);
        return z.object({ version: z.int() }).parse(getOk(confirmed)).version;
    }

    /**
     * States an intent.
     * @param name - the entry to ask
     * @param intent - the intent
     * @returns the id of its plan
     */
    async plan(name: string, intent: object): Promise<string> {
        const answer = await this.askOperators(name, "POST", "/v1/plans", JSON.stringify(intent));
        return z.object({ plan: z.object({ id: z.string() }) }).parse(getOk(answer)).plan.id;
    }

    /**
     * Asks the operators' port of an entry.
     * @param name - the entry
     * @param method - HTTP method
     * @param path - path
     * @param body - JSON
     * @returns status and parsed body
     */
    askOperators(name: string, method: "GET" | "POST", path: string, body?: string): Promise<PortAnswer> {
        return askPort(this.get(name).addresses.operators, method, path, body);
    }

    /** Waits until every running entry says that callers may come. */
    async waitReady(): Promise<void> {
        for (const entry of this.entries.values()) {
            if (entry.process.isRunning) {
                await this.waitFor(
                    `${entry.options.name} to be ready`,
                    async () => (await askPort(entry.addresses.callers, "GET", "/ready")).status === 200,
                );
            }
        }
    }

    /**
     * Waits until every running entry has a whole route for its models.
     * @param upstreams - how many engines must hold layers
     */
    async waitHolding(upstreams: number): Promise<void> {
        const schema = z.object({ upstreams: z.array(z.object({ holds: z.array(z.string()) })) });
        for (const entry of this.entries.values()) {
            if (entry.process.isRunning) {
                await this.waitFor(
                    `${entry.options.name} to see ${String(upstreams)} engines hold layers`,
                    async () => {
                        const { body } = await this.askOperators(entry.options.name, "GET", "/v1/upstreams");
                        const rows = schema.parse(body).upstreams;
                        return rows.filter((row) => row.holds.length > 0).length >= upstreams;
                    },
                );
            }
        }
    }

    /**
     * Waits for something that is asked again and again.
     * @param what - for the message where it does not come
     * @param ask - whether it is there
     */
    async waitFor(what: string, ask: () => Promise<boolean>): Promise<void> {
        const deadline = performance.now() + READY_LIMIT_MS;
        for (;;) {
            const isThere = await ask().catch(() => false);
            if (isThere) {
                return;
            }
            if (performance.now() > deadline) {
                throw new Error(`waited in vain for ${what}`);
            }
            await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        }
    }

    /** Ends all entries and removes their files. */
    async close(): Promise<void> {
        await Promise.all([...this.entries.values()].map((entry) => entry.process.kill()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async startProcess(
        options: EntryOptions,
        ports: Addresses,
    ): Promise<{ process: ManagedProcess; addresses: Addresses; }> {
        const base = join(this.folder, options.name);
        const settingsFile = join(base, "settings.toml");
        writeFileSync(settingsFile, stringify(this.createSettings(options, ports)));
        const managed = ManagedProcess.start(options.name, daemonScript, ["--settings", settingsFile]);
        const logFile = join(base, "events.log");
        managed.handleLines((line) => {
            appendFileSync(logFile, `${line}\n`);
        });
        const addresses = await managed.waitForLine((line) => {
            const event = parseEvent(line);
            return event?.event === "listening" ? addressesSchema.parse(event.fields) : undefined;
        });
        return { process: managed, addresses };
    }

    private createSettings(options: EntryOptions, ports: Addresses): object {
        const sections = options.sections ?? {};
        return {
            ...sections,
            instance: {
                id: options.name,
                failure_domain: options.failureDomain ?? "local",
                ...(options.hasDisk ? { data_folder: "data" } : {}),
                ...sections.instance,
            },
            ports,
            peers: { addresses: [...this.entries.values()].map((entry) => entry.addresses.peers) },
        };
    }
}

const loopback = "127.0.0.1:0";

/**
 * Asks a port for JSON.
 * @param address - the port
 * @param method - HTTP method
 * @param path - path
 * @param body - JSON
 * @param headers - more headers
 * @returns status and parsed body
 */
export async function askPort(
    address: string,
    method: "GET" | "POST",
    path: string,
    body?: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<PortAnswer> {
    const response = await request(`http://${address}${path}`, {
        method,
        headers: { "content-type": "application/json", ...headers },
        body: body ?? null,
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) };
}

function getOk(answer: PortAnswer): unknown {
    if (answer.status !== 200) {
        throw new Error(`status ${String(answer.status)}: ${JSON.stringify(answer.body)}`);
    }
    return answer.body;
}
