/**
 * Wraps engine control so that notices in the answers to reports and orders are observed like those in answers to requests, and
 * nothing is sent to an engine that is backing off. Otherwise an engine that rejected a report with a backoff would be asked
 * again 100 ms later, and be marked lost after two failures.
 */
import { getIncarnation, matchesStart } from "@crankfork/schemas";
import type { EngineControl, EngineEndpoint, ReportResult } from "../connection/engineControl.js";
import type { UpstreamNotice } from "../request/routedCall.js";
import type { LimitSource } from "./upstreamRateLimits.js";

/** Handlers of notices. */
export interface NoticeHandlers {
    readonly handleBackoff: (id: string, backoff: UpstreamNotice["backoff"], asked: string) => void;
    /** Called right before a send; false if nothing may be sent. */
    readonly maySend: (id: string) => boolean;
    readonly handleLeaving: (id: string, asked: string) => void;
    readonly handleLimit: (id: string, limit: UpstreamNotice["limit"], source: LimitSource) => void;
    /** The monotonic clock. */
    readonly getNowMs: () => number;
}

const BACKING_OFF = "not sent: engine is backing off";

/**
 * Creates an engine control that observes notices.
 * @param control - sends reports and orders to engines
 * @param handlers - handlers of the notices
 * @returns a control that sends nothing to an engine that is backing off
 */
export function createObservedControl(control: EngineControl, handlers: NoticeHandlers): EngineControl {
    return {
        getReport: async (engine) => {
            if (!handlers.maySend(engine.id)) {
                return { kind: "turned-away", reason: BACKING_OFF };
            }
            const requestSentMs = handlers.getNowMs();
            const result = await control.getReport(engine);
            handlers.handleBackoff(engine.id, result.notice?.backoff ?? { kind: "none" }, "report");
            if (isFromExpectedIncarnation(engine, result)) {
                handlers.handleLimit(engine.id, result.notice?.limit ?? { kind: "none" }, {
                    asked: "report",
                    requestSentMs,
                    isReport: true,
                });
                if (result.notice?.leaving === "said") {
                    handlers.handleLeaving(engine.id, "report");
                }
            }
            return result;
        },
        placeLayers: async (upstream, span, guard) => {
            if (!handlers.maySend(upstream.id)) {
                return { kind: "refused", reason: BACKING_OFF };
            }
            // A leaving notice in an order's answer is ignored: the report before each order carries it, together with the
            // incarnation.
            const end = await control.placeLayers(upstream, span, guard);
            handlers.handleBackoff(upstream.id, end.notice?.backoff ?? { kind: "none" }, "order");
            return end;
        },
    };
}

/** Limits and leaving notices apply to an incarnation only if the report carries that incarnation's start time. */
function isFromExpectedIncarnation(engine: EngineEndpoint, result: ReportResult): boolean {
    return result.kind === "report" && matchesStart(getIncarnation(engine), result.startedAtMs);
}
