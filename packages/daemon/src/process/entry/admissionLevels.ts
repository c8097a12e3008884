/**
 * The share of its service's room that each class may take now, for operators: gauge, log and status.
 */
import type { EventFields, EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";

/** Dependencies of {@link AdmissionLevels}. */
export interface AdmissionLevelsOptions {
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "recordClassRoom" | "removeClassRoom">;
}

/** Room of a class. */
export interface ClassRoom {
    /** Share of the room of its service, from 0 to 1. */
    readonly share: number;
    /** Time since it was computed. */
    readonly ageMs: number;
}

/** Steps of the share that count as a change; smaller ones would write a line every second. */
const LEVELS = 10;
/** Minimum interval between two lines for one service and rank. */
const LOG_INTERVAL_MS = 1_000;

interface KnownLevel {
    readonly service: string;
    readonly rank: number;
    share: number;
    recordedMs: number;
    loggedLevel: number;
    loggedMs: number;
}

/** Records the levels of classes. */
export class AdmissionLevels {
    private readonly levels = new Map<string, KnownLevel>();

    /**
     * @param options - clock, log and metrics
     */
    constructor(private readonly options: AdmissionLevelsOptions) {}

    /**
     * Checks whether the share of a class is due to be computed again.
     * @param service - the service
     * @param rank - the class
     * @returns false within a second of the last record
     */
    isDue(service: string, rank: number): boolean {
        const known = this.levels.get(createKey(service, rank));
        return known === undefined || this.options.getNowMs() - known.recordedMs >= LOG_INTERVAL_MS;
    }

    /**
     * Records the share that a class may take. A change within a second of the last line is logged with the next record.
     * @param service - the service
     * @param rank - the class
     * @param share - from 0 to 1; 1 where the class is not limited
     * @param inputs - what the share was computed from
     */
    record(service: string, rank: number, share: number, inputs: EventFields): void {
        const { getNowMs, log, metrics } = this.options;
        const nowMs = getNowMs();
        const key = createKey(service, rank);
        // A class is not limited before the first record.
        const known = this.levels.get(key)
            ?? { service, rank, share, recordedMs: nowMs, loggedLevel: LEVELS, loggedMs: Number.NEGATIVE_INFINITY };
        this.levels.set(key, known);
        known.share = share;
        known.recordedMs = nowMs;
        metrics.recordClassRoom(service, rank, share);
        const level = Math.round(share * LEVELS);
        if (level !== known.loggedLevel && nowMs - known.loggedMs >= LOG_INTERVAL_MS) {
            log.record("info", "admission-level", {
                service,
                rank,
                level: level / LEVELS,
                previous: known.loggedLevel / LEVELS,
                ...inputs,
            });
            known.loggedLevel = level;
            known.loggedMs = nowMs;
        }
    }

    /**
     * Removes the classes of services that are no longer configured.
     * @param isKnown - whether a service is configured
     */
    prune(isKnown: (service: string) => boolean): void {
        this.levels.forEach(({ service, rank }, key) => {
            if (!isKnown(service)) {
                this.levels.delete(key);
                this.options.metrics.removeClassRoom(service, rank);
            }
        });
    }

    /**
     * Gets the share that a class may take.
     * @param service - the service
     * @param rank - the class
     * @returns the last share; undefined where none was recorded
     */
    get(service: string, rank: number): ClassRoom | undefined {
        const known = this.levels.get(createKey(service, rank));
        return known && { share: known.share, ageMs: this.options.getNowMs() - known.recordedMs };
    }
}

function createKey(service: string, rank: number): string {
    return `${String(rank)} ${service}`;
}
