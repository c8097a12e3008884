/**
 * Claims: who may run a request that must run at most once, and the stored answer for repeats of it.
 * Part of the replicated state, so all decisions depend on the commands alone.
 */
import { type BufferedResponse, bufferedResponseSchema, type ClaimResult, type Command } from "@crankfork/schemas";
import * as z from "zod";

const claimSchema = z.object({
    organisation: z.string(),
    key: z.string(),
    digest: z.string(),
    owner: z.string(),
    token: z.string(),
    /** Unix time after which the claim is removed, by the leaders' clocks. */
    expires_ms: z.number(),
    answer: bufferedResponseSchema.optional(),
});

/** Schema of the claims in a snapshot. */
export const claimListSchema = z.array(claimSchema);

type Claim = z.infer<typeof claimSchema>;
type CommandOf<Kind extends Command["kind"]> = Extract<Command, { kind: Kind; }>;

/** All claims within their retention, oldest first. */
export class ClaimRegister {
    private claims = new Map<string, Claim>();

    /** Number of claims. */
    get size(): number {
        return this.claims.size;
    }

    /**
     * Opens a claim, unless another token holds it. Idempotent for the token that holds it.
     * @param command - the request and its prospective owner
     * @param atMs - the leader's Unix time
     * @param retentionMs - how long the claim is kept from that time
     * @returns `granted` to a single token
     */
    open(command: CommandOf<"open-claim">, atMs: number, retentionMs: number): ClaimResult {
        this.removeExpired(atMs);
        const claimKey = formatClaimKey(command);
        const existing = this.claims.get(claimKey);
        if (existing === undefined) {
            const { organisation, key, digest, owner, token } = command;
            this.claims.set(claimKey, { organisation, key, digest, owner, token, expires_ms: atMs + retentionMs });
            return { kind: "granted" };
        }
        if (existing.digest !== command.digest) {
            return { kind: "key-reused" };
        }
        if (existing.answer !== undefined) {
            return { kind: "finished", answer: existing.answer };
        }
        return existing.token === command.token ? { kind: "granted" } : {
            kind: "running",
            owner: existing.owner,
            token: existing.token,
        };
    }

    /**
     * Stores the answer of a request that ran.
     * @param command - the claim and its answer
     * @returns false if the token does not hold the claim
     */
    settle(command: CommandOf<"settle-claim">): boolean {
        const claim = this.getOwnedClaim(command);
        if (claim === undefined) {
            return false;
        }
        const answer: BufferedResponse = command.answer;
        this.claims.set(formatClaimKey(command), { ...claim, answer });
        return true;
    }

    /**
     * Releases the claim of a request that did not run, so that a repeat may run.
     * @param command - the claim
     * @returns false if the token does not hold the claim, or the claim is settled
     */
    release(command: CommandOf<"release-claim">): boolean {
        const claim = this.getOwnedClaim(command);
        if (claim === undefined || claim.answer !== undefined) {
            return false;
        }
        this.claims.delete(formatClaimKey(command));
        return true;
    }

    /**
     * Gets the claims as plain data.
     * @returns the claims, oldest first
     */
    getState(): readonly Claim[] {
        return [...this.claims.values()];
    }

    /**
     * Replaces all claims with those of a snapshot.
     * @param claims - the claims, oldest first
     */
    restore(claims: readonly Claim[]): void {
        this.claims = new Map(claims.map((claim) => [formatClaimKey(claim), claim]));
    }

    private getOwnedClaim(command: { organisation: string; key: string; token: string; }): Claim | undefined {
        const claim = this.claims.get(formatClaimKey(command));
        return claim?.token === command.token ? claim : undefined;
    }

    /** The map is in the order in which claims were opened, so iteration ends at the first that has not expired. */
    private removeExpired(nowMs: number): void {
        for (const [claimKey, claim] of this.claims) {
            if (nowMs <= claim.expires_ms) {
                return;
            }
            this.claims.delete(claimKey);
        }
    }
}

function formatClaimKey(claim: { organisation: string; key: string; }): string {
    return JSON.stringify([claim.organisation, claim.key]);
}
