/**
 * The operator's document that an entry serves by.
 */
import type { RoutingTable } from "@crankfork/schemas";
import type { EventLog } from "../process/eventLog.js";
import type { FleetMetrics } from "../process/fleetMetrics.js";
import { formatAgeMs } from "../process/formatAgeMs.js";
import type { FleetView } from "./fleetView.js";

/** What it needs from the entry. */
export interface DocumentInForceOptions {
    readonly view: FleetView;
    readonly log: EventLog;
    /** Reads the operator's document; undefined where it makes no sense. */
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
    /** How long ago a leader confirmed what this entry knows. */
    readonly getAgeMs: () => number;
    readonly metrics: Pick<FleetMetrics, "recordApplyMs">;
}

/** Where a document came from. */
export interface DocumentOrigin {
    /** The voter that sent it. */
    readonly peer: string;
    /** Time since a leader applied it, in milliseconds; undefined where no leader has told. */
    readonly committedMs: number | undefined;
}

/** Puts documents in force; a lower version never follows a higher one. */
export class DocumentInForce {
    /**
     * @param options - the entry's view, log and codec
     */
    constructor(private readonly options: DocumentInForceOptions) {}

    /** Version in force; undefined before the first. */
    get version(): number | undefined {
        return this.options.view.routing?.table.version;
    }

    /**
     * Puts a document in force, unless a newer one is.
     * @param content - the document as it came
     * @param origin - where it came from
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
