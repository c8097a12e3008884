/**
 * The operator's document as the voters of a fleet hold it. Only a leader inside its lease answers; every other voter names
 * the leader it knows.
 */
import { packDocument, type RoutingTable, unpackDocument } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { createNotLeader, type ProposalOptions, proposeChange, type VoterResult } from "./fleetProposal.js";

/** What the keeper is made with. */
export interface DocumentKeeperOptions extends ProposalOptions {
    readonly log: EventLog;
}

/** Keeps the operator's document. */
export class DocumentKeeper {
    /**
     * @param options - replica, log and clock
     */
    constructor(private readonly options: DocumentKeeperOptions) {}

    /**
     * Confirms the operator's document. The highest version prevails; one that is not higher changes nothing.
     * @param table - the document as it was understood
     * @param content - the document as it came
     * @returns done once a quorum holds it, or a higher one
     */
    async confirmDocument(table: RoutingTable, content: unknown): Promise<VoterResult<undefined>> {
        const { host, log, getNowMs } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeader(host);
        }
        const held = host.state.getDocument()?.version;
        if (held !== undefined && held >= table.version) {
            log.record("info", "document-overtaken", { version: table.version, held });
            return { kind: "done", value: undefined };
        }
        const startMs = getNowMs();
        // Packed once, here: the log, the disks, snapshots and all entries hold and send a tenth of its bytes.
        const packed = packDocument(content);
        const result = await proposeChange(this.options, { kind: "put-document", version: table.version, packed });
        const ms = Math.round(getNowMs() - startMs);
        const bytes = packed.length;
        const { term, commitIndex } = host.replica.getStatus();
        const position = { term, commit_index: commitIndex };
        log.record("info", "document", { version: table.version, held, outcome: result.kind, ms, bytes, ...position });
        return result;
    }

    /**
     * Gets the newest document there is.
     * @returns the document as it came, or undefined before the first
     */
    getNewestDocument(): VoterResult<unknown> {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeader(host);
        }
        const document = host.state.getDocument();
        return { kind: "done", value: document === undefined ? undefined : unpackDocument(document.packed) };
    }
}
