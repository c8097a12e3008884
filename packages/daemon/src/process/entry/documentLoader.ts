/**
 * Fetches the operator's document from any voter that has it. One request at a time; it asks for the newest version,
 * but a transfer in progress is not aborted for a newer one.
 */
import { documentResultSchema, unpackDocument } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { EventLog } from "../eventLog.js";
import { runLoop, startTask } from "../startTask.js";
import { waitMs } from "../waitMs.js";

/** Dependencies of the loader. */
export interface DocumentLoaderOptions {
    readonly peers: PeerClient;
    readonly log: EventLog;
    /** Returns a number from 0 up to, but excluding, 1. */
    readonly random: () => number;
    /** Version in force here; undefined before the first. */
    readonly getAppliedVersion: () => number | undefined;
    /** Handles a document received from a voter. */
    readonly handleDocument: (content: unknown, peer: string) => void;
}

/**
 * A voter holds a request for at most 200 ms. With a busy leader and two unreachable voters, an entry that tries both
 * of these still gets the document within 1.5 s.
 */
const REQUEST_TIMEOUT_MS = 500;
/** Followers apply a commit a few milliseconds after the leader. */
const NOT_HELD_RETRY_MS = 20;
/** Delay after a voter could not be reached, or sent a document that could not be parsed. */
const RETRY_MS = 100;
/** Longest delay that a busy voter may ask for; another voter is asked then. */
const MAX_BUSY_RETRY_MS = 1_000;

/** Loads documents, one at a time. */
export class DocumentLoader {
    private targetVersion: number | undefined;
    private voters: readonly string[] = [];
    private source: string | undefined;
    private isLoading = false;
    private isStopped = false;

    /**
     * @param options - peers and document handler
     */
    constructor(private readonly options: DocumentLoaderOptions) {}

    /**
     * Checks whether the version in force is at least the target version.
     * @returns true also where there is no target yet
     */
    isUpToDate(): boolean {
        const { targetVersion } = this;
        return targetVersion === undefined
            || (this.options.getAppliedVersion() ?? Number.NEGATIVE_INFINITY) >= targetVersion;
    }

    /**
     * Loads a version, or a newer one, unless it is in force or being loaded.
     * @param version - newest version that a leader reported; undefined before the first
     * @param leader - peer address of that leader
     * @param voters - peer addresses of all voters that may have it
     */
    setTarget(version: number | undefined, leader: string, voters: readonly string[]): void {
        this.voters = voters;
        if (version !== undefined && version > (this.targetVersion ?? Number.NEGATIVE_INFINITY)) {
            this.targetVersion = version;
        }
        if (!this.isLoading && !this.isUpToDate()) {
            this.source = leader;
            startTask("document-load", () => this.load());
        }
    }

    /** Stops loading. */
    stop(): void {
        this.isStopped = true;
    }

    private async load(): Promise<void> {
        // Reset in the same turn of the event loop as the last check of the target, so that a version set in between is
        // not missed.
        const shouldContinue = (): boolean => this.isLoading = !this.isStopped && !this.isUpToDate();
        await runLoop("document-load", shouldContinue, async () => {
            const pauseMs = await this.fetchFrom(this.source);
            if (pauseMs > 0) {
                this.switchVoter();
                await waitMs(pauseMs);
            }
        });
    }

    /**
     * The leader is asked first because it has just answered: any other voter may be unreachable, which costs a
     * timeout. With many entries the leader is busy, and each entry continues at a random other voter, which spreads
     * the transfers over the links of all.
     */
    private switchVoter(): void {
        const others = this.voters.filter((voter) => voter !== this.source);
        this.source = others[Math.floor(this.options.random() * others.length)] ?? this.source;
    }

    /** Requests the document from one voter; returns the delay before the next request. */
    private async fetchFrom(address: string | undefined): Promise<number> {
        const { peers, log, random, getAppliedVersion, handleDocument } = this.options;
        if (address === undefined) {
            return RETRY_MS;
        }
        try {
            const raw = await peers.call(address, "document", { version: this.targetVersion }, REQUEST_TIMEOUT_MS);
            const result = documentResultSchema.parse(raw);
            switch (result.kind) {
                case "document": {
                    const before = getAppliedVersion();
                    handleDocument(unpackDocument(result.packed), address);
                    return getAppliedVersion() === before ? RETRY_MS : 0;
                }
                case "not-held":
                    log.record("info", "document-deferred", {
                        peer: address,
                        version: this.targetVersion,
                        reason: result.kind,
                    });
                    return NOT_HELD_RETRY_MS;
                case "busy":
                    log.record("info", "document-deferred", {
                        peer: address,
                        version: this.targetVersion,
                        reason: result.kind,
                        retry_ms: Math.round(result.retry_ms),
                    });
                    return Math.min(result.retry_ms, MAX_BUSY_RETRY_MS) * (1 + random());
            }
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            log.record("warn", "document-not-loaded", { peer: address, version: this.targetVersion, reason });
            return RETRY_MS * (1 + random()) / 2;
        }
    }
}
