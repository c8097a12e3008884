/**
 * Client of the log's leader, for instances with and without a replica.
 */
import type { Membership } from "@crankfork/coordination";
import {
    type Command,
    type Configuration,
    newestResultSchema,
    type ProposeResult,
    proposeResultSchema,
    type ReplicaAddress,
} from "@crankfork/schemas";
import { ExchangeError } from "../../connection/httpClient.js";
import type { PeerClient } from "../../connection/peerClient.js";
import type { CommandResult } from "../../request/claimedRun.js";
import { createProposeResult } from "../createProposeResult.js";
import type { ReplicaHost } from "../replicaHost.js";
import { limitTimerMs } from "../waitMs.js";
import { waitMs } from "../waitMs.js";

/** Dependencies of the client. */
export interface LeaderClientOptions {
    readonly host: ReplicaHost | undefined;
    readonly membership: Membership;
    readonly peers: PeerClient;
    /** How long a call is retried while no leader answers, in milliseconds. */
    readonly timeoutMs: number;
}

const RETRY_DELAY_MS = 40;

/** Sends commands and queries to the leader. */
export class LeaderClient {
    private leaderAddress: string | undefined;

    /**
     * @param options - dependencies
     */
    constructor(private readonly options: LeaderClientOptions) {}

    /**
     * Proposes a command to the leader and retries until the timeout. This is safe because all commands are idempotent.
     * @param command - the command
     * @returns the result of applying it, or what is known at the timeout
     */
    async propose(command: Command): Promise<CommandResult> {
        const deadline = performance.now() + this.options.timeoutMs;
        let mayBeInLog = false;
        while (performance.now() < deadline) {
            const result = await this.proposeOnce(command, deadline - performance.now());
            if (result.kind === "applied") {
                return { kind: "applied", result: result.result };
            }
            mayBeInLog ||= result.kind === "unknown";
            await this.followLeaderHint(result);
        }
        return { kind: mayBeInLog ? "unknown" : "no-quorum" };
    }

    /**
     * Reads the newest configuration from the leader, within its lease, and retries until the timeout.
     * @returns the configuration, or undefined if no leader returned it
     */
    async getNewestConfiguration(): Promise<Configuration | undefined> {
        const deadline = performance.now() + this.options.timeoutMs;
        for (;;) {
            const configuration = await this.requestNewestConfiguration();
            if (configuration !== undefined || performance.now() >= deadline) {
                return configuration;
            }
            await waitMs(RETRY_DELAY_MS);
        }
    }

    private async requestNewestConfiguration(): Promise<Configuration | undefined> {
        const { host } = this.options;
        if (host?.replica.hasLeaderLease() === true) {
            return host.state.configurations.getConfiguration();
        }
        const address = this.chooseLeaderAddress();
        if (address === undefined) {
            return undefined;
        }
        try {
            const raw = await this.options.peers.call(address, "getNewest", {}, this.options.timeoutMs);
            const result = newestResultSchema.parse(raw);
            if (result.kind === "newest") {
                return result.configuration;
            }
            this.leaderAddress = result.leader?.address;
        }
        catch {
            this.leaderAddress = undefined;
        }
        return undefined;
    }

    /**
     * Sends a request to the leader that does not go through the log.
     * @param method - RPC method
     * @param parameters - parameters of the method
     * @param timeoutMs - time limit for the answer
     * @returns the unparsed result
     * @throws ExchangeError if no leader is known or it can't be reached
     */
    async requestLeader(method: string, parameters: object, timeoutMs: number): Promise<unknown> {
        const { host, peers } = this.options;
        const isSelf = host?.replica.getStatus().role === "leader";
        const address = isSelf ? host.self.address : this.chooseLeaderAddress();
        if (address === undefined) {
            throw new ExchangeError("not-reached", "voters", "no leader is known");
        }
        return await peers.call(address, method, parameters, timeoutMs);
    }

    private async proposeOnce(command: Command, timeoutMs: number): Promise<ProposeResult> {
        const { host, peers } = this.options;
        const role = host?.replica.getStatus().role;
        if (host !== undefined && role === "leader") {
            return await awaitWithTimeout(host.propose(command).then(createProposeResult), timeoutMs);
        }
        const address = this.chooseLeaderAddress();
        if (address === undefined) {
            return { kind: "not-leader" };
        }
        try {
            return proposeResultSchema.parse(await peers.call(address, "propose", { command }, timeoutMs));
        }
        catch (error) {
            this.leaderAddress = undefined;
            const isNotSent = error instanceof ExchangeError && error.failure === "not-reached";
            return { kind: isNotSent ? "not-leader" : "unknown" };
        }
    }

    /** Address of the known leader, or else of a random instance with a replica, which may redirect to the leader. */
    private chooseLeaderAddress(): string | undefined {
        const { host, membership } = this.options;
        const known = host?.replica.getStatus().leader?.address ?? this.leaderAddress;
        if (known !== undefined) {
            return known;
        }
        const [, ...others] = membership.getLiveMembers();
        const holders = others.filter((member) => member.has_replica);
        return holders[Math.floor(Math.random() * holders.length)]?.address;
    }

    private async followLeaderHint(result: ProposeResult): Promise<void> {
        const hint: ReplicaAddress | undefined = result.kind === "not-leader" ? result.leader : undefined;
        const isNew = hint !== undefined && hint.address !== this.leaderAddress;
        this.leaderAddress = hint?.address;
        if (!isNew) {
            await waitMs(RETRY_DELAY_MS);
        }
    }
}

async function awaitWithTimeout(result: Promise<ProposeResult>, timeoutMs: number): Promise<ProposeResult> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<ProposeResult>((resolve) => {
        timer = setTimeout(() => {
            resolve({ kind: "unknown" });
        }, limitTimerMs(timeoutMs));
    });
    try {
        return await Promise.race([result, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}
