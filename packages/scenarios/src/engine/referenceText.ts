/**
 * The stand-in's model: a chain of hashes, so that a layer or position that is missing, doubled or out of order
 * changes every token after it.
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

const words = [
    "amber",
    "birch",
    "cedar",
    "delta",
    "ember",
    "fjord",
    "grove",
    "harbor",
    "inlet",
    "juniper",
    "kelp",
    "lagoon",
    "maple",
    "north",
    "otter",
    "pine",
    "quartz",
    "river",
    "spruce",
    "tide",
    "umber",
    "vale",
    "willow",
    "yarrow",
];

/** A token as the stand-in's last layer gives it. */
export interface ModelToken {
    readonly token: number;
    readonly text: string;
}

/** One layer at one position. */
export interface LayerStep {
    readonly model: string;
    readonly layer: number;
    readonly position: number;
    /** The layer's cache after all earlier positions. */
    readonly cache: number;
    readonly input: number;
}

/**
 * Computes the layer's cache after a position.
 * @param step - the layer and what it gets
 * @returns the new cache
 */
export function computeCache(step: LayerStep): number {
    return hasher.h32(`${String(step.cache)}|${String(step.input)}`);
}

/**
 * Computes what a layer gives at a position.
 * @param step - the layer and what it gets
 * @param cache - its cache after this position
 * @returns the activation for the next layer
 */
export function computeActivation(step: LayerStep, cache: number): number {
    return hasher.h32(`${step.model}|${String(step.layer)}|${String(step.position)}|${String(cache)}`);
}

/**
 * Turns the last layer's activation into a token.
 * @param activation - the activation
 * @returns token id and text
 */
export function createToken(activation: number): ModelToken {
    return { token: activation, text: `${words[activation % words.length] ?? ""}${String(activation % 100)} ` };
}

/**
 * Computes a whole completion at once: what every finished answer is checked against.
 * @param model - name and version, as `name@version`
 * @param layers - layers of the model
 * @param promptTokens - the prompt
 * @param count - tokens to generate
 * @returns the text
 */
export function computeReferenceText(
    model: string,
    layers: number,
    promptTokens: readonly number[],
    count: number,
): string {
    const caches = new Array<number>(layers).fill(0);
    const tokens = [...promptTokens];
    let text = "";
    let position = 0;
    for (let generated = 0; generated < count; generated += 1) {
        let activation = 0;
        for (; position < tokens.length; position += 1) {
            activation = runLayers(model, caches, position, tokens[position] ?? 0);
        }
        const next = createToken(activation);
        tokens.push(next.token);
        text += next.text;
    }
    return text;
}

function runLayers(model: string, caches: number[], position: number, token: number): number {
    let input = token;
    for (let layer = 0; layer < caches.length; layer += 1) {
        const step = { model, layer, position, cache: caches[layer] ?? 0, input };
        const cache = computeCache(step);
        caches[layer] = cache;
        input = computeActivation(step, cache);
    }
    return input;
}
