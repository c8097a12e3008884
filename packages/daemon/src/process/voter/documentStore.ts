/**
 * The operator's document in the voters' replicated state. Only a leader that holds its lease answers; other voters redirect to
 * the leader they know.
 */
import { packDocument, type RoutingTable, unpackDocument } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { createNotLeaderResult, type ProposalOptions, proposeChange, type VoterResult } from "./fleetProposal.js";

/** Dependencies of {@link DocumentStore}. */
export interface DocumentStoreOptions extends ProposalOptions {
    readonly log: EventLog;
    /** Waits until learners have replaced the voters that are gone; resolves to whether this replica still leads. */
    readonly awaitReplacements: () => Promise<boolean>;
}

/** Commits and reads the operator's document. */
export class DocumentStore {
    /**
     * @param options - replica, log and clock
     */
    constructor(private readonly options: DocumentStoreOptions) {}

    /**
     * Commits a version of the operator's document. The highest version wins; a version that is not higher changes nothing.
     * @param table - the decoded document
     * @param content - the document as received
     * @returns done once a quorum that bears the tolerated losses has committed this version or a higher one
     */
    async commitDocument(table: RoutingTable, content: unknown): Promise<VoterResult<undefined>> {
        const { host, log, getNowMs } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeaderResult(host);
        }
        const held = host.state.getDocument()?.version;
        if (held !== undefined && held >= table.version) {
            log.record("info", "document-overtaken", { version: table.version, held });
            return await this.createAcknowledgement();
        }
        const startMs = getNowMs();
        // Compressed once here: the log, disks, snapshots and entries then store and send about a tenth of the bytes.
        const packed = packDocument(content);
        const commit = await proposeChange(this.options, { kind: "put-document", version: table.version, packed });
        const commitMs = Math.round(getNowMs() - startMs);
        const result = commit.kind === "done" ? await this.createAcknowledgement() : commit;
        const { term, commitIndex } = host.replica.getStatus();
        log.record("info", "document", {
            version: table.version,
            held,
            outcome: result.kind,
            ms: commitMs,
            replacement_ms: Math.round(getNowMs() - startMs) - commitMs,
            bytes: packed.length,
            term,
            commit_index: commitIndex,
        });
        return result;
    }

    private async createAcknowledgement(): Promise<VoterResult<undefined>> {
        return await this.options.awaitReplacements() ? { kind: "done", value: undefined } : { kind: "unavailable" };
    }

    /**
     * Gets the newest committed document.
     * @returns the document as received, or undefined if none has been committed
     */
    getNewestDocument(): VoterResult<unknown> {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeaderResult(host);
        }
        const document = host.state.getDocument();
        return { kind: "done", value: document === undefined ? undefined : unpackDocument(document.packed) };
    }
}
