/**
 * One gate and one retry budget for each model and service.
 */
import { computeShare, RetryBudget } from "@crankfork/decisions";
import type { Model, Service } from "@crankfork/schemas";
import type { ConfigurationView } from "../../version/configurationInForce.js";
import { computeModelSlots, computeServiceSlots } from "../../version/slotShare.js";
import { AdmissionController } from "./admissionController.js";

/** What gates need from the process. */
export interface GatesOptions {
    readonly queueLimit: number;
    /** Entries that are alive, this one included. */
    readonly countEntries: () => number;
    /** Requests of a gate that run or wait at other entries, as their last gossip told. */
    readonly countOthersDemand: (gate: string) => number;
}

/** The gates of this instance. */
export class Gates {
    private readonly gates = new Map<string, AdmissionController>();
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly slots = new Map<string, number>();

    /**
     * @param options - queue limit and live entries
     */
    constructor(private readonly options: GatesOptions) {}

    /**
     * Takes a new version.
     * @param view - the version
     */
    applyConfiguration(view: ConfigurationView): void {
        const { configuration } = view;
        this.slots.clear();
        configuration.models.forEach((model) => {
            this.slots.set(formatModelName(model), computeModelSlots(configuration, model));
        });
        configuration.services.forEach((service) => {
            this.slots.set(formatServiceName(service), computeServiceSlots(configuration, service));
        });
        this.startWaiting();
    }

    /** Lets waiting requests run where slots have become free. */
    startWaiting(): void {
        this.gates.forEach((gate) => {
            gate.startQueued();
        });
    }

    /**
     * Gets the gate of a model.
     * @param model - the model
     * @returns its gate
     */
    getForModel(model: Model): AdmissionController {
        return this.getGate(formatModelName(model), model.name);
    }

    /**
     * Gets the gate of a service.
     * @param service - the service
     * @returns its gate
     */
    getForService(service: Service): AdmissionController {
        return this.getGate(formatServiceName(service), service.name);
    }

    /**
     * Gets the retry budget of a model or service.
     * @param name - its name
     * @returns its budget
     */
    getBudget(name: string): RetryBudget {
        const known = this.budgets.get(name) ?? new RetryBudget();
        this.budgets.set(name, known);
        return known;
    }

    /**
     * Counts requests that run or wait, for gossip.
     * @returns counts by gate; those with none are left out
     */
    countDemand(): Readonly<Record<string, number>> {
        const busy = [...this.gates].filter(([, gate]) => gate.demand > 0);
        return Object.fromEntries(busy.map(([name, gate]) => [name, gate.demand]));
    }

    private computeShare(name: string, ownDemand: number): number {
        return computeShare({
            slots: this.slots.get(name) ?? 0,
            entries: this.options.countEntries(),
            ownDemand,
            othersDemand: this.options.countOthersDemand(name),
        });
    }

    private getGate(name: string, target: string): AdmissionController {
        const known = this.gates.get(name)
            ?? new AdmissionController(
                target,
                this.options.queueLimit,
                (ownDemand) => this.computeShare(name, ownDemand),
            );
        this.gates.set(name, known);
        return known;
    }
}

function formatModelName(model: Model): string {
    return `model ${model.name}`;
}

function formatServiceName(service: Service): string {
    return `service ${service.name}`;
}
