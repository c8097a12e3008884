/**
 * Adds up over all entries under which requests upstreams ended, by the voters' log, so that it outlives entries, leaders and
 * lost disks.
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
import { createNotLeader, type FleetReplicaHost, proposeChange, type VoterResult } from "./fleetProposal.js";

/** What the keeper needs from the process. */
export interface CrashKeeperOptions {
    readonly host: FleetReplicaHost;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Stamped on what is kept, so that all voters forget it at the same position. */
    readonly getUnixMs: () => number;
}

/** Entries tell of one crash within some milliseconds of each other; they share one entry of the log. */
const GATHER_MS = 10;

/** Keeps crashes. */
export class CrashKeeper {
    private gathered: CrashesParameters[] = [];
    private gathering: Promise<CrashesResult> | undefined;

    /**
     * @param options - replica, log and clocks
     */
    constructor(private readonly options: CrashKeeperOptions) {}

    /**
     * Takes what an entry saw.
     * @param parameters - crashes, and requests that ran to an end
     * @returns whether a quorum holds it
     */
    record(parameters: CrashesParameters): Promise<CrashesResult> {
        if (!this.options.host.replica.hasLeaderLease()) {
            return Promise.resolve({ is_taken: false });
        }
        this.gathered.push(parameters);
        this.gathering ??= this.proposeGathered();
        return this.gathering;
    }

    /**
     * Grants a trial of a request that is held, where one is due.
     * @param parameters - the request
     * @returns whether it is granted
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
     * Lists the requests that are held.
     * @returns records, from a leader in its lease
     */
    listHeld(): VoterResult<readonly CrashRecord[]> {
        const { host } = this.options;
        return host.replica.hasLeaderLease()
            ? { kind: "done", value: host.state.crashes.list().filter(isRequestQuarantined) }
            : createNotLeader(host);
    }

    /**
     * Lets a request go at an operator's notice.
     * @param fingerprint - the request
     * @returns done once a quorum holds it
     */
    async release(fingerprint: string): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeader(host);
        }
        const result = await proposeChange(this.options, { kind: "forget-crashes", fingerprints: [fingerprint] });
        log.record("info", "request-released", { fingerprint, cause: "operator", outcome: result.kind });
        return result;
    }

    private async proposeGathered(): Promise<CrashesResult> {
        await waitMs(GATHER_MS);
        const { gathered } = this;
        this.gathered = [];
        this.gathering = undefined;
        const crashes = gathered.flatMap((one) => one.crashes);
        const ranWell = [...new Set(gathered.flatMap((one) => one.ran_well))];
        const heldBefore = this.listHeldFingerprints();
        const isTaken = await this.propose(crashes.length > 0, {
            kind: "record-crashes",
            crashes,
            at_ms: this.options.getUnixMs(),
        }) && await this.propose(ranWell.length > 0, { kind: "forget-crashes", fingerprints: ranWell });
        this.logChanges(heldBefore, ranWell);
        return { is_taken: isTaken };
    }

    private async propose(isNeeded: boolean, command: FleetCommand): Promise<boolean> {
        return !isNeeded || (await proposeChange(this.options, command)).kind === "done";
    }

    private listHeldFingerprints(): ReadonlySet<string> {
        const held = this.options.host.state.crashes.list().filter(isRequestQuarantined);
        return new Set(held.map((record) => record.fingerprint));
    }

    private logChanges(heldBefore: ReadonlySet<string>, ranWell: readonly string[]): void {
        const { host, log } = this.options;
        const held = host.state.crashes.list().filter(isRequestQuarantined);
        held.filter(({ fingerprint }) => !heldBefore.has(fingerprint)).forEach((record) => {
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
        ranWell.filter((fingerprint) => heldBefore.has(fingerprint)).forEach((fingerprint) => {
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
