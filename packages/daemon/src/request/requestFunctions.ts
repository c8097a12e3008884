/**
 * Dependencies of a routed request, as functions.
 */
import type { RoutedService } from "@crankfork/schemas";
import type { RequestDispatcher } from "../connection/observeDispatch.js";
import type { AttemptOutput, UnansweredAttempt } from "../process/entry/crashTracker.js";
import type { PathStallHandler, PausableTracker, StreamTracker } from "../process/entry/pathStallDetector.js";
import type { RequestQueue } from "../process/entry/requestQueue.js";
import type { ResendDecision } from "../process/entry/resendClaims.js";
import type { UnreadBudget } from "../process/entry/unreadBudget.js";
import type { EventFields } from "../process/eventLog.js";
import type { AdmittedCall, RequestContext } from "./requestContext.js";
import type { CallCodec, CallTarget, ResponseVerdict, UpstreamNotice } from "./routedCall.js";

/** What an engine reports about a request that makes no progress. */
export type StallReport =
    | { readonly kind: "moving"; }
    | { readonly kind: "stalled"; readonly faultAddress: string | undefined; }
    /** The first engine of the path sent no report. */
    | { readonly kind: "unreachable"; };

/** Target of an attempt, or the reason why there is none. */
export type TargetChoice =
    | { readonly kind: "target"; readonly target: CallTarget; }
    /** No upstream can take the request. */
    | { readonly kind: "none"; }
    /** The registered engines have not held all layers of the model for a while, so waiting is useless. */
    | { readonly kind: "too-few-engines"; }
    /** All upstreams are at capacity. */
    | {
        readonly kind: "full";
        /** Open requests by rank on the path that came nearest, as `rank:count`; for a ranked service. */
        readonly takenBy?: string;
    }
    /** All candidates are in backoff, or at the reduced concurrency that follows a backoff. */
    | {
        readonly kind: "resting";
        /** Time until the first of them accepts requests; 0 if one is not in backoff but at reduced concurrency. */
        readonly remainingMs: number;
        /** Upstreams in backoff, for the log. */
        readonly upstreams: readonly string[];
    }
    /** All candidates have stated a rate limit, and it is used up. */
    | {
        readonly kind: "limited";
        /** Time until the next request may be sent. */
        readonly remainingMs: number;
        /** Whether that send is reserved for this entry; otherwise other entries may be able to send sooner. */
        readonly isHeld: boolean;
        /** Upstreams with a rate limit, for the log. */
        readonly upstreams: readonly string[];
    };

/** Handles the notices in upstream responses: backoff, rate limit and shutdown. */
export interface NoticeFunctions {
    /** Receives the notice in the headers of a response. */
    readonly receive: (target: CallTarget, notice: UpstreamNotice, answer: ReceivedResponse) => void;
    /** Whether the upstreams of a target accept a request; checked right before it is sent. */
    readonly maySend: (target: CallTarget) => boolean;
    readonly recordSend: (target: CallTarget) => void;
    /** Records the outcome of a request that was sent; `isServed` if it was answered or its stream has started. */
    readonly recordOutcome: (target: CallTarget, isServed: boolean) => void;
    /** Computes Retry-After for upstreams that are in backoff for `remainingMs`, in milliseconds. */
    readonly computeRetryAfterMs: (service: RoutedService, remainingMs: number) => number;
}

/** The response that carried a notice. */
export interface ReceivedResponse {
    readonly requestId: string;
    readonly verdict: ResponseVerdict;
    readonly status: number;
    /** When the request was sent, on the monotonic clock. */
    readonly sentMs: number;
}

/** Tracks requests during which upstreams crashed. */
export interface CrashFunctions {
    /** Whether a request crashed so many upstreams that it is quarantined, that is, no longer sent. */
    readonly isQuarantined: (admitted: AdmittedCall) => boolean;
    /** Claims a trial: sending a quarantined request once, to find out whether it still crashes upstreams. */
    readonly claimTrial: (admitted: AdmittedCall) => Promise<boolean>;
    /** Whether an upstream crashed under the request, so that the leader must agree before it is sent. */
    readonly needsResendGrant: (admitted: AdmittedCall) => boolean;
    /** Claims one attempt from the leader, within `maxWaitMs` milliseconds. */
    readonly claimResend: (admitted: AdmittedCall, maxWaitMs: number) => Promise<ResendDecision>;
    /** Waits until the voters have stored the crashes of the request, for at most `maxWaitMs` milliseconds. */
    readonly waitUntilStored: (admitted: AdmittedCall, maxWaitMs: number) => Promise<void>;
    /** `isRelayed` if another entry reported that the upstream closed its connection. */
    readonly recordCrash: (
        context: RequestContext,
        upstream: string,
        output: AttemptOutput,
        isRelayed: boolean,
    ) => void;
    readonly recordUnanswered: (context: RequestContext, ended: UnansweredAttempt) => void;
    /** The response ended with its connection, as it does when the upstream crashes. */
    readonly recordUnconfirmed: (context: RequestContext, ended: UnansweredAttempt) => void;
    /** The request completed at an upstream that survived it. */
    readonly recordSuccess: (admitted: AdmittedCall) => void;
}

