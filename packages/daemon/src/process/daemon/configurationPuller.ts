/**
 * Brings newer configurations to an instance without a replica, and tells every instance when it may serve.
 */
import type { Membership } from "@crankfork/coordination";
import { type Configuration, configurationResultSchema } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { ConfigurationInForce } from "../../version/configurationInForce.js";
import type { Voters } from "./leaderClient.js";

/** What the puller needs from the process. */
export interface ConfigurationPullerOptions {
    readonly membership: Membership;
    readonly peers: PeerClient;
    readonly voters: Voters;
    readonly inForce: ConfigurationInForce;
    /** Called once the newest confirmed configuration was learnt after the start. */
    readonly handleFirst: () => void;
}

const PULL_MS = 100;
const ASK_TIMEOUT_MS = 1_000;

/** Pulls configurations. */
export class ConfigurationPuller {
    private timer: NodeJS.Timeout | undefined;
    private hasFirst = false;
    private isPulling = false;

    /**
     * @param options - members, peers, voters and what is in force
     */
    constructor(private readonly options: ConfigurationPullerOptions) {}

    /** Starts to pull. */
    start(): void {
        this.timer = setInterval(() => {
            void this.pull();
        }, PULL_MS);
    }

    /** Pulls now rather than at the next turn, because a newer version was heard of. */
    pullSoon(): void {
        if (this.hasFirst) {
            void this.pull();
        }
    }

    /** Stops. */
    stop(): void {
        clearInterval(this.timer);
    }

    private async pull(): Promise<void> {
        if (this.isPulling) {
            return;
        }
        this.isPulling = true;
        try {
            await (this.hasFirst ? this.pullNewer() : this.pullFirst());
        }
        finally {
            this.isPulling = false;
        }
    }

    /** After a start nothing is served before a quorum has told the newest version. */
    private async pullFirst(): Promise<void> {
        const newest = await this.options.voters.getNewestConfiguration();
        if (newest !== undefined) {
            this.options.inForce.apply(newest);
            this.hasFirst = true;
            this.options.handleFirst();
        }
    }

    private async pullNewer(): Promise<void> {
        const { membership, inForce, peers } = this.options;
        const { version } = inForce.get().configuration;
        const newer = membership.getLiveMembers().filter((member) => member.configuration_version > version);
        const source = newer[Math.floor(Math.random() * newer.length)];
        if (source === undefined) {
            return;
        }
        const configuration = await askConfiguration(peers, source.address);
        if (configuration !== undefined) {
            inForce.apply(configuration);
        }
    }
}

async function askConfiguration(peers: PeerClient, address: string): Promise<Configuration | undefined> {
    try {
        return configurationResultSchema.parse(await peers.ask(address, "getConfiguration", {}, ASK_TIMEOUT_MS))
            .configuration;
    }
    catch {
        return undefined;
    }
}
