/**
 * Checks right before a request is sent whether crashes of upstreams under it forbid that. One that crashed every
 * upstream that ran it would crash one after another, and abort all other requests that run there.
 */
import type { RequestContext, StopReason } from "./requestContext.js";
import type { RoutedRequestFunctions, TargetChoice } from "./requestFunctions.js";
import { computeMaxWaitMs, isQuarantined } from "./waitForTarget.js";

/** What the crashes under a request allow. */
export type SendCheck =
    | "send"
    /** It may be sent, but waited for the leader, so that its target may be gone. */
    | "choose-again"
    | "quarantined"
    /** The leader has not agreed in time. */
    | "undecided";

/**
 * Time for which the caller of a broken attempt waits until the voters have stored the crash. A caller who is answered
 * sooner comes back to an entry that does not know of it, and the record is lost where this entry ends.
 */
const MAX_STORE_WAIT_MS = 1_500;

/**
 * Checks whether a request may be sent.
 * @param context - the request
 * @param choice - its target, or the reason why there is none
 * @param functions - access to the recorded crashes
 * @returns `send` also if there is no target
 */
export async function checkSend(
    context: RequestContext,
    choice: TargetChoice,
    functions: RoutedRequestFunctions,
): Promise<SendCheck> {
    const { crashes } = functions;
    const { admitted } = context;
    if (isQuarantined(context, functions)) {
        context.hasCrash = true;
        // A trial is claimed only if it can be sent, since there are only two.
        context.isTrial = choice.kind === "target" && !context.mayHaveRun
            && await context.waitUnlessStopped(crashes.claimTrial(admitted)) === true;
        return context.isTrial ? "send" : "quarantined";
    }
    const isDecided = choice.kind !== "target" || context.isTrial || context.hasResendGrant;
    if (isDecided || !crashes.needsResendGrant(admitted)) {
        return "send";
    }
    context.hasCrash = true;
    const decision = await context.waitUnlessStopped(
        crashes.claimResend(admitted, computeMaxWaitMs(context.remainingMs)),
    );
    if (decision !== "granted") {
        return decision ?? "undecided";
    }
    context.hasResendGrant = true;
    return "choose-again";
}

/**
 * Waits until the voters have stored the crashes under a request, before its caller is answered or it is sent again.
 * @param context - the request
 * @param functions - access to the recorded crashes
 * @returns why the request was stopped meanwhile; undefined if it goes on
 */
export async function waitUntilCrashesStored(
    context: RequestContext,
    { crashes }: RoutedRequestFunctions,
): Promise<StopReason | undefined> {
    const { admitted, remainingMs } = context;
    await context.waitUnlessStopped(crashes.waitUntilStored(admitted, Math.min(remainingMs, MAX_STORE_WAIT_MS)));
    return context.stopReason;
}
