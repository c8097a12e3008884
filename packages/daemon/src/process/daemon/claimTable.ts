/**
 * The claims that this process holds: what became of each request that may not run twice.
 * It answers other instances, which ask the owner before they tell a caller anything.
 */
import type { AwaitAnswerResult, BufferedResponse } from "@crankfork/schemas";

/** How a claimed request ended. */
export type ClaimEnd =
    | { readonly kind: "finished"; readonly answer: BufferedResponse; }
    | { readonly kind: "not-run"; };

/**
 * Claims of one process, by token.
 *
 * A token that is not here was never used or is settled. Saying `not-run` of it is safe in both cases, since the
 * voters give no settled claim back.
 */
export class ClaimTable {
    private readonly open = new Map<string, Promise<ClaimEnd>>();
    /** Answers that the voters do not have yet. */
    private readonly unsettled = new Map<string, BufferedResponse>();

    /** How many claims are open or not settled. */
    get size(): number {
        return this.open.size + this.unsettled.size;
    }

    /**
     * Marks a token, before it is proposed.
     * @param token - the token
     * @param end - resolves when its request ended, or will never run
     */
    recordOpen(token: string, end: Promise<ClaimEnd>): void {
        this.open.set(token, end);
        void end.then((result) => {
            this.open.delete(token);
            if (result.kind === "finished") {
                this.unsettled.set(token, result.answer);
            }
        });
    }

    /**
     * Marks that the voters have the end of a claim.
     * @param token - its token
     */
    recordSettled(token: string): void {
        this.unsettled.delete(token);
    }

    /**
     * Tells what became of a token that this process made.
     * @param token - the token
     * @param waitMs - how long to wait for an open one
     * @returns its end, or `running` where it is still open
     */
    async awaitEnd(token: string, waitMs: number): Promise<AwaitAnswerResult> {
        const open = this.open.get(token);
        if (open === undefined) {
            const answer = this.unsettled.get(token);
            return answer === undefined ? { kind: "not-run" } : { kind: "finished", answer };
        }
        const timeout = new Promise<AwaitAnswerResult>((resolve) => {
            setTimeout(() => {
                resolve({ kind: "running" });
            }, waitMs);
        });
        return await Promise.race([open, timeout]);
    }
}
