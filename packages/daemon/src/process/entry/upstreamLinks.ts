/**
 * The ways of this entry to upstreams: its own connections and, where these fail, other entries.
 */
import type { RelayOffer } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import { RelayError } from "../../connection/exchangeFailure.js";
import { isConnectable, UnconnectableError } from "../../connection/isConnectable.js";
import { observeHandler, type RequestDispatcher } from "../../connection/observeDispatch.js";
import type { PeerClient } from "../../connection/peerClient.js";
import { probeConnection } from "../../connection/probeConnection.js";
import { createRelayDispatcher } from "../../connection/relayDispatcher.js";
import type { UpstreamConnections, UpstreamEndpoint } from "../../connection/upstreamConnections.js";
import type { CallTarget } from "../../request/routedCall.js";
import type { FleetView } from "../../version/fleetView.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startTask } from "../startTask.js";
import { PROBE_TIMEOUT_MS, ReachMonitor } from "./reachMonitor.js";
import { RelayPool } from "./relayPool.js";
import { UpstreamContact } from "./upstreamContact.js";

/** Dependencies of {@link UpstreamLinks}. */
export interface UpstreamLinksOptions {
    readonly view: FleetView;
    readonly getNowMs: () => number;
    readonly random: () => number;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly connections: UpstreamConnections;
    readonly peers: Pick<PeerClient, "call">;
    /** Connections to the peers' ports of other entries. */
    readonly relayConnections: RequestDispatcher;
    /** Peer address of this entry. */
    readonly ownAddress: string;
    readonly isStopping: () => boolean;
    readonly handleBackoff: (upstreamId: string, backoffMs: number) => void;
    /** Called when the entry is cut off from all upstreams, and when it is not any more. */
    readonly handleCutOff: (isCutOff: boolean) => void;
}

/** Bytes received this recently show that the entry reaches upstreams. */
const RECENT_BYTES_MS = 50;
/** Relays that a request is offered to while this entry is cut off; otherwise one shows whether others reach the upstream. */
const MAX_RELAYS = 3;
/** How long an upstream that no relay reaches either is not tried through them again. */
const UNREACHABLE_MS = 1_000;

/** Opens the ways to upstreams. */
export class UpstreamLinks {
    readonly relays: RelayPool;
    private readonly contact: UpstreamContact;
    private readonly reach: ReachMonitor;
    /** The relay of each attempt that is sent through one. */
    private readonly relayByTarget = new WeakMap<CallTarget, string>();
    private readonly unreachableUntilMs = new Map<string, number>();

    /**
     * @param options - upstreams, connections and clock
     */
    constructor(private readonly options: UpstreamLinksOptions) {
        this.contact = new UpstreamContact(options);
        this.relays = new RelayPool({ ...options, connections: options.relayConnections });
        this.reach = new ReachMonitor({
            ...options,
            listUpstreams: () => options.view.listAllReady().filter(({ address }) => isConnectable(address)),
            probe: probeConnection,
            queryOthers: (upstreams) => this.relays.queryReach(upstreams),
            getSilentMs: () => this.contact.silentMs,
            handleChange: (isCutOff) => {
                // Whatever is left on the connections from before the change would wait in vain.
                options.connections.retireAll();
                this.unreachableUntilMs.clear();
                options.handleCutOff(isCutOff);
            },
        });
    }

    /** Starts the periodic checks. */
    start(): void {
        this.contact.start();
        this.reach.start();
    }

    /** Whether this entry reaches no upstream, and others do. */
    get isCutOff(): boolean {
        return this.reach.isCutOff;
    }

    /** Whether requests can be sent to upstreams. */
    get canSend(): boolean {
        return !this.reach.isCutOff || this.relays.hasUsable;
    }

    /** How other entries may send requests through this one. */
    get relayOffer(): RelayOffer {
        return { address: this.options.ownAddress, is_available: !this.isCutOff && !this.options.isStopping() };
    }

