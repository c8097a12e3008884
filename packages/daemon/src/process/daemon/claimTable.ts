/**
 * The claims that this process owns, each for a request that must not run twice, and their outcomes.
 * Other instances query the owner of a claim before they answer a caller.
 */
import type { AwaitAnswerResult, BufferedResponse } from "@crankfork/schemas";
import { startTask } from "../startTask.js";
import { limitTimerMs } from "../waitMs.js";

/** How a claimed request ended. */
export type ClaimEnd =
    | { readonly kind: "finished"; readonly answer: BufferedResponse; }
    | { readonly kind: "not-run"; };

/**
 * Claims of one process, by token.
 *
 * An absent token was never used or is settled. Reporting `not-run` is safe in both cases, because the voters never
 * reopen a settled claim.
 */
export class ClaimTable {
    private readonly open = new Map<string, Promise<ClaimEnd>>();
    /** Answers that are not settled with the voters yet. */
    private readonly unsettled = new Map<string, BufferedResponse>();

    /** Number of claims that are open or not settled. */
    get size(): number {
        return this.open.size + this.unsettled.size;
    }

    /**
     * Records a claim as open, before it is proposed.
     * @param token - token of the claim
     * @param end - resolves when the request has ended or will never run
     */
    recordOpen(token: string, end: Promise<ClaimEnd>): void {
        this.open.set(token, end);
        startTask("claim-end", () =>
            end.then((result) => {
                if (result.kind === "finished") {
                    this.unsettled.set(token, result.answer);
                }
            }).finally(() => this.open.delete(token)));
    }

    /**
     * Records that the voters have stored the end of a claim.
     * @param token - token of the claim
     */
    recordSettled(token: string): void {
        this.unsettled.delete(token);
    }

    /**
     * Waits for the end of a claim.
     * @param token - token of the claim
     * @param waitMs - how long to wait if the claim is open
     * @returns the end, or `running` if the claim is still open
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
            }, limitTimerMs(waitMs));
        });
        return await Promise.race([open, timeout]);
    }
}
