/**
 * The state of one scenario: a cluster, stand-ins, and the responses that callers received.
 */
import * as z from "zod";
import type { CompletionResult } from "./caller.js";
import { Cluster, createOrganisation, createSecret, type JsonResponse, requestJson } from "./cluster.js";
import { type StandIn, startStandIn } from "./processes.js";

/** Name of the model in all scenarios. */
export const MODEL = "teller-llm";
/** Number of layers of the model. */
export const LAYERS = 6;
/** The organisation that callers belong to unless a step says otherwise. */
export const ORGANISATION = "harbour-kiosks";

const countsSchema = z.object({
    computed: z.int(),
    orders: z.int(),
    fencedOrders: z.int(),
    running: z.int(),
    waiting: z.int(),
});
const effectsSchema = z.record(z.string(), z.int());

/** Options of a scenario's intent; its engines and services are those that were started. */
export interface IntentOptions {
    readonly id: string;
    readonly modelRepeatable?: boolean;
    readonly serviceRepeatable?: boolean;
    readonly maxTokens?: number;
    readonly checksFence?: boolean;
    /** Requests that an engine runs concurrently. */
    readonly slots?: number;
}

/** State of one scenario. */
export class World {
    readonly cluster = new Cluster();
    readonly engines = new Map<string, StandIn>();
    readonly services = new Map<string, StandIn>();
    answers: JsonResponse[] = [];
    completions: CompletionResult[] = [];
    /** Requests that continue while further steps run. */
    backgroundTasks: Promise<unknown>[] = [];
    /** Called by a long step after each part, so that only a lack of progress counts as a hang. */
    reportProgress: () => void = () => undefined;

    /**
     * Starts a stand-in engine.
     * @param name - name of the engine
     * @param settings - overrides of the default settings
     */
    async startEngine(name: string, settings: object = {}): Promise<void> {
        const standIn = await startStandIn("engine", { name, model_layers: { [MODEL]: LAYERS }, ...settings });
        this.engines.set(name, standIn);
    }

    /**
     * Starts an instance of the plain service.
     * @param name - name of the instance
     * @param settings - overrides of the default settings
     */
    async startService(name: string, settings: object = {}): Promise<void> {
        this.services.set(name, await startStandIn("service", settings));
    }

    /**
     * Creates an intent with all engines and services that were started.
     * @param options - id, and overrides of the defaults
     * @returns the intent
     */
    createIntent(options: IntentOptions): Record<string, unknown> {
        const { modelRepeatable = true, serviceRepeatable = false, maxTokens = 512, checksFence = true, slots = 8 } =
            options;
        const services = [...this.services.keys()];
        return {
            id: options.id,
            organisations: [createOrganisation(ORGANISATION), createOrganisation("island-kiosks")],
            models: this.engines.size === 0
                ? []
                : [{ name: MODEL, layers: LAYERS, repeatable: modelRepeatable, max_tokens: maxTokens }],
            services: services.length === 0
                ? []
                : [{ name: "slips", repeatable: serviceRepeatable, upstreams: services }],
            upstreams: [
                ...[...this.engines].map(([name, engine]) => ({
                    name,
                    kind: "engine",
                    address: engine.address,
                    memory_layers: LAYERS / 2,
                    checks_fence: checksFence,
                    slots,
                })),
                ...[...this.services].map(([name, service]) => ({ name, kind: "service", address: service.address })),
            ],
        };
    }

    /**
     * Confirms an intent and waits until all entries are ready and all engines hold their layers.
     * @param options - id, and overrides of the defaults
     */
    async applyIntent(options: IntentOptions): Promise<void> {
        const [first] = this.cluster.entries.keys();
        await this.cluster.confirm(first ?? "", this.createIntent(options));
        await this.cluster.waitUntilReady();
        await this.cluster.waitUntilLoaded(this.engines.size);
    }

    /**
     * Replaces the faults that a stand-in injects.
     * @param name - engine or service
     * @param faults - faults from now on; those left out are off
     */
    async setFaults(name: string, faults: object): Promise<void> {
        await requestJson(this.getStandIn(name).address, "POST", "/control/faults", JSON.stringify(faults));
    }

    /**
     * Sends a call to the plain service.
     * @param entry - entry that receives the call
     * @param body - text of the slip
     * @param headers - headers in addition to those of the organisation
     * @returns the response
     */
    callService(entry: string, body: string, headers: Readonly<Record<string, string>>): Promise<JsonResponse> {
        const { callers } = this.cluster.get(entry).addresses;
        return requestJson(callers, "POST", "/services/slips/print", body, { ...createCallerHeaders(), ...headers });
    }

    /**
     * Gets the counts that an engine keeps.
     * @param name - the engine
     * @returns the counts
     */
    async getCounts(name: string): Promise<z.infer<typeof countsSchema>> {
        const { body } = await requestJson(this.getStandIn(name).address, "GET", "/v1/counts");
        return countsSchema.parse(body);
    }

    /**
     * Sums the effects of one call over all instances of the plain service, as those counted them.
     * @param body - text of the slip
     * @returns how often the slip was printed
     */
    async countEffects(body: string): Promise<number> {
        const answers = await Promise.all(
            [...this.services.values()].map(({ address }) => requestJson(address, "GET", "/control/effects")),
        );
        return answers.reduce((sum, answer) => sum + (effectsSchema.parse(answer.body)[body] ?? 0), 0);
    }

    /**
     * Sums all work of all stand-ins, as those counted it.
     * @returns positions computed plus slips printed
     */
    async countAllWork(): Promise<number> {
        const counts = await Promise.all([...this.engines.keys()].map((name) => this.getCounts(name)));
        const services = await Promise.all(
            [...this.services.values()].map(({ address }) => requestJson(address, "GET", "/control/effects")),
        );
        const printed = services.flatMap(({ body }) => Object.values(effectsSchema.parse(body)));
        return [...counts.map((count) => count.computed), ...printed].reduce((sum, count) => sum + count, 0);
    }

    /** Ends all processes that the scenario started. */
    async close(): Promise<void> {
        const standIns = [...this.engines.values(), ...this.services.values()];
        await Promise.all(standIns.map((standIn) => standIn.process.kill()));
        await this.cluster.close();
        await Promise.allSettled(this.backgroundTasks);
    }

    private getStandIn(name: string): StandIn {
        const standIn = this.engines.get(name) ?? this.services.get(name);
        if (standIn === undefined) {
            throw new Error(`the scenario has no stand-in named ${name}`);
        }
        return standIn;
    }
}

/**
 * Creates the headers that authenticate a caller.
 * @param organisation - organisation of the caller
 * @returns the headers
 */
export function createCallerHeaders(organisation: string = ORGANISATION): Readonly<Record<string, string>> {
    return { "x-organisation": organisation, "authorization": `Bearer ${createSecret(organisation)}` };
}
