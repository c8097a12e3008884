/**
 * One admission controller and one retry budget for each model and service.
 */
import { computeSlotShare, RetryBudget } from "@crankfork/decisions";
import type { Model, Service } from "@crankfork/schemas";
import type { ConfigurationView } from "../../version/activeConfiguration.js";
import { computeModelSlots, computeServiceSlots } from "../../version/slotCapacity.js";
import { AdmissionController } from "./admissionController.js";

/** Dependencies of the registry. */
export interface AdmissionRegistryOptions {
    readonly queueLimit: number;
    /** Number of live entries, including this one. */
    readonly countEntries: () => number;
    /** Running and queued requests of a model or service at other entries, as of their last gossip. */
    readonly countOthersDemand: (key: string) => number;
}

/** Admission controllers and retry budgets of this instance, created on first use. */
export class AdmissionRegistry {
    private readonly controllers = new Map<string, AdmissionController>();
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly slots = new Map<string, number>();

    /**
     * @param options - dependencies
     */
    constructor(private readonly options: AdmissionRegistryOptions) {}

    /**
     * Applies a configuration version.
     * @param view - the configuration version
     */
    applyConfiguration(view: ConfigurationView): void {
        const { configuration } = view;
        this.slots.clear();
        configuration.models.forEach((model) => {
            this.slots.set(formatModelKey(model), computeModelSlots(configuration, model));
        });
        configuration.services.forEach((service) => {
            this.slots.set(formatServiceKey(service), computeServiceSlots(configuration, service));
        });
        this.startQueued();
    }

    /** Starts queued requests for which slots are free. */
    startQueued(): void {
        this.controllers.forEach((controller) => {
            controller.startQueued();
        });
    }

    /**
     * Gets the admission controller of a model.
     * @param model - the model
     * @returns its controller
     */
    getForModel(model: Model): AdmissionController {
        return this.getController(formatModelKey(model), model.name);
    }

    /**
     * Gets the admission controller of a service.
     * @param service - the service
     * @returns its controller
     */
    getForService(service: Service): AdmissionController {
        return this.getController(formatServiceKey(service), service.name);
    }

    /**
     * Gets the retry budget of a model or service.
     * @param name - name of the model or service
     * @returns its retry budget
     */
    getRetryBudget(name: string): RetryBudget {
        const known = this.budgets.get(name) ?? new RetryBudget();
        this.budgets.set(name, known);
        return known;
    }

    /**
     * Counts the demand of this entry, for gossip.
     * @returns demand by model or service, without zero counts
     */
    countDemand(): Readonly<Record<string, number>> {
        const busy = [...this.controllers].filter(([, controller]) => controller.demand > 0);
        return Object.fromEntries(busy.map(([key, controller]) => [key, controller.demand]));
    }

    private computeShare(key: string, ownDemand: number): number {
        return computeSlotShare({
            slots: this.slots.get(key) ?? 0,
            entries: this.options.countEntries(),
            ownDemand,
            othersDemand: this.options.countOthersDemand(key),
        });
    }

    private getController(key: string, name: string): AdmissionController {
        const known = this.controllers.get(key)
            ?? new AdmissionController(
                name,
                this.options.queueLimit,
                (ownDemand) => this.computeShare(key, ownDemand),
            );
        this.controllers.set(key, known);
        return known;
    }
}

function formatModelKey(model: Model): string {
    return `model ${model.name}`;
}

function formatServiceKey(service: Service): string {
    return `service ${service.name}`;
}
