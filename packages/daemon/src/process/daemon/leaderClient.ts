/**
 * How this instance reaches the leader of the log, from wherever it stands.
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
import type { ReplicaHost } from "../replicaHost.js";
import { waitMs } from "../waitMs.js";

/** What the way to the voters is made with. */
export interface VotersOptions {
    readonly host: ReplicaHost | undefined;
    readonly membership: Membership;
    readonly peers: PeerClient;
    /** How long to look for a leader, in milliseconds. */
    readonly timeoutMs: number;
}

const RETRY_MS = 40;

/** The way to the voters. */
export class Voters {
    private leaderAddress: string | undefined;

    /**
     * @param options - the own replica if any, and the others
     */
    constructor(private readonly options: VotersOptions) {}

    /**
     * Gets a command into the log, wherever the leader is. All commands may be proposed again without harm.
     * @param command - the command
     * @returns what applying it gave, or what is known of it at the timeout
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
            await this.followHint(result);
        }
        return { kind: mayBeInLog ? "unknown" : "no-quorum" };
    }

    /**
     * Asks the leader, inside its lease, for the newest configuration; looks for a leader until the timeout.
     * @returns the configuration, or undefined where no leader could say so
     */
    async getNewestConfiguration(): Promise<Configuration | undefined> {
        const deadline = performance.now() + this.options.timeoutMs;
        for (;;) {
            const configuration = await this.askNewestConfiguration();
            if (configuration !== undefined || performance.now() >= deadline) {
                return configuration;
            }
            await waitMs(RETRY_MS);
        }
    }

    private async askNewestConfiguration(): Promise<Configuration | undefined> {
        const { host } = this.options;
        if (host?.replica.hasNewestState() === true) {
            return host.state.configurations.getConfiguration();
        }
        const address = this.chooseAddress();
        if (address === undefined) {
            return undefined;
        }
        try {
            const raw = await this.options.peers.ask(address, "getNewest", {}, this.options.timeoutMs);
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
     * Asks the leader something that has no place in the log.
     * @param method - the method
     * @param parameters - its parameters
     * @param timeoutMs - how long the answer may take
     * @returns the result as it came
     * @throws ExchangeError where no leader is known or it can't be reached
     */
    async askLeader(method: string, parameters: object, timeoutMs: number): Promise<unknown> {
        const { host, peers } = this.options;
        const isSelf = host?.replica.getStatus().role === "leader";
        const address = isSelf ? host.self.address : this.chooseAddress();
        if (address === undefined) {
            throw new ExchangeError("not-reached", "voters", "no leader is known");
        }
        return await peers.ask(address, method, parameters, timeoutMs);
    }

    private async proposeOnce(command: Command, timeoutMs: number): Promise<ProposeResult> {
        const { host, peers } = this.options;
        const role = host?.replica.getStatus().role;
        if (host !== undefined && role === "leader") {
            return await awaitWithTimeout(host.propose(command), timeoutMs);
        }
        const address = this.chooseAddress();
        if (address === undefined) {
            return { kind: "not-leader" };
        }
        try {
            return proposeResultSchema.parse(await peers.ask(address, "propose", { command }, timeoutMs));
        }
        catch (error) {
            this.leaderAddress = undefined;
            const isNotSent = error instanceof ExchangeError && error.failure === "not-reached";
            return { kind: isNotSent ? "not-leader" : "unknown" };
        }
    }

    /** The leader as far as it is known here, else any instance that holds a replica and may know it. */
    private chooseAddress(): string | undefined {
        const { host, membership } = this.options;
        const known = host?.replica.getStatus().leader?.address ?? this.leaderAddress;
        if (known !== undefined) {
            return known;
        }
        const [, ...others] = membership.getLiveMembers();
        const holders = others.filter((member) => member.has_replica);
        return holders[Math.floor(Math.random() * holders.length)]?.address;
    }

    private async followHint(result: ProposeResult): Promise<void> {
        const hint: ReplicaAddress | undefined = result.kind === "not-leader" ? result.leader : undefined;
        const isNew = hint !== undefined && hint.address !== this.leaderAddress;
        this.leaderAddress = hint?.address;
        if (!isNew) {
            await waitMs(RETRY_MS);
        }
    }
}

async function awaitWithTimeout(result: Promise<ProposeResult>, timeoutMs: number): Promise<ProposeResult> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<ProposeResult>((resolve) => {
        timer = setTimeout(() => {
            resolve({ kind: "unknown" });
        }, timeoutMs);
    });
    try {
        return await Promise.race([result, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}
