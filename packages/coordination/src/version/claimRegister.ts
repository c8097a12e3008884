/**
 * Claims: who may run a request that must run at most once, and the answer kept for repeats.
 * Part of the replicated state, so all decisions here follow from the commands alone.
 */
import { type BufferedResponse, bufferedResponseSchema, type ClaimResult, type Command } from "@crankfork/schemas";
import * as z from "zod";

const claimSchema = z.object({
    organisation: z.string(),
    key: z.string(),
    digest: z.string(),
    owner: z.string(),
    token: z.string(),
    /** From then on the claim is forgotten, by the leaders' clocks. */
    expires_ms: z.number(),
    answer: bufferedResponseSchema.optional(),
});

/** Schema of the claims in a snapshot. */
export const claimListSchema = z.array(claimSchema);

type Claim = z.infer<typeof claimSchema>;
type CommandOf<Kind extends Command["kind"]> = Extract<Command, { kind: Kind; }>;

/** All claims that are within their retention, oldest first. */
export class ClaimRegister {
    private claims = new Map<string, Claim>();

    /** How many claims are kept. */
    get size(): number {
        return this.claims.size;
    }

    /**
     * Opens a claim, unless another holds it.
     * @param command - the request and who wants to run it
     * @param atMs - wall clock of the leader
     * @param retentionMs - how long the claim is kept from then on
     * @returns `granted` to one token only, however often it asks
     */
    open(command: CommandOf<"open-claim">, atMs: number, retentionMs: number): ClaimResult {
        this.removeExpired(atMs);
        const name = formatName(command);
        const known = this.claims.get(name);
        if (known === undefined) {
            const { organisation, key, digest, owner, token } = command;
            this.claims.set(name, { organisation, key, digest, owner, token, expires_ms: atMs + retentionMs });
            return { kind: "granted" };
        }
        if (known.digest !== command.digest) {
            return { kind: "key-reused" };
        }
        if (known.answer !== undefined) {
            return { kind: "finished", answer: known.answer };
        }
        return known.token === command.token ? { kind: "granted" } : {
            kind: "running",
            owner: known.owner,
            token: known.token,
        };
    }

    /**
     * Keeps the answer of a request that ran.
     * @param command - the claim and its answer
     * @returns false where the token does not hold the claim
     */
    settle(command: CommandOf<"settle-claim">): boolean {
        const claim = this.getHeld(command);
        if (claim === undefined) {
            return false;
        }
        const answer: BufferedResponse = command.answer;
        this.claims.set(formatName(command), { ...claim, answer });
        return true;
    }

    /**
     * Gives a claim back whose request did not run, so that a repeat may.
     * @param command - the claim
     * @returns false where the token does not hold the claim, or it is settled
     */
    release(command: CommandOf<"release-claim">): boolean {
        const claim = this.getHeld(command);
        if (claim === undefined || claim.answer !== undefined) {
            return false;
        }
        this.claims.delete(formatName(command));
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
     * Puts claims from a snapshot in the place of the present ones.
     * @param claims - the claims, oldest first
     */
    restore(claims: readonly Claim[]): void {
        this.claims = new Map(claims.map((claim) => [formatName(claim), claim]));
    }

    private getHeld(command: { organisation: string; key: string; token: string; }): Claim | undefined {
        const claim = this.claims.get(formatName(command));
        return claim?.token === command.token ? claim : undefined;
    }

    /** Claims stand in the order of their opening, so the walk ends at the first that is kept. */
    private removeExpired(nowMs: number): void {
        for (const [name, claim] of this.claims) {
            if (nowMs <= claim.expires_ms) {
                return;
            }
            this.claims.delete(name);
        }
    }
}

function formatName(claim: { organisation: string; key: string; }): string {
    return JSON.stringify([claim.organisation, claim.key]);
}
