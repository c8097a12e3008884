/**
 * Manages the claims that this process owns, and queries the owners of other claims.
 */
import type { Membership } from "@crankfork/coordination";
import { type AwaitAnswerResult, awaitAnswerResultSchema, type Command } from "@crankfork/schemas";
import { randomInt } from "node:crypto";
import { ExchangeError } from "../../connection/httpClient.js";
import type { PeerClient } from "../../connection/peerClient.js";
import type { ClaimFunctions } from "../../request/claimedRun.js";
import type { EventLog } from "../eventLog.js";
import { startTimer } from "../startTask.js";
import { waitMs } from "../waitMs.js";
import { ClaimTable } from "./claimTable.js";
import type { LeaderClient } from "./leaderClient.js";

/** Dependencies of the manager. */
export interface ClaimManagerOptions {
    readonly instance: string;
    readonly membership: Membership;
    readonly leaderClient: LeaderClient;
    readonly peers: PeerClient;
    readonly log: EventLog;
}

/** How long an owner holds a query about a request that is still running. */
const AWAIT_ANSWER_TIMEOUT_MS = 1_000;
const OWNER_REQUEST_TIMEOUT_MS = 2_500;
const OWNER_RETRY_DELAY_MS = 20;
const SETTLE_RETRY_DELAY_MS = 500;
const PROCESS_NONCE_LIMIT = 2 ** 32;

/** Manages the claims of one process. */
export class ClaimManager {
    /** Identifies this process among all that have run as this instance. */
    readonly owner: string;
    private readonly table = new ClaimTable();
    private isStopped = false;

    /**
     * @param options - dependencies
     */
    constructor(private readonly options: ClaimManagerOptions) {
        this.owner = `${options.instance}/${randomInt(PROCESS_NONCE_LIMIT).toString(16)}`;
    }

    /** Number of claims that are open or not settled. */
    get size(): number {
        return this.table.size;
    }

    /**
     * Creates the claim functions that a request runs with.
     */
    createFunctions(): ClaimFunctions {
        return {
            owner: this.owner,
            propose: (command) => this.options.leaderClient.propose(command),
            queryOwner: (owner, token) => this.askOwner(owner, token),
            registerToken: (token, end) => {
                this.table.recordOpen(token, end);
            },
            settle: (command) => this.settle(command),
        };
    }

    /**
     * Answers another instance's query about a claim.
     * @param owner - the process that the other instance takes for the owner
     * @param token - token of the claim
     * @returns the outcome; `lost` if the owner was an earlier process of this instance
     */
    async awaitAnswer(owner: string, token: string): Promise<AwaitAnswerResult> {
        return owner === this.owner ? await this.table.awaitEnd(token, AWAIT_ANSWER_TIMEOUT_MS) : { kind: "lost" };
    }

    /** Stops retrying to settle claims with the voters. */
    stop(): void {
        this.isStopped = true;
    }

    private async settle(command: Command & { readonly token: string; }): Promise<void> {
        const result = await this.options.leaderClient.propose(command);
        if (result.kind === "applied") {
            this.table.recordSettled(command.token);
            return;
        }
        this.options.log.record("warn", "claim-not-settled", { token: command.token });
        startTimer("claim-settle", SETTLE_RETRY_DELAY_MS, () => this.isStopped ? undefined : this.settle(command));
    }

    private async askOwner(owner: string, token: string): Promise<AwaitAnswerResult> {
        if (owner === this.owner) {
            return await this.table.awaitEnd(token, AWAIT_ANSWER_TIMEOUT_MS);
        }
        const [instance] = owner.split("/");
        const member = this.options.membership.getLiveMembers().find((one) => one.id === instance);
        if (member === undefined) {
            return { kind: "lost" };
        }
        try {
            const parameters = { owner, token };
            const raw = await this.options.peers.call(
                member.address,
                "awaitAnswer",
                parameters,
                OWNER_REQUEST_TIMEOUT_MS,
            );
            return awaitAnswerResultSchema.parse(raw);
        }
        catch (error) {
            if (error instanceof ExchangeError && error.isConnectionRefused) {
                // The owner's port is closed. Should the owner be alive after all, the request still does not run twice.
                return { kind: "lost" };
            }
            // The owner may be slow, partitioned or dying. Membership decides which; the caller of this function queries again.
            await waitMs(OWNER_RETRY_DELAY_MS);
            return { kind: "running" };
        }
    }
}
