/**
 * The state of one scenario: a cluster, stand-ins, and what callers saw.
 */
import * as z from "zod";
import type { CompletionResult } from "./caller.js";
import { Cluster, createOrganisation, createSecret, type JsonResponse, requestJson } from "./cluster.js";
import { type StandIn, startStandIn } from "./processes.js";

/** The model of all scenarios. */
export const MODEL = "teller-llm";
/** Its layers. */
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

/** What an intent of a scenario holds besides its engines and services. */
export interface IntentOptions {
    readonly id: string;
    readonly modelRepeatable?: boolean;
    readonly serviceRepeatable?: boolean;
    readonly maxTokens?: number;
    readonly checksFence?: boolean;
    /** Requests that an engine runs at the same time. */
    readonly slots?: number;
}

/** One scenario's state. */
export class World {
    readonly cluster = new Cluster();
    readonly engines = new Map<string, StandIn>();
    readonly services = new Map<string, StandIn>();
    answers: JsonResponse[] = [];
    completions: CompletionResult[] = [];
    /** Work that goes on while steps run. */
    backgroundTasks: Promise<unknown>[] = [];
    /** Told by a long step that a part of it is done, so that only standing still counts as a hang. */
    reportProgress: () => void = () => undefined;

    /**
     * Starts an engine.
     * @param name - its name
     * @param settings - what differs from the usual
     */
    async startEngine(name: string, settings: object = {}): Promise<void> {
        const standIn = await startStandIn("engine", { name, model_layers: { [MODEL]: LAYERS }, ...settings });
        this.engines.set(name, standIn);
    }

    /**
     * Starts an instance of the plain service.
     * @param name - its name
     * @param settings - what differs from the usual
     */
    async startService(name: string, settings: object = {}): Promise<void> {
        this.services.set(name, await startStandIn("service", settings));
    }

    /**
     * Creates an intent over all engines and services that were started.
     * @param options - what differs from the usual
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
     * Puts the usual intent in force and waits until all engines hold their layers.
     * @param options - what differs from the usual
     */
    async applyIntent(options: IntentOptions): Promise<void> {
        const [first] = this.cluster.entries.keys();
        await this.cluster.confirm(first ?? "", this.createIntent(options));
        await this.cluster.waitUntilReady();
        await this.cluster.waitUntilLoaded(this.engines.size);
    }

    /**
     * Switches faults of a stand-in.
     * @param name - engine or service
     * @param faults - what is wrong with it from now on
     */
    async setFaults(name: string, faults: object): Promise<void> {
        await requestJson(this.getStandIn(name).address, "POST", "/control/faults", JSON.stringify(faults));
    }

    /**
     * Sends a call to the plain service.
     * @param entry - the entry
     * @param body - what the slip says
     * @param headers - headers besides the organisation's
     * @returns the answer
     */
    callService(entry: string, body: string, headers: Readonly<Record<string, string>>): Promise<JsonResponse> {
        const { callers } = this.cluster.get(entry).addresses;
        return requestJson(callers, "POST", "/services/slips/print", body, { ...createCallerHeaders(), ...headers });
    }

    /**
     * Gets an engine's own counts.
     * @param name - the engine
     * @returns the counts
     */
    async getCounts(name: string): Promise<z.infer<typeof countsSchema>> {
        const { body } = await requestJson(this.getStandIn(name).address, "GET", "/v1/counts");
        return countsSchema.parse(body);
    }

    /**
     * Counts the effects of one call over all instances of the plain service, by their own counts.
     * @param body - what the slip says
     * @returns how often it was printed
     */
    async countEffects(body: string): Promise<number> {
        const answers = await Promise.all(
            [...this.services.values()].map(({ address }) => requestJson(address, "GET", "/control/effects")),
        );
        return answers.reduce((sum, answer) => sum + (effectsSchema.parse(answer.body)[body] ?? 0), 0);
    }

    /**
     * Counts all work of all stand-ins, by their own counts.
     * @returns positions computed and slips printed
     */
    async countAllWork(): Promise<number> {
        const counts = await Promise.all([...this.engines.keys()].map((name) => this.getCounts(name)));
        const services = await Promise.all(
            [...this.services.values()].map(({ address }) => requestJson(address, "GET", "/control/effects")),
        );
        const printed = services.flatMap(({ body }) => Object.values(effectsSchema.parse(body)));
        return [...counts.map((count) => count.computed), ...printed].reduce((sum, count) => sum + count, 0);
    }

    /** Ends everything that the scenario started. */
    async close(): Promise<void> {
        const standIns = [...this.engines.values(), ...this.services.values()];
        await Promise.all(standIns.map((standIn) => standIn.process.kill()));
        await this.cluster.close();
        await Promise.allSettled(this.backgroundTasks);
    }

    private getStandIn(name: string): StandIn {
        const standIn = this.engines.get(name) ?? this.services.get(name);
        if (standIn === undefined) {
            throw new Error(`no stand-in ${name}`);
        }
        return standIn;
    }
}

/**
 * Creates the headers by which a caller is known.
 * @param organisation - who calls
 * @returns the headers
 */
export function createCallerHeaders(organisation: string = ORGANISATION): Readonly<Record<string, string>> {
    return { "x-organisation": organisation, "authorization": `Bearer ${createSecret(organisation)}` };
}
