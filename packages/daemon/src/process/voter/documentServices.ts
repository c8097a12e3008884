/**
 * Services of the newest document, as a voter reads them from its state.
 */
import { type RoutedService, type RoutingTable, unpackDocument } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** Dependencies of {@link DocumentServices}. */
export interface DocumentServicesOptions {
    readonly host: { readonly state: Pick<FleetReplicaHost["state"], "getDocument">; };
    readonly log: EventLog;
    /** Decodes the operator's document; undefined if it is invalid. */
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
}

/**
 * Reads the services, once for each version. The log may hold a document that this build cannot read, such as one that another
 * build accepted; a newer document replaces it.
 */
export class DocumentServices {
    private version: number | undefined;
    private services: readonly RoutedService[] | undefined;

    /**
     * @param options - state, log and codec
     */
    constructor(private readonly options: DocumentServicesOptions) {}

    /**
     * Lists the services.
     * @returns the services; none if there is no document, or if it cannot be read
     */
    list(): readonly RoutedService[] {
        this.update();
        return this.services ?? [];
    }

    /**
     * Returns whether upstreams of a service may register.
     * @param service - the service's name
     * @returns true also while there is no document that can be read
     */
    mayRegister(service: string): boolean {
        this.update();
        return this.services === undefined || this.services.some(({ name }) => name === service);
    }

    private update(): void {
        const document = this.options.host.state.getDocument();
        if (document !== undefined && document.version !== this.version) {
            this.version = document.version;
            this.services = this.read(document.packed, document.version);
        }
    }

    private read(packed: string, version: number): readonly RoutedService[] | undefined {
        const { log, decodeDocument } = this.options;
        let reason: string | undefined;
        try {
            const table = decodeDocument(unpackDocument(packed));
            if (table !== undefined) {
                return table.services;
            }
        }
        catch (error) {
            reason = String(error);
        }
        log.record("error", "document-unreadable", { version, reason });
        return undefined;
    }
}
