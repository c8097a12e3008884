/**
 * Runs a request at most once, whichever entries receive it.
 *
 * The voters commit a claim before any byte is sent upstream. A duplicate gets the stored answer; while the original is
 * running, the duplicate waits at the claim's owner; if the owner is lost, the outcome is unknown and the request is
 * not run again.
 */
import type { AwaitAnswerResult, BufferedResponse, ClaimResult, Command } from "@crankfork/schemas";
import { ulid } from "ulid";
import type { ClaimEnd } from "../process/daemon/claimTable.js";
import { createCallerError, createErrorResponse, getErrorOutcome } from "./callerError.js";

/** Outcome of a command to the voters. */
export type CommandResult =
    | { readonly kind: "applied"; readonly result: unknown; }
    /** No leader accepted it: it is not in the log. */
    | { readonly kind: "no-quorum"; }
    /** It may or may not be appended to the log. */
    | { readonly kind: "unknown"; };

/** Dependencies of a claimed run. */
export interface ClaimFunctions {
    /** Identifies this process: instance and start. */
    readonly owner: string;
    readonly propose: (command: Command) => Promise<CommandResult>;
    /** Queries the owner of a claim for its outcome; `lost` if the owner is gone. */
    readonly queryOwner: (owner: string, token: string) => Promise<AwaitAnswerResult>;
    /** Registers a token before it is proposed, so that queries for it wait for its outcome. */
    readonly registerToken: (token: string, end: Promise<ClaimEnd>) => void;
    /** Commits the outcome of a claim; resolves after a bounded time and keeps retrying in the background. */
    readonly settle: (command: Command & { readonly token: string; }) => Promise<void>;
}

/** A request that may run only once. */
export interface ClaimedRequest {
    readonly requestId: string;
    readonly organisation: string;
    readonly key: string;
    /** Digest of everything that identifies the request. */
    readonly digest: string;
    /** How long a duplicate waits for the original, in milliseconds. */
    readonly waitMs: number;
    /** Runs the request; throws a caller error. */
    readonly run: () => Promise<BufferedResponse>;
}

/** The answer, and whether it is a stored one. */
export interface ClaimedAnswer {
    readonly answer: BufferedResponse;
    readonly isRepeat: boolean;
}

const STEP = "claim";
const RUNNING_RETRY_MS = 1_000;
const NO_QUORUM_RETRY_MS = 1_000;

/**
 * Runs a request unless it has already run.
 * @param request - the request
 * @param functions - access to the voters and the owners of claims
 * @returns the answer, which is stored for duplicates
 * @throws a caller error whose outcome tells whether the request may have run
 */
export async function runAtMostOnce(request: ClaimedRequest, functions: ClaimFunctions): Promise<ClaimedAnswer> {
    const token = ulid();
    const end = createDeferredOutcome();
    functions.registerToken(token, end.promise);
    try {
        return await claimAndRun(request, functions, { token, end });
    }
    finally {
        // No effect if the outcome is already set; otherwise the token will never be used.
        end.resolve({ kind: "not-run" });
    }
}

interface OwnToken {
    readonly token: string;
    readonly end: DeferredOutcome;
}

interface DeferredOutcome {
    readonly promise: Promise<ClaimEnd>;
    readonly resolve: (end: ClaimEnd) => void;
}

function createDeferredOutcome(): DeferredOutcome {
    let resolve: (end: ClaimEnd) => void = () => undefined;
    const promise = new Promise<ClaimEnd>((settle) => {
        resolve = settle;
    });
    return { promise, resolve };
}

async function claimAndRun(
    request: ClaimedRequest,
    functions: ClaimFunctions,
    own: OwnToken,
): Promise<ClaimedAnswer> {
    const deadline = performance.now() + request.waitMs;
    for (;;) {
        const claim = await openClaim(request, functions, own.token);
        switch (claim.kind) {
            case "granted":
                return { answer: await runGranted(request, functions, own), isRepeat: false };
            case "finished":
                return { answer: claim.answer, isRepeat: true };
            case "key-reused":
                throw createCallerError("key-reused", { step: STEP, peer: "", values: { key: request.key } });
            case "running": {
                const answer = await waitForOwner(request, functions, claim);
                if (answer !== undefined) {
                    return { answer, isRepeat: true };
                }
                if (performance.now() >= deadline) {
                    throw createAlreadyRunningError(request, claim.owner);
                }
            }
        }
    }
}

async function openClaim(request: ClaimedRequest, functions: ClaimFunctions, token: string): Promise<ClaimResult> {
    const { organisation, key, digest } = request;
    const command: Command = {
        kind: "open-claim",
        organisation,
        key,
        digest,
        owner: functions.owner,
        token,
    };
    const result = await functions.propose(command);
    if (result.kind === "applied") {
        return result.result as ClaimResult;
    }
    // If the claim is committed after all, it is not used: this process reports its token as `not-run` from now on.
    const id = result.kind === "no-quorum" ? "no-quorum" : "claim-unknown";
    throw createCallerError(id, { step: STEP, peer: "voters", retryAfterMs: NO_QUORUM_RETRY_MS });
}

async function runGranted(
    request: ClaimedRequest,
    functions: ClaimFunctions,
    own: OwnToken,
): Promise<BufferedResponse> {
    const { end, error } = await runToCompletion(request);
    own.end.resolve(end);
    const name = { organisation: request.organisation, key: request.key, token: own.token };
    await functions.settle(
        end.kind === "finished"
            ? { kind: "settle-claim", ...name, answer: end.answer }
            : { kind: "release-claim", ...name },
    );
    if (error !== undefined) {
        throw error;
    }
    if (end.kind === "not-run") {
        throw new Error("claimed request did not run but reported no error");
    }
    return end.answer;
}

interface RunOutcome {
    readonly end: ClaimEnd;
    readonly error: Error | undefined;
}

async function runToCompletion(request: ClaimedRequest): Promise<RunOutcome> {
    try {
        return { end: { kind: "finished", answer: await request.run() }, error: undefined };
    }
    catch (thrown) {
        const error = thrown instanceof Error ? thrown : new Error(String(thrown));
        if (getErrorOutcome(error) === "not-run") {
            return { end: { kind: "not-run" }, error };
        }
        // Duplicates of a request with an unknown outcome get this same answer permanently.
        const { status, body } = createErrorResponse(error, request.requestId);
        const answer: BufferedResponse = {
            status,
            content_type: "application/json",
            encoding: "utf8",
            body: JSON.stringify(body),
        };
        return { end: { kind: "finished", answer }, error };
    }
}

/** Gets the answer from the owner; undefined if the claim should be requested again. */
async function waitForOwner(
    request: ClaimedRequest,
    functions: ClaimFunctions,
    claim: { readonly owner: string; readonly token: string; },
): Promise<BufferedResponse | undefined> {
    const result = await functions.queryOwner(claim.owner, claim.token);
    const { organisation, key } = request;
    switch (result.kind) {
        case "finished":
            return result.answer;
        case "running":
            return undefined;
        case "not-run":
            await functions.propose({
                kind: "release-claim",
                organisation,
                key,
                token: claim.token,
            });
            return undefined;
        case "lost":
            throw createCallerError("owner-lost", {
                step: STEP,
                peer: claim.owner,
                values: { key, owner: claim.owner },
            });
    }
}

function createAlreadyRunningError(request: ClaimedRequest, owner: string): Error {
    return createCallerError("already-running", {
        step: STEP,
        peer: owner,
        values: { key: request.key, owner },
        retryAfterMs: RUNNING_RETRY_MS,
    });
}
