/**
 * Starts entries and voters with the commands of deploy/system.toml, each on a loopback address of its own, and speaks
 * to them as the platform and the operator do.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CaseRecord, NOT_RUN, waitMs, waitUntil } from "./record.js";
import { BOUNDS, fillSettings, HEARTBEAT_MS } from "./settings.js";

const PROGRAM = "target/crankfork.cjs";
/** The words of `run` in deploy/system.toml between `node` and the role. */
const PROGRAM_WORDS = ["--max-old-space-size=200", PROGRAM];
/** A caller of `control` moves on after a second without a response. */
const CONTROL_TIMEOUT_MS = 1_000;

/** An answer on the port of operators and workers. */
export interface ControlAnswer {
    readonly status: number;
    readonly body: string;
    readonly location: string | undefined;
}

/** Ports, the same on every address. */
export interface Ports {
    readonly front: number;
    readonly ready: number;
    readonly control: number;
    readonly internal: number;
    readonly metrics: number;
    /** For stand-ins of workers, on addresses of their own. */
    readonly worker: number;
}

/** One process of the system. */
export class Machine {
    private child: ChildProcess | undefined;

    constructor(
        readonly name: string,
        readonly role: "entry" | "voter",
        readonly host: string,
        private readonly settingsFile: string,
        private readonly logFile: string,
    ) {}

