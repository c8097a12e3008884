/**
 * The stand-in's model: a chain of hashes, in which a layer or position that is skipped, repeated or out of order
 * changes all later tokens.
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

/** A token that the last layer produces. */
export interface ModelToken {
    readonly token: number;
    readonly text: string;
}

/** The computation of one layer at one position. */
export interface LayerStep {
    readonly model: string;
    readonly layer: number;
    readonly position: number;
    /** Cache of the layer after all earlier positions. */
    readonly cache: number;
    readonly input: number;
}

/**
 * Computes the cache of a layer after a position.
 * @param step - the layer, its position and input
 * @returns the new cache
 */
export function computeCache(step: LayerStep): number {
    return hasher.h32(`${String(step.cache)}|${String(step.input)}`);
}

/**
 * Computes the output of a layer at a position.
 * @param step - the layer, its position and input
 * @param cache - cache of the layer after this position
 * @returns the activation for the next layer
 */
export function computeActivation(step: LayerStep, cache: number): number {
    return hasher.h32(`${step.model}|${String(step.layer)}|${String(step.position)}|${String(cache)}`);
}

/**
 * Converts the activation of the last layer to a token.
 * @param activation - the activation
 * @returns token id and text
 */
export function createToken(activation: number): ModelToken {
    return { token: activation, text: `${words[activation % words.length] ?? ""}${String(activation % 100)} ` };
}

/**
 * Computes the full text of a completion, with which tests compare responses.
 * @param model - name and version, as `name@version`
 * @param layers - number of layers of the model
 * @param promptTokens - tokens of the prompt
 * @param count - number of tokens to generate
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
