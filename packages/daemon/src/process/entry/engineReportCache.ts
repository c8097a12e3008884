/**
 * Caches status reports of engines, so that requests that stall together share a report.
 */
import { getIncarnation, matchesStart } from "@crankfork/schemas";
import type { EngineControl, EngineEndpoint, ReportResult } from "../../connection/engineControl.js";
import type { StallReport } from "../../request/requestFunctions.js";
import { waitMs } from "../waitMs.js";

/** Maximum age of a shared report; engines report their state with a delay of some hundred milliseconds anyway. */
const MAX_REPORT_AGE_MS = 70;
/** Maximum number of reports requested until one names the faulty engine; they lag by some hundred milliseconds. */
const MAX_FAULT_REQUESTS = 5;
const FAULT_RETRY_MS = 80;

interface CachedReport {
    readonly requestedMs: number;
    readonly result: Promise<ReportResult>;
}

/** Requests and caches engine reports. */
export class EngineReportCache {
    private readonly cache = new Map<string, CachedReport>();

    /**
     * @param control - engine control
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly control: EngineControl, private readonly getNowMs: () => number) {}

    /**
     * Asks the first engine of a path whether a request is stalled.
     * @param engine - its incarnation and address
     * @param requestId - the request
     * @returns the state of the request according to the report
     */
    async checkStall(engine: EngineEndpoint, requestId: string): Promise<StallReport> {
        const report = await this.getReport(engine);
        if (report.kind !== "report") {
            // A report that could not be read is no evidence against the engine.
            return { kind: report.kind === "failed" ? "unreachable" : "moving" };
        }
        if (!matchesStart(getIncarnation(engine), report.startedAtMs)) {
            return { kind: "unreachable" };
        }
        const stalled = report.stalled.find((one) => one.requestId === requestId);
        return stalled === undefined ? { kind: "moving" } : { kind: "stalled", faultAddress: stalled.address };
    }

    /**
     * Checks whether a path can be expected to run a request.
     * @param engine - its first engine
     * @param addresses - addresses of all its engines
     * @returns false if the engine sends no report, or reports a request that waits for one of the engines
     */
    async isPathResponsive(engine: EngineEndpoint, addresses: readonly string[]): Promise<boolean> {
        const report = await this.getReport(engine);
        return report.kind === "report"
            ? matchesStart(getIncarnation(engine), report.startedAtMs)
                && !report.stalled.some(({ address }) => address !== undefined && addresses.includes(address))
            : report.kind !== "failed";
    }

    /**
     * Finds the engines that block the requests of a path.
     * @param engine - the first engine of the path
     * @returns their addresses; none where no report named one in time
     */
    async findFaultyEngines(engine: EngineEndpoint): Promise<readonly string[]> {
        for (let attempt = 0; attempt < MAX_FAULT_REQUESTS; attempt += 1) {
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
     * @param engine - its incarnation and address
     * @returns the report, at most 70 ms old, or why there is none
     */
    getReport(engine: EngineEndpoint): Promise<ReportResult> {
        const nowMs = this.getNowMs();
        const cached = this.cache.get(engine.id);
        if (cached !== undefined && nowMs - cached.requestedMs < MAX_REPORT_AGE_MS) {
            return cached.result;
        }
        const result = this.control.getReport(engine);
        this.cache.set(engine.id, { requestedMs: nowMs, result });
        return result;
    }
}
