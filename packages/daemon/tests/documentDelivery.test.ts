/**
 * Guards against a document that never becomes active although all instances work.
 *
 * 75 entries held a document of 1,650 routes (330 KB). The voters restarted and one more change was confirmed, so every entry
 * fetched the whole document from the leader: 25 MB, or 1.2 s of a 170 Mbit/s link. Entries timed out after 1.2 s, discarded what
 * they had received and asked again. The link stayed saturated at 18 to 22 MB/s, no entry became ready, and the document could
 * not be read back.
 *
 * The leader's log (64 entries) showed `peer-traffic sent="synchronise:0+72-0:24324041B ..." loop_delay_ms=35`, a full link with
 * an idle processor. All entries logged `voters-lost ... age_ms=1212 reason="no answer in time"` within one second, and no
 * `voters-reached` afterwards.
 */
import { FleetState } from "@crankfork/coordination";
import {
    documentParametersSchema,
    type FleetCommand,
    packDocument,
    type SynchroniseParameters,
} from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { LeaderSync } from "../src/process/entry/leaderSync.js";
import type { EventLog } from "../src/process/eventLog.js";
import { DocumentSource } from "../src/process/voter/documentSource.js";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { noRollout } from "./configurationFakes.js";
import { noLimits } from "./limitFakes.js";
import { SharedLink } from "./sharedLink.js";

const LINK_MBPS = 170;
const LINK_BYTES_A_SECOND = LINK_MBPS * 1_000_000 / 8;
/** Contracted time to apply a change, and the confirmation age at which an entry stops reporting itself ready. */
const APPLY_MS = 2_000;
const READY_AGE_MS = 3_000;
const silentLog: EventLog = { record: () => undefined };
const addresses = ["v1", "v2", "v3", "v4", "v5"].map((name) => ({ id: name, address: name }));

/** Creates a deterministic pseudo-random generator of strings. */
function createRandomText(seed: number): () => string {
    let state = seed;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state.toString(36);
    };
}

function createDocument(version: number, routes: number): unknown {
    const randomText = createRandomText(7);
    const list = Array.from({ length: routes }, () => ({
        name: `r-${randomText()}`,
        host: `${randomText()}.example`,
        path_prefix: `/${randomText()}/`,
        kind: "streaming",
        timeout_ms: 20_000,
        target_latency_ms: 500,
        traffic_split: [{ service: randomText(), weight: 90 }, { service: randomText(), weight: 10 }],
        most_attempts: 2,
    }));
    return { version, routes: list };
}

function createPutDocument(version: number, routes: number): FleetCommand {
    return { kind: "put-document", version, packed: packDocument(createDocument(version, routes)) };
}

/** A voter with a fixed role; its answers share one simulated link. */
class TestVoter {
    readonly link = new SharedLink(LINK_BYTES_A_SECOND);
    readonly state = new FleetState();
    readonly register: EntryRegistry;
    readonly documents: DocumentSource;

    constructor(readonly self: { readonly id: string; readonly address: string; }, private readonly isLeader: boolean) {
        const host = {
            state: this.state,
            self,
            replica: {
                hasLeaderLease: () => isLeader,
                getStatus: () => ({
                    leader: addresses[0],
                    term: 1,
                    commitIndex: 1,
                    replicas: { voters: addresses, learners: [] },
                }),
            },
        } as unknown as FleetReplicaHost;
        this.register = new EntryRegistry({
            host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        this.documents = new DocumentSource({ host, getNowMs: () => performance.now(), linkMbps: LINK_MBPS });
    }

    apply(command: FleetCommand, index: number): void {
        this.state.apply(command, index);
        if (this.isLeader) {
            this.register.handleStateChange();
        }
    }

    answer(method: string, parameters: object): unknown {
        switch (method) {
            case "synchronise":
                return this.register.synchronise(parameters as SynchroniseParameters);
            case "document":
                return this.documents.handleRequest(documentParametersSchema.parse(parameters));
            default:
                throw new Error(`no method ${method}`);
        }
    }
}

/** An entry that holds the highest version it has received. */
class TestEntry {
    version = 0;
    private index = 0;
    private readonly link: LeaderSync;

    constructor(number: number, voters: readonly TestVoter[]) {
        const name = `e${String(number)}`;
        this.link = new LeaderSync({
            peers: {
                call: (address, method, parameters, timeoutMs) => {
                    const voter = voters.find((one) => one.self.address === address);
                    return voter === undefined
                        ? Promise.reject(new Error(`no voter at ${address}`))
                        : voter.link.exchange(() => voter.answer(method, parameters), timeoutMs);
                },
                send: () => undefined,
            },
            log: silentLog,
            getLastResumeMs: () => Number.NEGATIVE_INFINITY,
            getNowMs: () => performance.now(),
            getSeeds: () => addresses.map((one) => one.address),
            instance: name,
            createParameters: () => ({ instance: name, known_index: this.index, loads: {} }),
            takeSuspects: () => [],
            handleState: (state) => {
                this.index = state.index;
            },
            getAppliedVersion: () => this.version,
            handleDocument: (content) => {
                this.version = Math.max(this.version, (content as { version: number; }).version);
            },
            // Spreads the entries over the voters.
            random: () => number / 5 % 1,
        });
        this.link.start();
    }

    get ageMs(): number {
        return this.link.confirmationAgeMs;
    }

    stop(): void {
        this.link.stop();
    }
}

describe("a committed document is active at every entry within the contracted time, regardless of their number", () => {
    const rows = [
        { title: "a small fleet", entries: 9, routes: 1_650 },
        { title: "75 entries and 1,650 routes", entries: 75, routes: 1_650 },
        { title: "195 entries and 1,650 routes", entries: 195, routes: 1_650 },
        { title: "75 entries and 5,000 routes", entries: 75, routes: 5_000 },
    ];
    for (const { title, entries: count, routes } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
            try {
                const voters = addresses.map((self, number) => new TestVoter(self, number === 0));
                const put = (version: number): void => {
                    voters.forEach((voter) => {
                        voter.apply(createPutDocument(version, routes), version);
                    });
                };
                put(1);
                // After a restart of the voters, every entry requests the whole state.
                const entries = Array.from(
                    { length: count },
                    (_unused, number) => new TestEntry(number, voters),
                );
                await clock.tickAsync(APPLY_MS);
                const first = countBehind(entries, 1);
                for (const version of [2, 3, 4, 5]) {
                    put(version);
                    await clock.tickAsync(APPLY_MS / 4);
                }
                await clock.tickAsync(APPLY_MS * 3 / 4);
                const sentBytes = voters.reduce((sum, voter) => sum + voter.link.sentBytes, 0);
                const notReady = entries.filter((entry) => entry.ageMs >= READY_AGE_MS).length;
                entries.forEach((entry) => {
                    entry.stop();
                });
                const changes = 5;
                const wholeBytes = JSON.stringify(createDocument(1, routes)).length * count * changes;
                expect({ first, last: countBehind(entries, 5), notReady }).to.deep.equal({
                    first: 0,
                    last: 0,
                    notReady: 0,
                });
                expect(sentBytes, "bytes that left the voters").to.be.below(wholeBytes * 2);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});

function countBehind(entries: readonly TestEntry[], version: number): number {
    return entries.filter((entry) => entry.version < version).length;
}
