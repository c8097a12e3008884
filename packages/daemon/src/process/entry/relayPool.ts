/**
 * The entries through which this one may send requests to upstreams that it cannot reach itself.
 */
import { type ReachParameters, reachResultSchema } from "@crankfork/schemas";
import type { RequestDispatcher } from "../../connection/observeDispatch.js";
import type { PeerClient } from "../../connection/peerClient.js";
import type { RelaySource } from "../../connection/relayDispatcher.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startTask } from "../startTask.js";

/** Dependencies of {@link RelayPool}. */
export interface RelayPoolOptions {
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "countRelayedRequest">;
    readonly peers: Pick<PeerClient, "call">;
    /** Connections to the peers' ports of other entries. */
    readonly connections: RequestDispatcher;
    readonly handleBackoff: (upstreamId: string, backoffMs: number) => void;
}

/** What other entries reach. */
export interface OthersReach {
    /** Entries that answered. */
    readonly others: number;
    /** The largest number of upstreams that one of them reached. */
    readonly reachedByOthers: number;
}

/** How long a relay that failed is passed over while others are left; it doubles with each further failure. */
const MIN_FAILURE_MS = 1_000;
const MAX_FAILURE_MS = 8_000;
/** The asked entry needs up to 250 ms to find that it cannot connect. */
const REACH_TIMEOUT_MS = 500;

interface RelayFailures {
    readonly count: number;
    readonly untilMs: number;
}

/** Tracks relays. */
export class RelayPool implements RelaySource {
    private addresses: readonly string[] = [];
    private readonly failures = new Map<string, RelayFailures>();
    /** Relays that are being asked whether they still answer. */
    private readonly asked = new Set<string>();
    private readonly open = new Map<string, number>();

    /**
     * @param options - clock, log and connections
     */
    constructor(private readonly options: RelayPoolOptions) {}

    /** Connections to other entries. */
    get connections(): RequestDispatcher {
        return this.options.connections;
    }

    /** Whether a relay is known that has not just failed. */
    get hasUsable(): boolean {
        return this.addresses.some((address) => !this.hasFailed(address));
    }

    /**
     * Applies the leader's choice of relays.
     * @param addresses - peer addresses in order of preference; undefined where the leader's build names none
     */
    applyRelays(addresses: readonly string[] | undefined): void {
        if (addresses !== undefined) {
            this.addresses = addresses;
            [...this.failures.keys()].filter((one) => !addresses.includes(one)).forEach((one) => {
                this.failures.delete(one);
            });
        }
    }

    /**
     * Chooses a relay.
     * @param tried - relays that a request was offered to
     * @returns the first one that has not just failed, or else the first one; undefined if none is left
     */
    choose(tried: ReadonlySet<string>): string | undefined {
        const untried = this.addresses.filter((address) => !tried.has(address));
        return untried.find((address) => !this.hasFailed(address)) ?? untried[0];
    }

    /**
     * Records that a request is sent through a relay.
     * @param relay - its address
     */
    recordStart(relay: string): void {
        this.open.set(relay, (this.open.get(relay) ?? 0) + 1);
    }

    /**
     * Records that a relayed exchange is over.
     * @param relay - its address
     * @param isServed - whether a whole response was received
     */
    recordEnd(relay: string, isServed: boolean): void {
        const open = (this.open.get(relay) ?? 1) - 1;
        if (open > 0) {
            this.open.set(relay, open);
        }
        else {
            this.open.delete(relay);
        }
        this.options.metrics.countRelayedRequest("sent", isServed ? "served" : "failed");
        if (isServed) {
            this.failures.delete(relay);
        }
    }

    /**
     * Records that a relay did not send a request, or failed.
     * @param relay - its address
     * @param reason - for the log
     */
    recordFailure(relay: string, reason: string): void {
        const { getNowMs, log } = this.options;
        // Requests that were sent together fail together.
        if (!this.hasFailed(relay)) {
            const count = this.failures.get(relay)?.count ?? 0;
            const untilMs = getNowMs() + Math.min(MAX_FAILURE_MS, MIN_FAILURE_MS * 2 ** count);
            this.failures.set(relay, { count: count + 1, untilMs });
            log.record("info", "relay-failed", { peer: relay, reason, open: this.open.get(relay) ?? 0 });
        }
    }

    /**
     * Checks whether a relay that has not answered a request still answers.
     * @param relay - its address
     * @param upstreamId - the upstream of the request
     */
    handleSilence(relay: string, upstreamId: string): void {
        if (!this.asked.has(relay) && !this.hasFailed(relay)) {
            this.asked.add(relay);
            startTask(
                "relay-query",
                () => this.queryRelay(relay, [upstreamId]).finally(() => this.asked.delete(relay)),
            );
        }
    }

    /**
     * Applies a backoff that an upstream asked a relay for.
     * @param upstreamId - the upstream
     * @param backoffMs - its remaining time, in milliseconds
     */
    handleBackoff(upstreamId: string, backoffMs: number): void {
        this.options.handleBackoff(upstreamId, backoffMs);
    }

    /**
     * Asks all relays to connect to upstreams.
     * @param upstreams - their ids
     * @returns what they reach
     */
    async queryReach(upstreams: readonly string[]): Promise<OthersReach> {
        const answers = await Promise.all(this.addresses.map((relay) => this.queryRelay(relay, upstreams)));
        const reached = answers.filter((one) => one !== undefined);
        return { others: reached.length, reachedByOthers: Math.max(0, ...reached) };
    }

    /**
     * Asks one relay to connect to an upstream.
     * @param relay - its address
     * @param upstream - the upstream's id
     * @returns whether it could
     */
    async isReachedBy(relay: string, upstream: string): Promise<boolean> {
        return await this.queryRelay(relay, [upstream]) === 1;
    }

    private async queryRelay(relay: string, upstreams: readonly string[]): Promise<number | undefined> {
        const parameters: ReachParameters = { upstreams: [...upstreams] };
        try {
            const raw = await this.options.peers.call(relay, "reach", parameters, REACH_TIMEOUT_MS);
            const { reached } = reachResultSchema.parse(raw);
            if (reached.length === 0) {
                this.recordFailure(relay, "reaches no upstream");
            }
            return reached.length;
        }
        catch (error) {
            this.recordFailure(relay, error instanceof Error ? error.message : String(error));
            return undefined;
        }
    }

    private hasFailed(relay: string): boolean {
        return (this.failures.get(relay)?.untilMs ?? Number.NEGATIVE_INFINITY) > this.options.getNowMs();
    }
}
