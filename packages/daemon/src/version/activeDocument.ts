/**
 * The operator's document that is active at an entry.
 */
import type { RoutingTable } from "@crankfork/schemas";
import type { EventLog } from "../process/eventLog.js";
import type { FleetMetrics } from "../process/fleetMetrics.js";
import { formatAgeMs } from "../process/formatAgeMs.js";
import type { FleetView } from "./fleetView.js";

/** Dependencies of {@link ActiveDocument}. */
export interface ActiveDocumentOptions {
    readonly view: FleetView;
    readonly log: EventLog;
    /** Decodes the operator's document; undefined if it is invalid. */
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
    /** Time since a leader confirmed the state that this entry knows. */
    readonly getAgeMs: () => number;
    readonly metrics: Pick<FleetMetrics, "recordApplyMs">;
}

/** Where a document was received from. */
export interface DocumentOrigin {
    /** The voter that sent it. */
    readonly peer: string;
    /** Time since a leader applied it, in milliseconds; undefined if no leader has reported it. */
    readonly committedMs: number | undefined;
}

/** Activates documents; a lower version never replaces a higher one. */
export class ActiveDocument {
    /**
     * @param options - the entry's view, log and codec
     */
    constructor(private readonly options: ActiveDocumentOptions) {}

    /** The active version; undefined if there is none yet. */
    get version(): number | undefined {
        return this.options.view.routing?.table.version;
    }

    /**
     * Activates a document, unless the active version is the same or newer.
     * @param content - the document as received
     * @param origin - where it was received from
     */
    apply(content: unknown, { peer, committedMs }: DocumentOrigin): void {
        const { view, log, decodeDocument, getAgeMs, metrics } = this.options;
        const previous = this.version;
        const table = decodeDocument(content);
        if (table === undefined) {
            log.record("error", "document-unreadable", { held: this.version });
            return;
        }
        if (view.applyTable(table)) {
            const age_ms = formatAgeMs(getAgeMs());
            const committed_ms = committedMs === undefined ? undefined : Math.round(committedMs);
            const { version, routes } = table;
            log.record("info", "config-applied", {
                version,
                previous,
                routes: routes.length,
                peer,
                committed_ms,
                age_ms,
            });
            if (committedMs !== undefined) {
                metrics.recordApplyMs(committedMs);
            }
        }
    }
}
