/**
 * Counts, across all entries, the requests during which upstreams crashed. The counts are part of the replicated log, so they
 * survive restarts of entries, changes of leader and lost disks.
 */
import {
    type CrashesParameters,
    type CrashesResult,
    type CrashRecord,
    type FleetCommand,
    isRequestQuarantined,
    type TrialParameters,
} from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { waitMs } from "../waitMs.js";
import { createNotLeaderResult, type FleetReplicaHost, proposeChange, type VoterResult } from "./fleetProposal.js";

/** Dependencies of {@link CrashRegistry}. */
export interface CrashRegistryOptions {
    readonly host: FleetReplicaHost;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Wall clock. Each record carries the proposer's time so that all voters expire it at the same log position. */
    readonly getUnixMs: () => number;
}

/** Entries report the same crash within milliseconds of each other; their reports share one log entry. */
const BATCH_WINDOW_MS = 10;

/** Records crashes and decides which requests are quarantined. */
export class CrashRegistry {
    private pending: CrashesParameters[] = [];
    private flush: Promise<CrashesResult> | undefined;

    /**
     * @param options - replica, log and clocks
     */
    constructor(private readonly options: CrashRegistryOptions) {}

    /**
     * Records the crashes and completions that an entry observed.
     * @param parameters - crashes, and requests that ran to completion
     * @returns whether a quorum has committed the record
     */
    record(parameters: CrashesParameters): Promise<CrashesResult> {
        if (!this.options.host.replica.hasLeaderLease()) {
            return Promise.resolve({ is_taken: false });
        }
        this.pending.push(parameters);
        this.flush ??= this.flushPending();
        return this.flush;
    }

    /**
     * Grants one trial run of a quarantined request if one is due.
     * @param parameters - the request's fingerprint
     * @returns whether the trial was granted
     */
    async claimTrial({ fingerprint }: TrialParameters): Promise<CrashesResult> {
        const { host, log, getUnixMs } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return { is_taken: false };
        }
        const result = await host.propose({ kind: "claim-trial", fingerprint, at_ms: getUnixMs() });
        const isTaken = result.kind === "applied" && isTakenResult(result.result);
        log.record("info", "trial", { fingerprint, outcome: isTaken ? "granted" : "permit-denied" });
        return { is_taken: isTaken };
    }

    /**
     * Lists quarantined requests.
     * @returns their crash records, if this voter leads and holds its lease
     */
    listQuarantined(): VoterResult<readonly CrashRecord[]> {
        const { host } = this.options;
        return host.replica.hasLeaderLease()
            ? { kind: "done", value: host.state.crashes.list().filter(isRequestQuarantined) }
            : createNotLeaderResult(host);
    }

    /**
     * Releases a request from quarantine on behalf of an operator.
     * @param fingerprint - the request's fingerprint
     * @returns done once a quorum has committed the release
     */
    async release(fingerprint: string): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeaderResult(host);
        }
        const result = await proposeChange(this.options, { kind: "forget-crashes", fingerprints: [fingerprint] });
        log.record("info", "request-released", { fingerprint, cause: "operator", outcome: result.kind });
        return result;
    }

    private async flushPending(): Promise<CrashesResult> {
        await waitMs(BATCH_WINDOW_MS);
        const { pending } = this;
        this.pending = [];
        this.flush = undefined;
        const crashes = pending.flatMap((one) => one.crashes);
        const ranWell = [...new Set(pending.flatMap((one) => one.ran_well))];
        const quarantinedBefore = this.listQuarantinedFingerprints();
        const isTaken = await this.propose(crashes.length > 0, {
            kind: "record-crashes",
            crashes,
            at_ms: this.options.getUnixMs(),
        }) && await this.propose(ranWell.length > 0, { kind: "forget-crashes", fingerprints: ranWell });
        this.logChanges(quarantinedBefore, ranWell);
        return { is_taken: isTaken };
    }

    private async propose(isNeeded: boolean, command: FleetCommand): Promise<boolean> {
        return !isNeeded || (await proposeChange(this.options, command)).kind === "done";
    }

    private listQuarantinedFingerprints(): ReadonlySet<string> {
        const quarantined = this.options.host.state.crashes.list().filter(isRequestQuarantined);
        return new Set(quarantined.map((record) => record.fingerprint));
    }

    private logChanges(quarantinedBefore: ReadonlySet<string>, ranWell: readonly string[]): void {
        const { host, log } = this.options;
        const quarantined = host.state.crashes.list().filter(isRequestQuarantined);
        quarantined.filter(({ fingerprint }) => !quarantinedBefore.has(fingerprint)).forEach((record) => {
            log.record("warn", "request-held", {
                fingerprint: record.fingerprint,
                organisation: record.origin.organisation,
                host: record.origin.host,
                target: record.origin.target,
                silent: record.silent.join(","),
                midway: record.midway.join(","),
                index: host.state.lastChangeIndex,
            });
        });
        ranWell.filter((fingerprint) => quarantinedBefore.has(fingerprint)).forEach((fingerprint) => {
            log.record("info", "request-released", {
                fingerprint,
                cause: "upstream-recovered",
                index: host.state.lastChangeIndex,
            });
        });
    }
}

function isTakenResult(result: unknown): boolean {
    return typeof result === "object" && result !== null && "kind" in result && result.kind === "taken";
}
