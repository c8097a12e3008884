/**
 * Hands the operator's document to entries. Every voter does, also one that follows: what it holds is committed, and the
 * entry has heard from a leader which version is the least that will do.
 *
 * Taken whole by all entries from the leader alone, inside the answers that renew their leases, a document fills its link for
 * longer than an entry waits; all give up, begin anew, and none ever gets it. So it is packed, and goes out in turns.
 */
import { BandwidthLimiter } from "@crankfork/decisions";
import type { DocumentParameters, DocumentResult } from "@crankfork/schemas";
import { waitMs } from "../waitMs.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** What the source needs from the process. */
export interface DocumentSourceOptions {
    readonly host: Pick<FleetReplicaHost, "state">;
    readonly getNowMs: () => number;
    /** Rate of this instance's link, in Mbit/s. */
    readonly linkMbps: number;
}

/** Part of the link that documents may take: the rest is for the log, heartbeats and what entries are told. */
const LINK_SHARE = 0.4;
/** Well below the time for which an entry bears silence. */
const MOST_WAIT_MS = 200;
const BYTES_A_SECOND_PER_MBPS = 1_000_000 / 8;

/** Answers entries that lack the newest document. */
export class DocumentSource {
    private readonly budget: BandwidthLimiter;

    /**
     * @param options - the replica's state, clock and link
     */
    constructor(private readonly options: DocumentSourceOptions) {
        const bytesASecond = options.linkMbps * BYTES_A_SECOND_PER_MBPS * LINK_SHARE;
        this.budget = new BandwidthLimiter({ bytesPerSecond: bytesASecond, maxWaitMs: MOST_WAIT_MS });
    }

    /**
     * Answers an entry, in its turn.
     * @param parameters - the least version that will do
     * @returns the newest document that is held here, or when to ask again
     */
    async answer({ version }: DocumentParameters): Promise<DocumentResult> {
        const { host, getNowMs } = this.options;
        const held = host.state.getDocument();
        if (held === undefined || held.version < version) {
            return { kind: "not-held" };
        }
        const turn = this.budget.reserve(held.packed.length, getNowMs());
        if (turn.kind === "busy") {
            return { kind: "busy", retry_ms: turn.retryMs };
        }
        if (turn.waitMs > 0) {
            await waitMs(turn.waitMs);
        }
        // A newer one may have come meanwhile; the older would have to be followed by it.
        const newest = host.state.getDocument() ?? held;
        return { kind: "document", version: newest.version, packed: newest.packed };
    }
}
