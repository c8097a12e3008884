/**
 * The operator's document that an entry serves by.
 */
import type { RoutingTable } from "@crankfork/schemas";
import type { EventLog } from "../process/eventLog.js";
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
     */
    apply(content: unknown): void {
        const { view, log, decodeDocument, getAgeMs } = this.options;
        const table = decodeDocument(content);
        if (table === undefined) {
            log.record("error", "document-unreadable", { held: this.version });
            return;
        }
        if (view.applyTable(table)) {
            const age_ms = formatAgeMs(getAgeMs());
            log.record("info", "in-force", { version: table.version, routes: table.routes.length, age_ms });
        }
    }
}
