/**
 * Speaks to engines and heeds what they say of themselves in the answers: reports and orders are requests, too. An engine that
 * turned a report away was asked again 100 ms later, and given up as lost after two.
 */
import { getLife, isStartOf } from "@crankfork/schemas";
import type { EngineControl, EnginePlace, ReportResult } from "../connection/engineControl.js";
import type { UpstreamWord } from "../request/routedCall.js";
import type { LimitSource } from "./namedLimits.js";

/** What is done with the words. */
export interface HeedingFunctions {
    readonly receiveRest: (id: string, rest: UpstreamWord["rest"], asked: string) => void;
    /** Asked right before a send; false where nothing may be sent. */
    readonly maySend: (id: string) => boolean;
    readonly receiveLeaving: (id: string, asked: string) => void;
    readonly receiveLimit: (id: string, limit: UpstreamWord["limit"], source: LimitSource) => void;
    /** The monotonic clock. */
    readonly getNowMs: () => number;
}

const KEPT_BACK = "not asked: it rests";

/**
 * Creates a control that heeds words.
 * @param control - speaks to engines
 * @param functions - rests and words of leaving by lives
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
            functions.receiveRest(engine.id, result.word?.rest ?? { kind: "none" }, "report");
            if (isOfMeant(engine, result)) {
                functions.receiveLimit(engine.id, result.word?.limit ?? { kind: "none" }, {
                    asked: "report",
                    askedMs,
                    isReport: true,
                });
                if (result.word?.leaving === "said") {
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
            functions.receiveRest(upstream.id, end.word?.rest ?? { kind: "none" }, "order");
            return end;
        },
    };
}

/** Only a report that tells the start of the life that was asked can say so for it. */
function isOfMeant(engine: EnginePlace, result: ReportResult): boolean {
    return result.kind === "report" && isStartOf(getLife(engine), result.startedAtMs);
}
