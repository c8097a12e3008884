/**
 * Reports of engines about requests that stand still. Requests that are silent together share a report.
 */
import type { EngineControl, EngineEndpoint, ReportResult } from "../../connection/engineControl.js";
import type { StallReport } from "../../request/requestFunctions.js";
import { waitMs } from "../waitMs.js";

/** How long a report is shared; engines tell the state of some hundred milliseconds ago anyway. */
const SHARED_MS = 70;
/** Reports asked for until one names the engine at fault; they lag by some hundred milliseconds. */
const FAULT_ASKS = 5;
const FAULT_ASK_MS = 80;

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
     * @param engine - its life and address
     * @param requestId - the request
     * @returns what it says
     */
    async ask(engine: EngineEndpoint, requestId: string): Promise<StallReport> {
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
    async findFaults(engine: EngineEndpoint): Promise<readonly string[]> {
        for (let asked = 0; asked < FAULT_ASKS; asked += 1) {
            const report = await this.getReport(engine);
            const stalled = report.kind === "report" ? report.stalled : [];
            const faults = new Set(stalled.flatMap((one) => one.address ?? []));
            if (faults.size > 0) {
                return [...faults];
            }
            await waitMs(FAULT_ASK_MS);
        }
        return [];
    }

    /**
     * Gets an engine's report.
     * @param engine - its life and address
     * @returns the report, at most some ten milliseconds old, or why there is none
     */
    getReport(engine: EngineEndpoint): Promise<ReportResult> {
        const nowMs = this.getNowMs();
        const known = this.shared.get(engine.id);
        if (known !== undefined && nowMs - known.askedMs < SHARED_MS) {
            return known.result;
        }
        const result = this.control.getReport(engine);
        this.shared.set(engine.id, { askedMs: nowMs, result });
        return result;
    }
}
