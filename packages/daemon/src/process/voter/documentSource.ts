/**
 * Serves the operator's document to entries. Followers serve it as well: what they hold is committed, and the entry has learned
 * from a leader which version is the minimum.
 *
 * If all entries fetched an uncompressed document from the leader inside the answers that renew their leases, the transfer would
 * saturate the leader's link for longer than an entry's timeout; every entry would give up and retry, and none would ever finish.
 * The document is therefore compressed, and transfers are paced by a byte budget.
 */
import { BandwidthLimiter } from "@crankfork/decisions";
import type { DocumentParameters, DocumentResult } from "@crankfork/schemas";
import { waitMs } from "../waitMs.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** Dependencies of {@link DocumentSource}. */
export interface DocumentSourceOptions {
    readonly host: Pick<FleetReplicaHost, "state">;
    readonly getNowMs: () => number;
    /** Bandwidth of this instance's link, in Mbit/s. */
    readonly linkMbps: number;
}

/** Fraction of the link that documents may use; the rest is left to the log, heartbeats and state updates. */
const LINK_FRACTION = 0.4;
/** Well below the time for which an entry waits for an answer. */
const MAX_WAIT_MS = 200;
const BYTES_PER_SECOND_PER_MBPS = 1_000_000 / 8;

/** Answers entries that lack the newest document. */
export class DocumentSource {
    private readonly budget: BandwidthLimiter;

    /**
     * @param options - the replica's state, clock and link
     */
    constructor(private readonly options: DocumentSourceOptions) {
        const bytesASecond = options.linkMbps * BYTES_PER_SECOND_PER_MBPS * LINK_FRACTION;
        this.budget = new BandwidthLimiter({ bytesPerSecond: bytesASecond, maxWaitMs: MAX_WAIT_MS });
    }

    /**
     * Answers an entry once the byte budget admits the transfer.
     * @param parameters - the minimum acceptable version
     * @returns the newest document this voter holds, or when to retry
     */
    async handleRequest({ version }: DocumentParameters): Promise<DocumentResult> {
        const { host, getNowMs } = this.options;
        const held = host.state.getDocument();
        if (held === undefined || held.version < version) {
            return { kind: "not-held" };
        }
        const admission = this.budget.reserve(held.packed.length, getNowMs());
        if (admission.kind === "busy") {
            return { kind: "busy", retry_ms: admission.retryMs };
        }
        if (admission.waitMs > 0) {
            await waitMs(admission.waitMs);
        }
        // A newer version may have been committed during the wait; sending the older one would require a second transfer.
        const newest = host.state.getDocument() ?? held;
        return { kind: "document", version: newest.version, packed: newest.packed };
    }
}
