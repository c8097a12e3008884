/**
 * The configuration that this instance serves by, with look-ups made once a version.
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

/** Look-ups of one version; never changed once made. */
export interface ConfigurationView {
    readonly configuration: Configuration;
    readonly organisations: ReadonlyMap<string, Organisation>;
    readonly models: ReadonlyMap<string, Model>;
    readonly services: ReadonlyMap<string, Service>;
    readonly upstreams: ReadonlyMap<string, Upstream>;
    readonly bounds: ReadonlyMap<PriorityClass, LatencyBound>;
}

/** Holds the version in force; it only goes up. */
export class ConfigurationInForce {
    private view = createView(emptyConfiguration);
    private readonly handlers: ((view: ConfigurationView) => void)[] = [];

    /**
     * Gets the version in force. Keep it for the length of one request.
     * @returns its look-ups
     */
    get(): ConfigurationView {
        return this.view;
    }

    /**
     * Puts a newer version in force, whole.
     * @param configuration - the configuration; ignored where it is not newer
     * @returns true where it came into force now
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
     * Asks to be told of each new version.
     * @param handle - called right after it came into force
     */
    handleChange(handle: (view: ConfigurationView) => void): void {
        this.handlers.push(handle);
    }
}

/**
 * Gets the contracted latency of a class.
 * @param view - the version
 * @param priority - the class
 * @returns its bound, the default one where the configuration has none
 */
export function getClassBound(view: ConfigurationView, priority: PriorityClass): LatencyBound {
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
