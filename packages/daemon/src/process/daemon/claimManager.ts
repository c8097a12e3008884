/**
 * This process as an owner of claims, and its way to the owners of others.
 */
import type { Membership } from "@crankfork/coordination";
import { type AwaitAnswerResult, awaitAnswerResultSchema, type Command } from "@crankfork/schemas";
import { randomInt } from "node:crypto";
import { ExchangeError } from "../../connection/httpClient.js";
import type { PeerClient } from "../../connection/peerClient.js";
import type { ClaimFunctions } from "../../request/claimedRun.js";
import type { EventLog } from "../eventLog.js";
import { waitMs } from "../waitMs.js";
import { ClaimTable } from "./claimTable.js";
import type { Voters } from "./leaderClient.js";

/** What the keeper needs from the process. */
export interface ClaimKeeperOptions {
    readonly instance: string;
    readonly membership: Membership;
    readonly voters: Voters;
    readonly peers: PeerClient;
    readonly log: EventLog;
}

/** How long an owner keeps an asker waiting for a running request. */
const AWAIT_ANSWER_MS = 1_000;
const ASK_OWNER_TIMEOUT_MS = 2_500;
const ASK_AGAIN_MS = 20;
const SETTLE_RETRY_MS = 500;
const START_NONCE_LIMIT = 2 ** 32;

/** Keeps the claims of one process. */
export class ClaimKeeper {
    /** Names this process among all that ever ran as this instance. */
    readonly owner: string;
    private readonly table = new ClaimTable();
    private isStopped = false;

    /**
     * @param options - instance, voters and peers
     */
    constructor(private readonly options: ClaimKeeperOptions) {
        this.owner = `${options.instance}/${randomInt(START_NONCE_LIMIT).toString(16)}`;
    }

    /** Claims that are open or not settled. */
    get size(): number {
        return this.table.size;
    }

    /**
     * Creates what a claimed request needs.
     * @returns the functions
     */
    createFunctions(): ClaimFunctions {
        return {
            owner: this.owner,
            propose: (command) => this.options.voters.propose(command),
            askOwner: (owner, token) => this.askOwner(owner, token),
            recordOpen: (token, end) => {
                this.table.recordOpen(token, end);
            },
            settle: (command) => this.settle(command),
        };
    }

    /**
     * Tells another instance what became of a token.
     * @param owner - the process that the asker takes for its owner
     * @param token - the token
     * @returns `lost` where this is another process by now
     */
    async awaitAnswer(owner: string, token: string): Promise<AwaitAnswerResult> {
        return owner === this.owner ? await this.table.awaitEnd(token, AWAIT_ANSWER_MS) : { kind: "lost" };
    }

    /** Tries no longer to settle what the voters could not be told. */
    stop(): void {
        this.isStopped = true;
    }

    private async settle(command: Command & { readonly token: string; }): Promise<void> {
        const result = await this.options.voters.propose(command);
        if (result.kind === "applied") {
            this.table.recordSettled(command.token);
            return;
        }
        this.options.log.record("warn", "claim-not-settled", { token: command.token });
        setTimeout(() => {
            if (!this.isStopped) {
                void this.settle(command);
            }
        }, SETTLE_RETRY_MS);
    }

    private async askOwner(owner: string, token: string): Promise<AwaitAnswerResult> {
        if (owner === this.owner) {
            return await this.table.awaitEnd(token, AWAIT_ANSWER_MS);
        }
        const [instance] = owner.split("/");
        const member = this.options.membership.getLiveMembers().find((one) => one.id === instance);
        if (member === undefined) {
            return { kind: "lost" };
        }
        try {
            const parameters = { owner, token };
            const raw = await this.options.peers.ask(member.address, "awaitAnswer", parameters, ASK_OWNER_TIMEOUT_MS);
            return awaitAnswerResultSchema.parse(raw);
        }
        catch (error) {
            if (error instanceof ExchangeError && error.isRefused) {
                // Nobody listens where the owner did. Were it wrong, the request would still not run twice.
                return { kind: "lost" };
            }
            // It may be slow, cut off or dying; membership decides which, and the caller of this asks again.
            await waitMs(ASK_AGAIN_MS);
            return { kind: "running" };
        }
    }
}
