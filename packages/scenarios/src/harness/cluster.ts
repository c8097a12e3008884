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

/** Configuration of an entry. */
export interface EntryOptions {
    readonly name: string;
    readonly hasDisk: boolean;
    readonly failureDomain?: string;
    /** Additional settings, by section. */
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

/** Status and parsed body of an HTTP response. */
export interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
}

const WAIT_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 25;

/** Returns the secret that an organisation uses in tests. */
export function createSecret(organisation: string): string {
    return `secret-of-${organisation}`;
}

/** Creates an organisation's row for an intent. */
export function createOrganisation(name: string, weight = 1): { name: string; weight: number; secret_sha256: string; } {
    return { name, weight, secret_sha256: createHash("sha256").update(createSecret(name)).digest("hex") };
}

/** A set of entries that are configured as peers of each other. */
export class Cluster {
    private static count = 0;
    readonly folder = mkdtempSync(join(tmpdir(), "crankfork-"));
    /** Tells the clusters of a process apart. */
    private readonly number = Cluster.count++ % 250;
    readonly entries = new Map<string, Entry>();

    /**
     * Starts an entry.
     * @param options - configuration of the entry
     * @returns the entry, once it listens
     */
    async startEntry(options: EntryOptions): Promise<Entry> {
        const instanceFolder = join(this.folder, options.name);
        mkdirSync(instanceFolder, { recursive: true });
        const anyPort = this.createHost(this.entries.size);
        const entry = {
            options,
            logFile: join(instanceFolder, "events.log"),
            dataFolder: join(instanceFolder, "data"),
            ...await this.startProcess(options, {
                callers: anyPort,
                operators: anyPort,
                peers: anyPort,
            }),
        };
        this.entries.set(options.name, entry);
        return entry;
    }

    /**
     * Kills an entry if it still runs, and starts it again at the same addresses.
     * @param name - name of the entry
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
     * @param name - name of the entry
     * @returns the entry
     * @throws Error if there is no such entry
     */
    get(name: string): Entry {
        const entry = this.entries.get(name);
        if (entry === undefined) {
            throw new Error(`the cluster has no entry named ${name}`);
        }
        return entry;
    }

    /**
     * Bootstraps the cluster at the first entry with a disk, and adds the other entries with a disk as voters.
     */
    async init(): Promise<void> {
        const [first, ...others] = [...this.entries.values()].filter((entry) => entry.options.hasDisk);
        if (first === undefined) {
            throw new Error("cannot bootstrap the cluster: no entry has a disk");
        }
        await this.callOperatorApi(first.options.name, "POST", "/v1/init");
        for (const { options } of others) {
            await this.waitUntil(`${options.name} to become a voter`, async () => {
                const body = JSON.stringify({ action: "add", name: options.name });
                const answer = await this.callOperatorApi(first.options.name, "POST", "/v1/voters", body);
                return answer.status === 200;
            });
        }
    }

    /**
     * Submits an intent and confirms its plan.
     * @param name - entry that receives the requests
     * @param intent - the intent
     * @returns the configuration version that is now in force
     */
    async confirm(name: string, intent: object): Promise<number> {
        const planned = await this.plan(name, intent);
        const confirmed = await this.callOperatorApi(name, "POST", `/v1/plans/${planned}/confirm`);
        return z.object({ version: z.int() }).parse(getSuccessfulBody(confirmed)).version;
    }

    /**
     * Submits an intent.
     * @param name - entry that receives the request
     * @param intent - the intent
     * @returns the id of its plan
     */
    async plan(name: string, intent: object): Promise<string> {
        const answer = await this.callOperatorApi(name, "POST", "/v1/plans", JSON.stringify(intent));
        return z.object({ plan: z.object({ id: z.string() }) }).parse(getSuccessfulBody(answer)).plan.id;
    }

    /**
     * Sends a request to the operators' port of an entry.
     * @param name - name of the entry
     * @param method - HTTP method
     * @param path - request path
     * @param body - JSON body
     * @returns status and parsed body
     */
    callOperatorApi(name: string, method: "GET" | "POST", path: string, body?: string): Promise<JsonResponse> {
        return requestJson(this.get(name).addresses.operators, method, path, body);
    }

    /** Waits until every running entry reports that it is ready to serve callers. */
    async waitUntilReady(): Promise<void> {
        for (const entry of this.entries.values()) {
            if (entry.process.isRunning) {
                await this.waitUntil(
                    `${entry.options.name} to be ready`,
                    async () => (await requestJson(entry.addresses.callers, "GET", "/ready")).status === 200,
                );
            }
        }
    }

    /**
     * Waits until every running entry sees enough engines with loaded layers.
     * @param upstreams - number of engines that must hold layers
     */
    async waitUntilLoaded(upstreams: number): Promise<void> {
        const schema = z.object({ upstreams: z.array(z.object({ holds: z.array(z.string()) })) });
        for (const entry of this.entries.values()) {
            if (entry.process.isRunning) {
                await this.waitUntil(
                    `${entry.options.name} to see ${String(upstreams)} engines hold layers`,
                    async () => {
                        const { body } = await this.callOperatorApi(entry.options.name, "GET", "/v1/upstreams");
                        const rows = schema.parse(body).upstreams;
                        return rows.filter((row) => row.holds.length > 0).length >= upstreams;
                    },
                );
            }
        }
    }

    /**
     * Polls a condition until it is met; a check that fails counts as not met.
     * @param description - the condition, for the error message
     * @param check - tells whether the condition is met
     * @throws Error if the condition is not met in time
     */
    async waitUntil(description: string, check: () => Promise<boolean>): Promise<void> {
        const deadline = performance.now() + WAIT_TIMEOUT_MS;
        for (;;) {
            const isMet = await check().catch(() => false);
            if (isMet) {
                return;
            }
            if (performance.now() > deadline) {
                throw new Error(`timed out after ${String(WAIT_TIMEOUT_MS)} ms waiting for ${description}`);
            }
            await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
        }
    }

    /** Kills all entries and removes their files. */
    async close(): Promise<void> {
        await Promise.all([...this.entries.values()].map((entry) => entry.process.kill()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    /**
     * Each entry has a loopback address of its own. Connections from any process come from 127.0.0.1, and would take the ports of an
     * entry there while it is down.
     */
    private createHost(entry: number): string {
        const subnet = process.pid % 250 + 1;
        return `127.${String(subnet)}.${String(this.number)}.${String(entry + 1)}:0`;
    }

    private async startProcess(
        options: EntryOptions,
        ports: Addresses,
    ): Promise<{ process: ManagedProcess; addresses: Addresses; }> {
        const instanceFolder = join(this.folder, options.name);
        const settingsFile = join(instanceFolder, "settings.toml");
        writeFileSync(settingsFile, stringify(this.createSettings(options, ports)));
        const managed = ManagedProcess.start(options.name, daemonScript, ["--settings", settingsFile]);
        const logFile = join(instanceFolder, "events.log");
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

/**
 * Sends a JSON request.
 * @param address - host and port
 * @param method - HTTP method
 * @param path - request path
 * @param body - JSON body
 * @param headers - additional headers
 * @returns status and parsed body
 */
export async function requestJson(
    address: string,
    method: "GET" | "POST",
    path: string,
    body?: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
    const response = await request(`http://${address}${path}`, {
        method,
        headers: { "content-type": "application/json", ...headers },
        body: body ?? null,
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) };
}

function getSuccessfulBody(answer: JsonResponse): unknown {
    if (answer.status !== 200) {
        throw new Error(`expected status 200, got ${String(answer.status)}: ${JSON.stringify(answer.body)}`);
    }
    return answer.body;
}
