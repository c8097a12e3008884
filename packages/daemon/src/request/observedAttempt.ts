/**
 * Runs one attempt of a routed request, and records what it shows about its upstream.
 */
import { computeHeldTokens, getUsualSize } from "@crankfork/decisions";
import type { AttemptOutput } from "../process/entry/crashTracker.js";
import { recordAttempt } from "./recordAttempt.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import { type Silence, type StallWatch, startStallWatch } from "./stallWatch.js";
import type { AttemptStream, StreamRelay } from "./streamRelay.js";
import { type AbortAttempt, type AttemptResult, runAttempt } from "./upstreamAttempt.js";

/**
 * Time for which a caller has not kept up, after which the end of the upstream's connection is put down to it: upstreams cut
 * an answer that stays unread for some seconds.
 */
const UNREAD_CUT_MS = 1_000;

/** Callbacks of an attempt. */
export interface AttemptObserver {
    /** Receives the function that aborts the attempt. */
    readonly handleStart: (abort: AbortAttempt) => void;
    /** Called before an event of the stream is forwarded. */
    readonly handleEvent: () => void;
    /** Called when the attempt is found silent, with what it has delivered so far. */
    readonly handleSilence: (silence: Silence, output: AttemptOutput) => void;
}

/**
 * Runs an attempt.
 * @param context - the request
 * @param target - where it is sent
 * @param relay - the stream, for a streamed response
 * @param functions - upstreams and clock
 * @param observer - callbacks
 * @returns the result; never rejects
 */
export async function runObservedAttempt(
    context: RequestContext,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
    observer: AttemptObserver,
): Promise<AttemptResult> {
    const startMs = functions.getNowMs();
    const { notices } = functions;
    context.attempts += 1;
    context.hasResendGrant = false;
    context.attemptedUpstreams.add(target.upstreamId);
    context.contactedUpstreams.add(target.upstreamId);
    const heldTokens = computeRequestTokens(context, functions);
    functions.recordStart(target.upstreamId, target.rank, heldTokens);
    const recordFirstOutput = once(() => {
        functions.recordFirstOutput(target.upstreamId, target.rank);
    });
    const recordOutcome = once((isServed: boolean) => {
        notices.recordOutcome(target, isServed);
    });
    let firstEventMs: number | undefined;
    const recordFirstEvent = once(() => {
        firstEventMs = functions.getNowMs();
        functions.waiting?.recordFirstEvent(context.admitted, functions.getNowMs() - startMs);
    });
    let watch: StallWatch | undefined;
    let link = relay === undefined ? undefined : functions.followLink?.(target);
    const stream: AttemptStream | undefined = relay?.openAttempt({
        handleEvent: () => {
            recordFirstOutput();
            recordFirstEvent();
            recordOutcome(true);
            watch?.recordEvent();
            link?.recordEvent();
            observer.handleEvent();
        },
        handlePause: () => {
            // The gap of a pause says nothing about the path or the link.
            watch?.recordPause();
            link?.close();
            link = functions.followLink?.(target);
        },
    });
    const getOutput = (): AttemptOutput & { readonly silentMs: number; } => {
        const nowMs = functions.getNowMs();
        const hadProgress = (stream?.eventCount ?? 0) > 0;
        const silentMs = hadProgress && stream !== undefined ? stream.sinceEventMs : nowMs - startMs;
        const outputMs = firstEventMs === undefined ? 0 : Math.max(0, nowMs - firstEventMs - silentMs);
        return { hadProgress, outputMs, silentMs };
    };
    const raw = await runAttempt({
        connections: functions.getConnections(target),
        codec: functions.codec,
        context,
        target,
        notices,
        isReachable: () => functions.isReachable?.(target) ?? Promise.resolve(true),
        getNowMs: functions.getNowMs,
        sink: stream,
        handleStart: (abort) => {
            observer.handleStart(abort);
            watch = startStallWatch({
                context,
                target,
                stream: relay === undefined || stream === undefined ? undefined : { relay, attempt: stream },
                functions,
                handleSilence: (silence) => {
                    observer.handleSilence(silence, getOutput());
                },
            });
        },
    });
    const result = endUnread(raw, relay);
    watch?.stop();
    link?.close();
    stream?.close();
    if (result.kind === "answered") {
        recordFirstEvent();
    }
    recordFirstOutput();
    if (result.kind === "ended" && result.end === "kept-back") {
        // Nothing was sent, so it does not count as an attempt.
        context.attempts -= 1;
    }
    else {
        recordOutcome(result.kind === "answered" || result.kind === "streamed");
    }
    functions.recordEnd(target.upstreamId, target.rank, heldTokens);
    const durationMs = functions.getNowMs() - startMs;
    recordAttempt(context, target, result, durationMs, getOutput(), functions);
    return result;
}

/**
 * Tells whether the memory of a service's engines is checked in tokens.
 * @param service - name of the service
 * @param functions - access to the settings
 * @returns false by default
 */
export function isMemoryChecked(service: string, functions: RoutedRequestFunctions): boolean {
    return functions.isMemoryChecked?.(service) === true;
}

/** Tokens that a request holds in engines on average; undefined where their memory is not checked. */
function computeRequestTokens(
    { admitted: { call, service } }: RequestContext,
    functions: RoutedRequestFunctions,
): number | undefined {
    return service.engine === undefined || !isMemoryChecked(service.name, functions)
        ? undefined
        : Math.round(computeHeldTokens(call.size ?? getUsualSize(service.engine)));
}

/**
 * Ends a stream that the upstream cut because its caller did not read: it is no failure of the upstream, and would stay
 * unread at another one, too.
 */
function endUnread(result: AttemptResult, relay: StreamRelay | undefined): AttemptResult {
    const isCut = result.kind === "ended" && result.end === "broken" && result.hasConnectionEnded === true
        && relay !== undefined && relay.behindMs >= UNREAD_CUT_MS;
    if (!isCut) {
        return result;
    }
    relay.abort();
    return { kind: "stopped", stop: "caller-left" };
}

function once<Arguments extends readonly unknown[]>(
    run: (...values: Arguments) => void,
): (...values: Arguments) => void {
    let isDone = false;
    return (...values) => {
        if (!isDone) {
            isDone = true;
            run(...values);
        }
    };
}
