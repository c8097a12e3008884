import { FleetState, type Folder } from "@crankfork/coordination";
import { type FleetCommand, formatIncarnationId, type RoutingTable } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EventLog } from "../src/process/eventLog.js";
import { createRateLimitedLog } from "../src/process/rateLimitedLog.js";
import { ReplicaHost } from "../src/process/replicaHost.js";
import { DocumentStore } from "../src/process/voter/documentStore.js";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { type UpstreamHeartbeat, UpstreamRegistry } from "../src/process/voter/upstreamRegistry.js";
import { noRollout } from "./configurationFakes.js";
import type { InstalledClock } from "./installedClock.js";
import { noLimits } from "./limitFakes.js";

const silentLog: EventLog = { record: () => undefined };
const limits = { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
const createTable = (version: number): RoutingTable => ({ version, routes: [], services: [], limits });
const createHeartbeat = (
    id: string,
    sequence: number,
    status: UpstreamHeartbeat["status"] = "ready",
    address: string = id,
): UpstreamHeartbeat => ({ facts: { id, service: "s", address, failure_domain: "d", slots: 1 }, status, sequence });

function createStarted(name: string, startedAtMs: number): UpstreamHeartbeat {
    const incarnation = { name, started_at_ms: startedAtMs };
    const heartbeat = createHeartbeat(formatIncarnationId(incarnation), 1, "ready", "a");
    return { ...heartbeat, facts: { ...heartbeat.facts, life: incarnation } };
}

interface OpenVoter {
    readonly host: FleetReplicaHost;
    readonly document: DocumentStore;
    readonly upstreams: UpstreamRegistry;
    readonly close: () => Promise<void>;
}

/** Opens a single-node voter on a real disk. */
async function openVoter(folder?: string): Promise<OpenVoter & { readonly folder: string; }> {
    const path = folder ?? await mkdtemp(join(tmpdir(), "crankfork-voter-"));
    const self = { id: "founder.one", address: "one" };
    const host = await ReplicaHost.start<FleetState, FleetCommand>({
        instance: "one",
        folder: path,
        address: "one",
        heartbeatMs: 10,
        minElectionTimeoutMs: 40,
        snapshotThreshold: 5,
        createState: () => new FleetState(),
        stampCommand: (command) => command,
        founding: { cluster: "c", founders: [self] },
        random: Math.random,
        send: () => undefined,
        record: () => undefined,
        handleStateChange: () => undefined,
    });
    while (!host.replica.hasLeaderLease()) {
        await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const options = {
        host,
        log: silentLog,
        getNowMs: () => performance.now(),
        heartbeatMs: 1_000,
        isServiceNamed: () => true,
        awaitReplacements: () => Promise.resolve(true),
    };
    const document = new DocumentStore(options);
    const upstreams = new UpstreamRegistry(options);
    return {
        host,
        document,
        upstreams,
        folder: path,
        close: async () => {
            host.stop();
            // A write in progress may still complete.
            await rm(path, { recursive: true, force: true, maxRetries: 10, retryDelay: 20 });
        },
    };
}

describe("a voter with a new disk answers messages to its predecessor at the address", () => {
    const position = { term: 2, last_index: 1, last_term: 1 };
    const rows = [
        {
            title: "with a pre-vote answer that it no longer leads",
            message: { kind: "pre-vote", ...position, round_ms: 7 },
            answers: 1,
        },
        {
            title: "but not with a vote",
            message: { kind: "vote", ...position, is_transfer: false },
            answers: 0,
        },
    ] as const;
    for (const { title, message, answers } of rows) {
        it(title, async () => {
            const { host, close } = await openVoter();
            const from = { id: "candidate", address: "two" };
            const told = await host.receive({ cluster: "c", from, to: "founder.former", message });
            await close();
            expect(told.map((one) => [one.from.id, one.to])).to.deep.equal(
                answers === 0 ? [] : [["founder.former", "candidate"]],
            );
            told.forEach(({ message: answer }) => {
                expect(answer).to.include({ kind: "pre-vote-answer", is_granted: false, round_ms: 7 });
                expect(answer.kind === "pre-vote-answer" && answer.new_life?.is_up_to_date).to.equal(false);
            });
        });
    }
});

describe("a voter acknowledges changes that a quorum has committed", () => {
    const rows: readonly {
        readonly title: string;
        readonly beats: readonly UpstreamHeartbeat[];
        readonly held: Record<string, string>;
    }[] = [
        { title: "a new upstream", beats: [createHeartbeat("u", 1)], held: { u: "ready" } },
        {
            title: "leaving",
            beats: [createHeartbeat("u", 1), createHeartbeat("u", 2, "leaving")],
            held: { u: "leaving" },
        },
        {
            title: "a delayed older heartbeat",
            beats: [createHeartbeat("u", 5, "leaving"), createHeartbeat("u", 4)],
            held: { u: "leaving" },
        },
        {
            title: "another upstream that started later, at the same address",
            beats: [createStarted("old", 1), createStarted("new", 2)],
            held: { "new@2": "ready" },
        },
        {
            title: "another upstream without a start time, at the address of one that was just heard",
            beats: [createHeartbeat("old", 1, "ready", "a"), createHeartbeat("new", 1, "ready", "a")],
            held: { old: "ready" },
        },
    ];
    for (const { title, beats, held } of rows) {
        it(title, async () => {
            const { upstreams, host, close } = await openVoter();
            for (const beat of beats) {
                expect((await upstreams.registerUpstream(beat)).kind).to.equal("done");
            }
            const found = Object.fromEntries(host.state.listUpstreams().map((one) => [one.id, one.status]));
            await close();
            expect(found).to.deep.equal(held);
        });
    }

    it("a delayed heartbeat does not register a removed upstream again", async () => {
        const { upstreams, host, close } = await openVoter();
        await upstreams.registerUpstream(createHeartbeat("u", 1));
        await upstreams.removeUpstream("u");
        await upstreams.registerUpstream(createHeartbeat("u", 2));
        const count = host.state.listUpstreams().length;
        await close();
        expect(count).to.equal(0);
    });

    it("the highest document version wins, and lower ones are acknowledged", async () => {
        const { document, close } = await openVoter();
        const kinds = [];
        for (const [version, content] of [[3, "three"], [2, "two"], [3, "other"], [9, "nine"]] as const) {
            kinds.push((await document.commitDocument(createTable(version), content)).kind);
        }
        const newest = document.getNewestDocument();
        await close();
        expect(kinds).to.deep.equal(["done", "done", "done", "done"]);
        expect(newest).to.deep.equal({ kind: "done", value: "nine" });
    });

    it("acknowledged changes survive a crash, with and without a snapshot", async () => {
        const first = await openVoter();
        for (let version = 1; version <= 12; version += 1) {
            const { kind } = await first.document.commitDocument(createTable(version), { version });
            expect(kind).to.equal("done");
        }
        await first.upstreams.registerUpstream(createHeartbeat("u", 1));
        first.host.stop();
        // Unlike after a crash, this process continues, and could read a snapshot that is still being written.
        await first.host.awaitWritten();
        const second = await openVoter(first.folder);
        const newest = second.document.getNewestDocument();
        const upstreams = second.host.state.listUpstreams().map((one) => one.id);
        await second.close();
        expect(newest).to.deep.equal({ kind: "done", value: { version: 12 } });
        expect(upstreams).to.deep.equal(["u"]);
    });

    it("a voter without a quorum acknowledges nothing", async () => {
        const { document, upstreams, host, close } = await openVoter();
        host.stop();
        const results = [
            (await document.commitDocument(createTable(1), {})).kind,
            (await upstreams.registerUpstream(createHeartbeat("u", 1))).kind,
            (await upstreams.removeUpstream("u")).kind,
            document.getNewestDocument().kind,
        ];
        const entries = new EntryRegistry({
            host,
            getNowMs: () => 0,
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        const told = await entries.synchronise({ instance: "e", known_index: 0, loads: {} });
        await close();
        expect(results).to.deep.equal(["unavailable", "unavailable", "unavailable", "unavailable"]);
        expect(told.kind).to.equal("not-leader");
    });
});

describe("a replica restarts after a failed disk write", () => {
    it("keeps acknowledged changes, and acknowledges nothing until it has restarted", async () => {
        const { document, host, folder, close } = await openVoter();
        await document.commitDocument(createTable(1), "one");
        const storageFolder = (host as unknown as { folder: Folder & { append: Folder["append"]; }; }).folder;
        const append = storageFolder.append.bind(storageFolder);
        (storageFolder as { append: Folder["append"]; }).append = () =>
            Promise.reject(new Error("ENOSPC: no space left"));
        const refused = await document.commitDocument(createTable(2), "two");
        (storageFolder as { append: Folder["append"]; }).append = append;
        while (!host.replica.hasLeaderLease()) {
            await new Promise((resolve) => setTimeout(resolve, 20));
        }
        const newest = document.getNewestDocument();
        const later = await document.commitDocument(createTable(3), "three");
        await close();
        expect(folder).to.be.a("string");
        expect(refused.kind).to.equal("unavailable");
        expect(newest).to.deep.equal({ kind: "done", value: "one" });
        expect(later.kind).to.equal("done");
    });
});

describe("the event log is rate-limited", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install({ now: 0 });
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("reports the number of suppressed lines per event", () => {
        const lines: string[] = [];
        const log = createRateLimitedLog({
            record: (_level, event, fields) => lines.push(`${event} ${JSON.stringify(fields ?? {})}`),
        }, () => Date.now());
        for (let line = 0; line < 100; line += 1) {
            log.record("info", "often");
        }
        log.record("info", "seldom");
        clock.tick(1_000);
        log.record("info", "often");
        expect(lines.filter((line) => line.startsWith("often"))).to.have.length(41);
        expect(lines).to.include('lines-dropped {"of":"often","count":60}');
        expect(lines).to.include("seldom {}");
    });
});
