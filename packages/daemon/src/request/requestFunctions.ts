/**
 * What a routed request needs from the process around it, as functions.
 */
import type { RoutedService } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import type { UnansweredTry } from "../process/entry/crashWatch.js";
import type { LeavePath, StreamPulse } from "../process/entry/pathPulse.js";
import type { EventFields } from "../process/eventLog.js";
import type { AdmittedCall, RequestContext } from "./requestContext.js";
import type { CallCodec, CallTarget, ResponseVerdict, UpstreamNotice } from "./routedCall.js";

/** What an engine's report says of a request that makes no progress. */
export type StallReport =
    | { readonly kind: "moving"; }
    | { readonly kind: "stalled"; readonly faultAddress: string | undefined; }
    /** The first engine of the path gave no report. */
    | { readonly kind: "unreachable"; };

/** Where a try may go. */
export type TargetChoice =
    | { readonly kind: "target"; readonly target: CallTarget; }
    /** Nothing there can take the request. */
    | { readonly kind: "none"; }
    /** The engines that are there have not held the model together for a while: waiting is in vain. */
    | { readonly kind: "too-few-engines"; }
    /** What is there has no room. */
    | { readonly kind: "full"; }
    /** Whatever could take it has asked for rest, or has as many as it takes since one asked for rest. */
    | {
        readonly kind: "resting";
        /** Time until the first of them takes requests again; 0 where one does not rest, and takes few. */
        readonly leftMs: number;
        /** Those that rest, for the log. */
        readonly upstreams: readonly string[];
    }
    /** Whatever could take it has named a rate, and gets as many. */
    | {
        readonly kind: "limited";
        /** Time until the next may be sent. */
        readonly leftMs: number;
        /** Whether that one is this entry's; else others may be sooner. */
        readonly isHeld: boolean;
        /** Those with a limit, for the log. */
        readonly upstreams: readonly string[];
    };

/** What upstreams say of themselves, and what follows from it. */
export interface NoticeFunctions {
    /** Takes what the head of an answer says of the upstream that gave it. */
    readonly receive: (target: CallTarget, notice: UpstreamNotice, answer: ReceivedResponse) => void;
    /** Whether the upstreams of a target want a request; looked at right before it is sent. */
    readonly maySend: (target: CallTarget) => boolean;
    readonly recordSend: (target: CallTarget) => void;
    /** How a request that was sent came out; `isServed` where it is answered, or its stream has begun. */
    readonly recordOutcome: (target: CallTarget, isServed: boolean) => void;
    /** When a caller should come back to upstreams that rest for so long, in milliseconds from now. */
    readonly computeRetryAfterMs: (service: RoutedService, leftMs: number) => number;
}

/** Which answer a notice came with. */
export interface ReceivedResponse {
    readonly requestId: string;
    readonly verdict: ResponseVerdict;
    readonly status: number;
    /** When the request left, on the monotonic clock. */
    readonly sentMs: number;
}

/** What is known of requests under which upstreams ended, and what a request adds to it. */
export interface CrashFunctions {
    /** Whether a request ended so many upstreams that it is not sent on. */
    readonly isQuarantined: (admitted: AdmittedCall) => boolean;
    /** Whether one that is held may be sent once, to find out whether it still ends them. */
    readonly claimTrial: (admitted: AdmittedCall) => Promise<boolean>;
    readonly recordCrash: (context: RequestContext, upstream: string, hadProgress: boolean) => void;
    readonly recordUnanswered: (context: RequestContext, ended: UnansweredTry) => void;
    /** It ran to its end at an upstream that outlived it. */
    readonly recordSuccess: (admitted: AdmittedCall) => void;
}

/** What a request needs from the process. */
export interface RoutedRequestFunctions {
    readonly getConnections: (target: CallTarget) => Dispatcher;
    readonly codec: CallCodec;
    readonly getNowMs: () => number;
    readonly chooseTarget: (
        context: RequestContext,
        lastEventId: string | undefined,
        hasStarted: boolean,
    ) => TargetChoice;
    /** Whether the key of the request may still be used. */
    readonly isKeyUsable: () => boolean;
    readonly recordStart: (id: string) => void;
    /** The request has its first token, or ended without one. */
    readonly recordFirstOutput: (id: string) => void;
    readonly recordEnd: (id: string) => void;
    readonly recordAnswer: (id: string, durationMs: number, isFailure: boolean) => void;
    /** Leaves an upstream out for a while. */
    readonly suspect: (id: string, reason: string) => void;
    /** Passes an engine over that declined: it has no room, or it is gone. */
    readonly recordDecline: (id: string, reason: string) => void;
    readonly findIdAt: (address: string) => string | undefined;
    /** Draws on the budget of repeats; `isUnderWay` tells whether the caller has a part of its answer already. */
    readonly claimRetry: (service: string, hasStarted: boolean) => boolean;
    readonly queryStall: (target: CallTarget, requestId: string) => Promise<StallReport>;
    /** Follows a stream on its path; `leave` is called where the path stands still. */
    readonly watchPath: (target: CallTarget, pauseMs: number, leave: LeavePath) => StreamPulse;
    /** Whether a stream may leave its path for another; draws on the budget of repeats where it may. */
    readonly claimPathSwitch: (context: RequestContext, hasStarted: boolean) => boolean;
    /** Whether an upstream has ended, or is cut off: it can't answer any more. */
    readonly hasEnded: (id: string) => boolean;
    /** What upstreams say of themselves. */
    readonly notices: NoticeFunctions;
    /** Requests under which upstreams ended. */
    readonly crashes: CrashFunctions;
    readonly record: (event: string, fields: EventFields) => void;
}