/** Rank of a request in its service. */
export interface RequestRank {
    /** 0 is the most urgent. */
    readonly rank: number;
    /** Number of ranks of the service. */
    readonly rankCount: number;
    /** Whether the routes of the service differ in priority. */
    readonly isRanked: boolean;
}

/** Waiting for room, and when refused callers come back. */
export interface WaitingFunctions {
    readonly getQueue: (service: string) => RequestQueue;
    readonly getRank: (admitted: AdmittedCall) => RequestRank;
    /** Whether requests of more urgent ranks wait, or were refused in the last second, at any entry. */
    readonly isMoreUrgentShort: (service: string, rank: number) => boolean;
    /** Mean time from a send to the first event for requests of the same rank; undefined before the first one. */
    readonly getFirstEventMs: (admitted: AdmittedCall) => number | undefined;
    readonly recordFirstEvent: (admitted: AdmittedCall, durationMs: number) => void;
    /** Assigns the time until a caller that is refused for want of room comes back; undefined if not ranked. */
    readonly assignReturnMs: (context: RequestContext) => number | undefined;
}

/** Dependencies of a routed request. */
export interface RoutedRequestFunctions {
    /** False late in a planned stop, when an answer might not be complete before the process exits; always true if absent. */
    readonly acceptsRequests?: () => boolean;
    readonly getConnections: (target: CallTarget) => RequestDispatcher;
    /** Gets the entry through which an attempt was sent; undefined for a direct one. */
    readonly getRelay?: (target: CallTarget) => string | undefined;
    /** Whether an upstream accepts connections; one that has crashed does not. Assumed if absent. */
    readonly isReachable?: (target: CallTarget) => Promise<boolean>;
    readonly codec: CallCodec;
    readonly getNowMs: () => number;
    readonly chooseTarget: (
        context: RequestContext,
        lastEventId: string | undefined,
        hasStarted: boolean,
    ) => TargetChoice;
    /** Whether the memory of a service's engines is checked in tokens; by default it is not. */
    readonly isMemoryChecked?: (service: string) => boolean;
    /** Whether the API key of the request is still valid. */
    readonly isKeyUsable: () => boolean;
    /**
     * Records that a request is sent, with its rank in a ranked service and, where the memory of engines is checked, the
     * tokens that it holds there on average.
     */
    readonly recordStart: (id: string, rank?: number, tokens?: number) => void;
    /** The request has produced its first output, or ended without any. */
    readonly recordFirstOutput: (id: string, rank?: number) => void;
    readonly recordEnd: (id: string, rank?: number, tokens?: number) => void;
    readonly recordAnswer: (id: string, durationMs: number, isFailure: boolean) => void;
    /** Excludes an upstream for a while. */
    readonly suspect: (id: string, reason: string) => void;
    /** Excludes an engine that sent no report until it does. */
    readonly recordMissingReport: (id: string, reason: string) => void;
    /** Ends the exclusion of an engine that sent no report, since it delivers. */
    readonly recordProgress: (id: string) => void;
    /** Skips an engine that declined a request: it is at capacity or gone. */
    readonly recordDecline: (id: string, reason: string) => void;
    readonly findIdAt: (address: string) => string | undefined;
    /** Takes a retry from the retry budget; `hasStarted` tells whether the response has started. */
    readonly claimRetry: (service: string, hasStarted: boolean) => boolean;
    /** Returns a retry to the budget: nothing was sent. */
    readonly releaseRetry: (service: string) => void;
    readonly queryStall: (target: CallTarget, requestId: string) => Promise<StallReport>;
    /**
     * Whether the first engine of a path sends a report, and reports no request that waits for a later one. Assumed if
     * absent.
     */
    readonly isPathResponsive?: (target: CallTarget) => Promise<boolean>;
    /** Monitors a stream on its path; `leave` is called if the path stalls. */
    readonly watchPath: (target: CallTarget, pauseMs: number, leave: PathStallHandler) => PausableTracker;
    /** Observes how the events of a stream come over the link to its path; undefined for targets without a path. */
    readonly followLink?: (target: CallTarget) => StreamTracker | undefined;
    /** Whether there may be another path that the request has not tried and that is not stalled. */
    readonly hasOtherPath: (context: RequestContext) => boolean;
    /** Whether an upstream has terminated or is cut off, so that it cannot respond any more. */
    readonly hasEnded: (id: string) => boolean;
    /** Notices of upstreams. */
    readonly notices: NoticeFunctions;
    /** Requests during which upstreams crashed. */
    readonly crashes: CrashFunctions;
    /** Queues of the services; without them each request waits in a queue of its own. */
    readonly waiting?: WaitingFunctions;
    /** Bytes that callers have not read; not limited if absent. */
    readonly unread?: UnreadBudget;
    readonly record: (event: string, fields: EventFields) => void;
}