    /**
     * Gets the way of an attempt: this entry's own connections, then relays where no connection can be established; only relays
     * while the entry is cut off.
     * @param target - the target of the attempt
     * @returns sends the request
     */
    getConnections(target: CallTarget): RequestDispatcher {
        const { isCutOff, relays } = this;
        const relayed = createRelayDispatcher({
            endpoint: target,
            relays,
            maxRelays: isCutOff ? MAX_RELAYS : 1,
            handleRelay: (relay) => this.relayByTarget.set(target, relay),
        });
        return isCutOff ? relayed : {
            dispatch: (options, handler) => {
                let hasStarted = false;
                return this.getOwnConnections(target).dispatch(options, {
                    ...handler,
                    onRequestStart: (controller, context) => {
                        hasStarted = true;
                        handler.onRequestStart?.(controller, context);
                    },
                    onResponseError: (controller, error) => {
                        if (!hasStarted && this.mayRelay(target.upstreamId)) {
                            startTask("reach-check", () => this.checkAfterFailure());
                            relayed.dispatch(options, this.createFallbackHandler(target.upstreamId, handler, error));
                        }
                        else {
                            handler.onResponseError?.(controller, error);
                        }
                    },
                });
            },
        };
    }

    /**
     * Gets this entry's own connections to an upstream.
     * @param endpoint - the upstream
     * @returns sends a request over them
     */
    getOwnConnections(endpoint: UpstreamEndpoint): RequestDispatcher {
        return {
            dispatch: (options, handler) => {
                // Says nothing about the links of this entry, so it is not tracked.
                if (!isConnectable(endpoint.address)) {
                    throw new UnconnectableError(endpoint.address);
                }
                const connections = this.options.connections.get(endpoint);
                const exchange = this.contact.trackExchange(endpoint.upstreamId);
                try {
                    return connections.dispatch(
                        options,
                        observeHandler(handler, {
                            handleBytes: exchange.recordBytes,
                            handleEnd: (error) => {
                                exchange.end(error !== undefined);
                            },
                        }),
                    );
                }
                catch (error) {
                    exchange.end(false);
                    throw error;
                }
            },
        };
    }

    /**
     * Gets the relay through which an attempt was sent.
     * @param target - the target of the attempt
     * @returns its peer address; undefined for this entry's own connections
     */
    getRelay(target: CallTarget): string | undefined {
        return this.relayByTarget.get(target);
    }

    /**
     * Checks whether an upstream accepts connections, over the way that an attempt took.
     * @param target - the target of the attempt
     * @returns false if no connection could be established in time
     */
    async isReachable(target: CallTarget): Promise<boolean> {
        const relay = this.getRelay(target);
        return relay === undefined
            ? await probeConnection(target.address, PROBE_TIMEOUT_MS)
            : await this.relays.isReachedBy(relay, target.upstreamId);
    }

    /**
     * Checks after a failure whether this entry is cut off, unless it has just received bytes from an upstream.
     * @param upstreamId - the upstream that failed; its failure shows nothing if no connection to it can be attempted
     * @returns true if it is
     */
    async checkAfterFailure(upstreamId?: string): Promise<boolean> {
        const address = upstreamId === undefined ? undefined : this.options.view.getUpstream(upstreamId)?.address;
        if (address !== undefined && !isConnectable(address)) {
            return this.isCutOff;
        }
        return this.isCutOff || (this.contact.sinceBytesMs >= RECENT_BYTES_MS && await this.reach.checkAfterFailure());
    }

    /**
     * Checks after a connection was closed whether this entry is cut off. Others may have delivered bytes just before.
     * @returns true if it is
     */
    async checkAfterClose(): Promise<boolean> {
        return await this.reach.checkAfterFailure();
    }

    /**
     * Drops what is held of incarnations that have ended.
     * @param isKnown - whether an incarnation is still registered
     */
    prune(isKnown: (id: string) => boolean): void {
        [...this.unreachableUntilMs.keys()].filter((id) => !isKnown(id)).forEach((id) => {
            this.unreachableUntilMs.delete(id);
        });
    }

    private mayRelay(upstreamId: string): boolean {
        const untilMs = this.unreachableUntilMs.get(upstreamId) ?? Number.NEGATIVE_INFINITY;
        return this.relays.hasUsable && untilMs <= this.options.getNowMs();
    }

    /** Where the relay does not take the request, the failure is that of this entry's own connection. */
    private createFallbackHandler(
        upstreamId: string,
        handler: Dispatcher.DispatchHandler,
        ownError: Error,
    ): Dispatcher.DispatchHandler {
        return {
            ...handler,
            onResponseError: (controller, error) => {
                const kind = error instanceof RelayError ? error.kind : undefined;
                if (kind === "unreachable") {
                    this.unreachableUntilMs.set(upstreamId, this.options.getNowMs() + UNREACHABLE_MS);
                }
                const reported = kind === "no-relay" ? new RelayError("unreachable", ownError.message) : error;
                handler.onResponseError?.(controller, reported);
            },
        };
    }
}
