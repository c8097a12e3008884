/**
 * Gets the operator's document for an entry, from whichever voter holds it. Only the newest is asked for, one at a time, and
 * what is on its way is not given up for a newer one.
 */
import { documentResultSchema, unpackDocument } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { EventLog } from "../eventLog.js";
import { waitMs } from "../waitMs.js";

/** What the loader needs from the process. */
export interface DocumentLoaderOptions {
    readonly peers: PeerClient;
    readonly log: EventLog;
    /** A number from 0 up to 1. */
    readonly random: () => number;
    /** Version in force here; undefined before the first. */
    readonly getHeldVersion: () => number | undefined;
    /** Takes a document that came from a voter. */
    readonly handleDocument: (content: unknown, peer: string) => void;
}

/**
 * How long a voter may say nothing; it holds a question for at most 200 ms. Where the leader is busy and two others are cut
 * off, an entry that goes on at both of them still has the document within a second and a half.
 */
const SILENCE_MS = 500;
/** A voter that follows has a commit some ms after the leader. */
const NOT_HELD_MS = 20;
/** After a voter that could not be reached, or a document that could not be read. */
const RETRY_MS = 100;

/** Loads documents, one at a time. */
export class DocumentLoader {
    private wanted: number | undefined;
    private voters: readonly string[] = [];
    private source: string | undefined;
    private isLoading = false;
    private isStopped = false;

    /**
     * @param options - peers, and what is done with a document
     */
    constructor(private readonly options: DocumentLoaderOptions) {}

    /**
     * Tells whether what is in force here is as new as the newest that was wanted.
     * @returns true also before any was wanted
     */
    hasWanted(): boolean {
        const { wanted } = this;
        return wanted === undefined || (this.options.getHeldVersion() ?? Number.NEGATIVE_INFINITY) >= wanted;
    }

    /**
     * Loads a version, or a newer one, unless it is in force or on its way.
     * @param version - the newest that a leader told of; undefined before the first
     * @param leader - peers' address of that leader
     * @param voters - peers' addresses of all that may hold it
     */
    want(version: number | undefined, leader: string, voters: readonly string[]): void {
        this.voters = voters;
        if (version !== undefined && version > (this.wanted ?? Number.NEGATIVE_INFINITY)) {
            this.wanted = version;
        }
        if (!this.isLoading && !this.hasWanted()) {
            this.source = leader;
            void this.load();
        }
    }

    /** Stops. */
    stop(): void {
        this.isStopped = true;
    }

    private async load(): Promise<void> {
        this.isLoading = true;
        while (!this.isStopped && !this.hasWanted()) {
            const pauseMs = await this.ask(this.source);
            if (pauseMs > 0) {
                this.leaveVoter();
                await waitMs(pauseMs);
            }
        }
        // In the same turn as the last look at what is wanted, so that a version told in between is not passed over.
        this.isLoading = false;
    }

    /**
     * The leader has just answered, so it is asked first: any other voter may be away, which costs its time-out. With many
     * entries the leader is busy, and each goes on at any of the others, so that the links of all are used.
     */
    private leaveVoter(): void {
        const others = this.voters.filter((voter) => voter !== this.source);
        this.source = others[Math.floor(this.options.random() * others.length)] ?? this.source;
    }

    /** Asks one voter; returns how long to wait before the next is asked. */
    private async ask(address: string | undefined): Promise<number> {
        const { peers, log, random, getHeldVersion, handleDocument } = this.options;
        if (address === undefined) {
            return RETRY_MS;
        }
        try {
            const raw = await peers.call(address, "document", { version: this.wanted }, SILENCE_MS);
            const result = documentResultSchema.parse(raw);
            switch (result.kind) {
                case "document": {
                    const before = getHeldVersion();
                    handleDocument(unpackDocument(result.packed), address);
                    return getHeldVersion() === before ? RETRY_MS : 0;
                }
                case "not-held":
                    log.record("info", "document-deferred", {
                        peer: address,
                        version: this.wanted,
                        reason: result.kind,
                    });
                    return NOT_HELD_MS;
                case "busy":
                    log.record("info", "document-deferred", {
                        peer: address,
                        version: this.wanted,
                        reason: result.kind,
                        retry_ms: Math.round(result.retry_ms),
                    });
                    return result.retry_ms * (1 + random());
            }
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            log.record("warn", "document-not-loaded", { peer: address, version: this.wanted, reason });
            return RETRY_MS * (1 + random()) / 2;
        }
    }
}
