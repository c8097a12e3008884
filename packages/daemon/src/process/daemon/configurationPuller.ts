/**
 * Pulls newer configurations for an instance without a replica, and signals on every instance when it may serve.
 */
import type { Membership } from "@crankfork/coordination";
import { type Configuration, configurationResultSchema } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { ActiveConfiguration } from "../../version/activeConfiguration.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { startTask } from "../startTask.js";
import type { LeaderClient } from "./leaderClient.js";

/** Dependencies of the puller. */
export interface ConfigurationPullerOptions {
    readonly membership: Membership;
    readonly peers: PeerClient;
    readonly leaderClient: LeaderClient;
    readonly inForce: ActiveConfiguration;
    /** Called once after the start, when the newest confirmed configuration has been applied. */
    readonly handleFirstConfiguration: () => void;
}

const PULL_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 1_000;

/** Pulls configurations from the leader at first, then from peers. */
export class ConfigurationPuller {
    private stopTask: StopPeriodicTask | undefined;
    private hasFirstConfiguration = false;
    private isPulling = false;

    /**
     * @param options - dependencies
     */
    constructor(private readonly options: ConfigurationPullerOptions) {}

    /** Starts the periodic pull. */
    start(): void {
        this.stopTask = startPeriodicTask("configuration-pull", PULL_INTERVAL_MS, () => this.pull());
    }

    /** Pulls immediately instead of at the next interval, after gossip of a newer version. */
    pullNow(): void {
        if (this.hasFirstConfiguration) {
            startTask("configuration-pull", () => this.pull());
        }
    }

    /** Stops the periodic pull. */
    stop(): void {
        this.stopTask?.();
    }

    private async pull(): Promise<void> {
        if (this.isPulling) {
            return;
        }
        this.isPulling = true;
        try {
            await (this.hasFirstConfiguration ? this.pullNewer() : this.pullFirst());
        }
        finally {
            this.isPulling = false;
        }
    }

    /** After a start, nothing is served until a leader with a quorum has returned the newest version. */
    private async pullFirst(): Promise<void> {
        const newest = await this.options.leaderClient.getNewestConfiguration();
        if (newest !== undefined) {
            this.options.inForce.apply(newest);
            this.hasFirstConfiguration = true;
            this.options.handleFirstConfiguration();
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
        const configuration = await requestConfiguration(peers, source.address);
        if (configuration !== undefined) {
            inForce.apply(configuration);
        }
    }
}

async function requestConfiguration(peers: PeerClient, address: string): Promise<Configuration | undefined> {
    try {
        return configurationResultSchema.parse(await peers.call(address, "getConfiguration", {}, REQUEST_TIMEOUT_MS))
            .configuration;
    }
    catch {
        return undefined;
    }
}
