/**
 * Claims attempts of requests that crashed an upstream from the leader. An entry alone knows only its own crashes, and
 * those of other entries some time later, while callers come back at another entry within milliseconds.
 */
import { resendResultSchema } from "@crankfork/schemas";
import { JSONRPCErrorCode, JSONRPCErrorException } from "json-rpc-2.0";
import type { EventLog } from "../eventLog.js";
import { waitMs } from "../waitMs.js";

/** Whether a request may be sent again. */
export type ResendDecision =
    | "granted"
    | "quarantined"
    /** No leader has answered in time, or another attempt was in progress all the time. */
    | "undecided";

/** Dependencies of the claims. */
export interface ResendClaimsOptions {
    readonly getNowMs: () => number;
    readonly log: EventLog;
    /** Sends a request to the leader; rejects where no leader is known, or where it does not answer. */
    readonly askLeader: (method: "resend", parameters: object) => Promise<unknown>;
}

/** A request to be sent again. */
export interface ResendClaim {
    readonly fingerprint: string;
    /** Suspected segments of its prompt. */
    readonly getSegments?: () => readonly string[];
    readonly maxWaitMs: number;
    /** Whether a grant is still needed; it is not once the same request has completed. */
    readonly isNeeded: () => boolean;
    /** Waits until the voters know all crashes seen here; resolves to false where they do not within this time. */
    readonly waitUntilStored: (maxWaitMs: number) => Promise<boolean>;
}

const RETRY_MS = 50;
const METHOD_NOT_FOUND: number = JSONRPCErrorCode.MethodNotFound;

/** Claims of one entry. */
export class ResendClaims {
    /** Requests for which an attempt waits for the leader; of equal requests one asks at a time. */
    private readonly pending = new Set<string>();

    /**
     * @param options - clock, log and connection to the leader
     */
    constructor(private readonly options: ResendClaimsOptions) {}

    /**
     * Claims one attempt.
     * @param claim - the request
     * @returns whether it may be sent; undecided where this is not known in time
     */
    async claim(claim: ResendClaim): Promise<ResendDecision> {
        const { fingerprint, maxWaitMs, isNeeded } = claim;
        const endMs = this.options.getNowMs() + maxWaitMs;
        for (;;) {
            if (!isNeeded()) {
                return "granted";
            }
            const decision = this.pending.has(fingerprint) ? "undecided" : await this.askAlone(claim, endMs);
            if (decision !== "undecided" || this.options.getNowMs() + RETRY_MS > endMs) {
                return decision;
            }
            await waitMs(RETRY_MS);
        }
    }

    private async askAlone(
        { fingerprint, getSegments, waitUntilStored }: ResendClaim,
        endMs: number,
    ): Promise<ResendDecision> {
        this.pending.add(fingerprint);
        try {
            const isStored = await waitUntilStored(endMs - this.options.getNowMs());
            return isStored ? await this.ask(fingerprint, getSegments?.() ?? []) : "undecided";
        }
        finally {
            this.pending.delete(fingerprint);
        }
    }

    private async ask(fingerprint: string, segments: readonly string[]): Promise<ResendDecision> {
        const { askLeader, log } = this.options;
        try {
            const { outcome } = resendResultSchema.parse(await askLeader("resend", { fingerprint, segments }));
            return outcome === "granted" || outcome === "quarantined" ? outcome : "undecided";
        }
        catch (error) {
            if (error instanceof JSONRPCErrorException && error.code === METHOD_NOT_FOUND) {
                // A leader of an older build grants nothing; the crashes that it has stored still count.
                return "granted";
            }
            log.record("info", "resend-not-decided", { fingerprint, reason: String(error) });
            return "undecided";
        }
    }
}
