/**
 * Speaks to engines and heeds what they say of themselves in the answers: reports and orders are requests, too. An engine that
 * turned a report away was asked again 100 ms later, and given up as lost after two.
 */
import { getLife, isStartOf } from "@crankfork/schemas";
import type { EngineControl, EngineEndpoint, ReportResult } from "../connection/engineControl.js";
import type { UpstreamNotice } from "../request/routedCall.js";
import type { LimitSource } from "./namedLimits.js";

/** What is done with the notices. */
export interface HeedingFunctions {
    readonly receiveRest: (id: string, rest: UpstreamNotice["rest"], asked: string) => void;
    /** Asked right before a send; false where nothing may be sent. */
    readonly maySend: (id: string) => boolean;
    readonly receiveLeaving: (id: string, asked: string) => void;
    readonly receiveLimit: (id: string, limit: UpstreamNotice["limit"], source: LimitSource) => void;
    /** The monotonic clock. */
    readonly getNowMs: () => number;
}

const KEPT_BACK = "not asked: it rests";

/**
 * Creates a control that heeds notices.
 * @param control - speaks to engines
 * @param functions - rests and notices of leaving by lives
 * @returns functions that send nothing to an engine that rests
 */
export function createObservedControl(control: EngineControl, functions: HeedingFunctions): EngineControl {
    return {
        getReport: async (engine) => {
            if (!functions.maySend(engine.id)) {
                return { kind: "turned-away", reason: KEPT_BACK };
            }
            const askedMs = functions.getNowMs();
            const result = await control.getReport(engine);
            functions.receiveRest(engine.id, result.notice?.rest ?? { kind: "none" }, "report");
            if (isOfMeant(engine, result)) {
                functions.receiveLimit(engine.id, result.notice?.limit ?? { kind: "none" }, {
                    asked: "report",
                    askedMs,
                    isReport: true,
                });
                if (result.notice?.leaving === "said") {
                    functions.receiveLeaving(engine.id, "report");
                }
            }
            return result;
        },
        placeLayers: async (upstream, span, guard) => {
            if (!functions.maySend(upstream.id)) {
                return { kind: "refused", reason: KEPT_BACK };
            }
            // Whether it leaves is told, with its life, by the report that comes before each order.
            const end = await control.placeLayers(upstream, span, guard);
            functions.receiveRest(upstream.id, end.notice?.rest ?? { kind: "none" }, "order");
            return end;
        },
    };
}

/** Only a report that tells the start of the life that was asked can say so for it. */
function isOfMeant(engine: EngineEndpoint, result: ReportResult): boolean {
    return result.kind === "report" && isStartOf(getLife(engine), result.startedAtMs);
}