    /** Whether the process runs. */
    get isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Starts the process. */
    start(): void {
        const child = spawn("node", [...PROGRAM_WORDS, this.role, "--settings", this.settingsFile], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(this.logFile, { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        this.child = child;
    }

    /** Sends a signal to the process. */
    signal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /** Ends the process. */
    async end(): Promise<void> {
        this.signal("SIGKILL");
        await waitUntil(`end of ${this.name}`, () => !this.isRunning, 5_000);
    }
}

/** Entries and voters. */
export class Fleet {
    readonly voters: Machine[] = [];
    readonly entries: Machine[] = [];

    private constructor(
        readonly subnet: string,
        readonly ports: Ports,
        private readonly folder: string,
        private readonly record: CaseRecord,
    ) {}

    /** Starts a fleet; its voters tolerate the loss of less than half of them. */
    static async open(record: CaseRecord, voters: number, entries: number): Promise<Fleet> {
        if (!existsSync(PROGRAM)) {
            throw new Error(`${PROGRAM} is missing; run: npm run bundle`);
        }
        const folder = mkdtempSync(join(tmpdir(), "crankfork-review-"));
        const subnet = `127.${String(30 + Math.floor(Math.random() * 200))}.${String(Math.floor(Math.random() * 250))}`;
        const fleet = new Fleet(subnet, await findPorts(subnet), folder, record);
        for (let at = 0; at < voters + entries; at += 1) {
            fleet.addMachine(at < voters ? "voter" : "entry", at, voters);
        }
        [...fleet.voters, ...fleet.entries].forEach((machine) => {
            machine.start();
        });
        record.write(`started ${String(voters)} voters and ${String(entries)} entries on ${subnet}.*`);
        return fleet;
    }

    /** Ends all processes and removes their files. */
    async close(): Promise<void> {
        await Promise.all([...this.voters, ...this.entries].map((machine) => machine.end()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Sends one call to one voter. */
    async callVoter({ host }: Machine, method: string, path: string, body?: object): Promise<ControlAnswer> {
        return await callControl(`http://${host}:${String(this.ports.control)}${path}`, method, body);
    }

    /** Sends a call to the voters in turn, follows 307 twice, until one answers with a 2xx or 4xx. */
    async callControl(method: string, path: string, body?: object): Promise<ControlAnswer> {
        for (;;) {
            for (const voter of this.voters) {
                const answer = await this.follow(voter, method, path, body);
                if (answer !== undefined && answer.status < 500) {
                    return answer;
                }
            }
            await waitMs(100);
        }
    }

    /** Puts a configuration until it is acknowledged. */
    async putConfiguration(document: { readonly version: number; }): Promise<void> {
        const answer = await this.callControl("PUT", "/configuration", document);
        this.record.write(
            `operator: PUT /configuration version ${String(document.version)} -> ${String(answer.status)}`,
        );
        if (answer.status !== 200) {
            throw new Error(`configuration not acknowledged: ${String(answer.status)} ${answer.body}`);
        }
    }

    /** Waits until an entry answers 200 at its `ready` address. */
    async waitUntilReady(entry: Machine): Promise<void> {
        await waitUntil(`${entry.name} ready`, async () => {
            const url = `http://${entry.host}:${String(this.ports.ready)}/readiness`;
            const answer = await callControl(url, "GET").catch(() => undefined);
            return answer?.status === 200;
        });
        this.record.write(`${entry.name} is ready`);
    }

    private async follow(
        voter: Machine,
        method: string,
        path: string,
        body: object | undefined,
    ): Promise<ControlAnswer | undefined> {
        try {
            let answer = await this.callVoter(voter, method, path, body);
            for (let hop = 0; hop < 2 && answer.status === 307 && answer.location !== undefined; hop += 1) {
                answer = await callControl(answer.location, method, body);
            }
            return answer.status === 307 ? undefined : answer;
        }
        catch {
            // The voter is down or silent; the caller moves on to another one.
            return undefined;
        }
    }

    private addMachine(role: "entry" | "voter", at: number, voters: number): void {
        const { subnet, ports, folder } = this;
        const getHost = (number: number): string => `${subnet}.${String(10 + number)}`;
        const host = getHost(at);
        const name = `${role}-${String(at + 1)}`;
        const isVoter = role === "voter";
        const file = join(folder, `${name}.toml`);
        writeFileSync(
            file,
            fillSettings({
                node_name: name,
                ip: host,
                zone: "zone-a",
                internal_port_range: [ports.internal, ports.internal + 15],
                seeds: Array.from(
                    { length: Math.min(3, voters) },
                    (_unused, number) => `${getHost(number)}:${String(ports.control)}`,
                ),
                bootstrap: true,
                heartbeat_interval_ms: HEARTBEAT_MS,
                listen: isVoter
                    ? { control: `${host}:${String(ports.control)}` }
                    : { front: `${host}:${String(ports.front)}`, ready: `${host}:${String(ports.ready)}` },
                limits: { link_mbps: 1_000, memory_mb: 350 },
                tolerance: { machines: Math.floor((voters - 1) / 2) },
                bounds: BOUNDS,
                ...(isVoter ? { data_directory: join(folder, name) } : {}),
                // The template has a fixed port here, which may be in use on this machine.
            }).replace(/^metrics_port = \d+$/m, `metrics_port = ${String(ports.metrics)}`),
        );
        (isVoter ? this.voters : this.entries).push(
            new Machine(name, role, host, file, join(folder, `${name}.log`)),
        );
    }
}

/** Runs a case: exits with what it returns, or with 2 where it could not run, after all processes were ended. */
export async function runCase(
    recordFile: string,
    play: (record: CaseRecord, cleanUps: (() => Promise<void> | void)[]) => Promise<number>,
): Promise<void> {
    const record = new CaseRecord(recordFile);
    const cleanUps: (() => Promise<void> | void)[] = [];
    const finish = async (code: number): Promise<void> => {
        for (const cleanUp of cleanUps.splice(0).reverse()) {
            await cleanUp();
        }
        record.write(`exit ${String(code)}`);
        process.exit(code);
    };
    const giveUp = (error: unknown): void => {
        const text = error instanceof Error ? error.stack ?? error.message : String(error);
        record.write(`the case could not run: ${text}`);
        void finish(NOT_RUN);
    };
    process.once("SIGTERM", () => {
        giveUp("stopped from outside");
    });
    process.once("uncaughtException", giveUp);
    try {
        await finish(await play(record, cleanUps));
    }
    catch (error) {
        giveUp(error);
    }
}

/** Sends a call with a JSON body. */
export function callControl(url: string, method: string, body?: object): Promise<ControlAnswer> {
    return new Promise((resolve, reject) => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const headers = text === undefined
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
        const call = request(url, { method, headers, agent: false, timeout: CONTROL_TIMEOUT_MS }, (response) => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", reject);
            response.on("end", () => {
                const { location } = response.headers;
                resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString(), location });
            });
        });
        call.on("timeout", () => call.destroy(new Error("no answer within a second")));
        call.on("error", reject);
        call.end(text);
    });
}

/** Finds port numbers that are free on an address of the subnet. */
async function findPorts(subnet: string): Promise<Ports> {
    const find = (): Promise<number> =>
        new Promise((resolve, reject) => {
            const server = createServer();
            server.on("error", reject);
            server.listen(0, `${subnet}.9`, () => {
                const address = server.address();
                const port = typeof address === "object" && address !== null ? address.port : 0;
                server.close(() => {
                    resolve(port);
                });
            });
        });
    const [front, ready, control, metrics, worker] = [
        await find(),
        await find(),
        await find(),
        await find(),
        await find(),
    ];
    // The first of a range of 16.
    const internal = Math.min(await find(), 65_000);
    return { front, ready, control, internal, metrics, worker };
}
