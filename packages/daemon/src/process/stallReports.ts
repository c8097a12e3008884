/**
 * Reports of engines about requests that stand still. Requests that are silent together share a report.
 */
import type { EngineControl, ReportResult } from "../connection/engineControl.js";
import type { StallAnswer } from "../request/routedRequest.js";

/** How long a report is shared; engines tell the state of some hundred milliseconds ago anyway. */
const SHARED_MS = 150;

interface SharedReport {
    readonly askedMs: number;
    readonly result: Promise<ReportResult>;
}

/** Asks engines for reports. */
export class StallReports {
    private readonly shared = new Map<string, SharedReport>();

    /**
     * @param control - speaks to engines
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly control: EngineControl, private readonly getNowMs: () => number) {}

    /**
     * Asks the first engine of a path whether a request stands still.
     * @param address - the engine
     * @param requestId - the request
     * @returns what it says
     */
    async ask(address: string, requestId: string): Promise<StallAnswer> {
        const report = await this.getReport(address);
        if (report.kind === "failed") {
            return { kind: "unreachable" };
        }
        const stalled = report.stalled.find((one) => one.requestId === requestId);
        return stalled === undefined ? { kind: "moving" } : { kind: "stalled", faultAddress: stalled.address };
    }

    private getReport(address: string): Promise<ReportResult> {
        const nowMs = this.getNowMs();
        const known = this.shared.get(address);
        if (known !== undefined && nowMs - known.askedMs < SHARED_MS) {
            return known.result;
        }
        const result = this.control.getReport(address);
        this.shared.set(address, { askedMs: nowMs, result });
        return result;
    }
}
