/**
 * The active configuration of this instance, with lookup tables built once per version.
 */
import type {
    Configuration,
    LatencyBound,
    Model,
    Organisation,
    PriorityClass,
    Service,
    Upstream,
} from "@crankfork/schemas";
import { defaultLatencyBounds, emptyConfiguration } from "@crankfork/schemas";

/** Immutable lookup tables of one configuration version. */
export interface ConfigurationView {
    readonly configuration: Configuration;
    readonly organisations: ReadonlyMap<string, Organisation>;
    readonly models: ReadonlyMap<string, Model>;
    readonly services: ReadonlyMap<string, Service>;
    readonly upstreams: ReadonlyMap<string, Upstream>;
    readonly bounds: ReadonlyMap<PriorityClass, LatencyBound>;
}

/** Holds the active configuration; its version only increases. */
export class ActiveConfiguration {
    private view = createView(emptyConfiguration);
    private readonly handlers: ((view: ConfigurationView) => void)[] = [];

    /**
     * Gets the active version. Keep the result for the duration of one request, so that the request sees a single version.
     * @returns its lookup tables
     */
    get(): ConfigurationView {
        return this.view;
    }

    /**
     * Activates a configuration as a whole if it is newer.
     * @param configuration - the configuration
     * @returns true if it was activated
     */
    apply(configuration: Configuration): boolean {
        if (configuration.version <= this.view.configuration.version) {
            return false;
        }
        this.view = createView(configuration);
        this.handlers.forEach((handle) => {
            handle(this.view);
        });
        return true;
    }

    /**
     * Registers a listener for new versions.
     * @param handle - called right after a version was activated
     */
    addChangeListener(handle: (view: ConfigurationView) => void): void {
        this.handlers.push(handle);
    }
}

/**
 * Gets the contracted latency bound of a priority class.
 * @param view - the configuration version
 * @param priority - the class
 * @returns its bound, or the default if the configuration has none
 */
export function getLatencyBound(view: ConfigurationView, priority: PriorityClass): LatencyBound {
    return view.bounds.get(priority) ?? defaultLatencyBounds[priority];
}

function createView(configuration: Configuration): ConfigurationView {
    return {
        configuration,
        organisations: createMapByName(configuration.organisations),
        models: createMapByName(configuration.models),
        services: createMapByName(configuration.services),
        upstreams: createMapByName(configuration.upstreams),
        bounds: new Map(configuration.classes.map((bound) => [bound.class, bound])),
    };
}

function createMapByName<Item extends { readonly name: string; }>(items: readonly Item[]): ReadonlyMap<string, Item> {
    return new Map(items.map((item) => [item.name, item]));
}
