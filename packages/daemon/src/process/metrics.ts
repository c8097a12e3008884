/**
 * Metrics over StatsD. Metric names are listed in docs/METRICS.md.
 */
import { parseAddress, type Settings } from "@crankfork/schemas";
import { StatsD } from "hot-shots";

/** Records metrics. */
export interface Metrics {
    /** Increments a counter. */
    readonly count: (name: string, tags?: MetricTags) => void;
    /** Records a duration in milliseconds. */
    readonly recordMs: (name: string, durationMs: number, tags?: MetricTags) => void;
    /** Records the current value of a gauge. */
    readonly recordGauge: (name: string, value: number, tags?: MetricTags) => void;
    readonly close: () => void;
}

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Opens the metrics client.
 * @param settings - `metrics.statsd` is the target; metrics are discarded without it
 * @returns functions that never throw
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
            // The mock client buffers everything it is given, so it is given nothing.
            if (statsd !== undefined) {
                client.increment(name, { ...tags });
            }
        },
        recordMs: (name, durationMs, tags = {}) => {
            if (statsd !== undefined) {
                client.timing(name, durationMs, { ...tags });
            }
        },
        recordGauge: (name, value, tags = {}) => {
            if (statsd !== undefined) {
                client.gauge(name, value, { ...tags });
            }
        },
        close: () => {
            client.close();
        },
    };
}
