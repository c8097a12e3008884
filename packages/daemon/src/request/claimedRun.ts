/**
 * Runs a request at most once, whichever entries it is sent to.
 *
 * The claim is committed by the voters before any byte goes upstream. A repeat gets the kept answer; while the first
 * is running, it waits at the owner; where the owner is lost, the outcome is unknown and the request is not run again.
 */
import type { AwaitAnswerResult, ClaimResult, Command, KeptAnswer } from "@crankfork/schemas";
import { ulid } from "ulid";
import type { ClaimEnd } from "../process/daemon/claimTable.js";
import { createCallerError, createErrorResponse, getErrorOutcome } from "./callerError.js";

/** How a command to the voters ended. */
export type CommandResult =
    | { readonly kind: "applied"; readonly result: unknown; }
    /** No leader took it: it is certainly not in the log. */
    | { readonly kind: "no-quorum"; }
    /** It may or may not get into the log. */
    | { readonly kind: "unknown"; };

/** What a claimed run needs from the process around it. */
export interface ClaimFunctions {
    /** Names this process: instance and start. */
    readonly owner: string;
    readonly propose: (command: Command) => Promise<CommandResult>;
    /** Asks the owner of a claim what became of it; `lost` where the owner is gone. */
    readonly queryOwner: (owner: string, token: string) => Promise<AwaitAnswerResult>;
    /** Marks a token before it is proposed, so that whoever asks about it is kept waiting for its end. */
    readonly registerToken: (token: string, end: Promise<ClaimEnd>) => void;
    /** Commits the end of a claim; resolves after a bounded time and goes on trying behind the scenes. */
    readonly settle: (command: Command & { readonly token: string; }) => Promise<void>;
}

/** A request that may run once. */
export interface ClaimedRequest {
    readonly requestId: string;
    readonly organisation: string;
    readonly key: string;
    /** Digest of everything that makes the request what it is. */
    readonly digest: string;
    /** How long a repeat waits for the first, in milliseconds. */
    readonly waitMs: number;
    /** Runs the request; throws a caller's error. */
    readonly run: () => Promise<KeptAnswer>;
}

/** The answer, and whether it was made now. */
export interface ClaimedAnswer {
    readonly answer: KeptAnswer;
    readonly isRepeat: boolean;
}

const STEP = "claim";
const RUNNING_RETRY_MS = 1_000;
const NO_QUORUM_RETRY_MS = 1_000;

/**
 * Runs a request unless it ran before.
 * @param request - the request
 * @param functions - the voters, and the owners of claims
 * @returns the answer, kept for later repeats
 * @throws a caller's error that says what is known of the work
 */
export async function runAtMostOnce(request: ClaimedRequest, functions: ClaimFunctions): Promise<ClaimedAnswer> {
    const token = ulid();
    const end = createDeferredOutcome();
    functions.registerToken(token, end.promise);
    try {
        return await claimAndRun(request, functions, { token, end });
    }
    finally {
        // Where it ended before, this changes nothing; else the token will never be used.
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
    // A claim that gets into the log after all is not used: this process says `not-run` of its token for good.
    const id = result.kind === "no-quorum" ? "no-quorum" : "claim-unknown";
    throw createCallerError(id, { step: STEP, peer: "voters", retryAfterMs: NO_QUORUM_RETRY_MS });
}

async function runGranted(request: ClaimedRequest, functions: ClaimFunctions, own: OwnToken): Promise<KeptAnswer> {
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
        throw new Error("a claimed request did not run and gave no reason");
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
        // Repeats of a request whose end is not known get the same answer, for good.
        const { status, body } = createErrorResponse(error, request.requestId);
        const answer: KeptAnswer = {
            status,
            content_type: "application/json",
            encoding: "utf8",
            body: JSON.stringify(body),
        };
        return { end: { kind: "finished", answer }, error };
    }
}

/** Gets the answer from the owner; undefined where the claim should be asked for again. */
async function waitForOwner(
    request: ClaimedRequest,
    functions: ClaimFunctions,
    claim: { readonly owner: string; readonly token: string; },
): Promise<KeptAnswer | undefined> {
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
