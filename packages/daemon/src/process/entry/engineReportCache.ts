/**
 * Reports of engines about requests that stand still. Requests that are silent together share a report.
 */
import type { EngineControl, EnginePlace, ReportResult } from "../../connection/engineControl.js";
import type { StallAnswer } from "../../request/requestFunctions.js";
import { waitMs } from "../waitMs.js";

/** How long a report is shared; engines tell the state of some hundred milliseconds ago anyway. */
const MAX_REPORT_AGE_MS = 70;
/** Reports asked for until one names the engine at fault; they lag by some hundred milliseconds. */
const MAX_FAULT_REQUESTS = 5;
const FAULT_RETRY_MS = 80;

interface CachedReport {
    readonly requestedMs: number;
    readonly result: Promise<ReportResult>;
}

/** Asks engines for reports. */
export class EngineReportCache {
    private readonly cache = new Map<string, CachedReport>();

    /**
     * @param control - speaks to engines
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly control: EngineControl, private readonly getNowMs: () => number) {}

    /**
     * Asks the first engine of a path whether a request stands still.
     * @param engine - its life and address
     * @param requestId - the request
     * @returns what it says
     */
    async checkStall(engine: EnginePlace, requestId: string): Promise<StallAnswer> {
        const report = await this.getReport(engine);
        if (report.kind !== "report") {
            // What can't be read tells nothing against the engine.
            return { kind: report.kind === "failed" ? "unreachable" : "moving" };
        }
        const stalled = report.stalled.find((one) => one.requestId === requestId);
        return stalled === undefined ? { kind: "moving" } : { kind: "stalled", faultAddress: stalled.address };
    }

    /**
     * Finds the engines that the requests of a path wait for.
     * @param engine - the first engine of the path
     * @returns addresses; none where no report named one in time
     */
    async findFaultyEngines(engine: EnginePlace): Promise<readonly string[]> {
        for (let asked = 0; asked < MAX_FAULT_REQUESTS; asked += 1) {
            const report = await this.getReport(engine);
            const stalled = report.kind === "report" ? report.stalled : [];
            const faults = new Set(stalled.flatMap((one) => one.address ?? []));
            if (faults.size > 0) {
                return [...faults];
            }
            await waitMs(FAULT_RETRY_MS);
        }
        return [];
    }

    /**
     * Gets an engine's report.
     * @param engine - its life and address
     * @returns the report, at most some ten milliseconds old, or why there is none
     */
    getReport(engine: EnginePlace): Promise<ReportResult> {
        const nowMs = this.getNowMs();
        const known = this.cache.get(engine.id);
        if (known !== undefined && nowMs - known.requestedMs < MAX_REPORT_AGE_MS) {
            return known.result;
        }
        const result = this.control.getReport(engine);
        this.cache.set(engine.id, { requestedMs: nowMs, result });
        return result;
    }
}
