/**
 * Metrics by StatsD. The names are listed in docs/METRICS.md.
 */
import { parseAddress, type Settings } from "@crankfork/schemas";
import { StatsD } from "hot-shots";

/** Writes metrics. */
export interface Metrics {
    /** Counts something that happened. */
    readonly count: (name: string, tags?: MetricTags) => void;
    /** Records how long something took, in milliseconds. */
    readonly recordMs: (name: string, durationMs: number, tags?: MetricTags) => void;
    /** Records a level as it is now. */
    readonly recordLevel: (name: string, value: number, tags?: MetricTags) => void;
    readonly close: () => void;
}

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Opens the metrics.
 * @param settings - where they go; nowhere without `metrics.statsd`
 * @returns functions that never fail
 */
export function openMetrics(settings: Settings): Metrics {
    const { statsd, prefix } = settings.metrics;
    const target = statsd === undefined ? { mock: true } : parseAddress(statsd);
    const client = new StatsD({
        ...target,
        prefix,
        globalTags: { instance: settings.instance.id },
        errorHandler: () => undefined,
        maxBufferSize: 1_024,
    });
    return {
        count: (name, tags = {}) => {
            // The mock keeps all it is given, so nothing is given to it.
            if (statsd !== undefined) {
                client.increment(name, { ...tags });
            }
        },
        recordMs: (name, durationMs, tags = {}) => {
            if (statsd !== undefined) {
                client.timing(name, durationMs, { ...tags });
            }
        },
        recordLevel: (name, value, tags = {}) => {
            if (statsd !== undefined) {
                client.gauge(name, value, { ...tags });
            }
        },
        close: () => {
            client.close();
        },
    };
}
