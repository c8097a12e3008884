/**
 * Which engine takes over layers that slower ones hold. A fast engine that comes back empty finds its layers on the slow
 * ones that stood in for it; a path is as slow as its stages together, so it takes them again while these go on.
 */
import type { LayerSpan } from "@crankfork/schemas";
import type { AssignableEngine, LayerOrder } from "./assignableEngine.js";

/** Part of a path's time for a step that a change has to save to be worth its loads. */
const LEAST_GAIN = 0.05;

interface Upgrade extends LayerOrder {
    readonly gain: number;
}

/**
 * Chooses the engine and the layers that make the paths of a failure domain faster by the most. What it holds already
 * it keeps, so that no request on its way is disturbed.
 * @param engines - sound engines of one failure domain
 * @param layers - layers of the model
 * @returns an order, or undefined where none is worth its loads
 */
export function chooseFasterHolder(engines: readonly AssignableEngine[], layers: number): LayerOrder | undefined {
    const factors = listStepFactors(engines, layers);
    const least = LEAST_GAIN * factors.reduce((sum, factor) => sum + factor, 0);
    let best: Upgrade | undefined;
    engines.forEach((engine) => {
        const found = chooseSpan(engine, factors);
        if (found !== undefined && found.gain >= least && found.gain > (best?.gain ?? 0)) {
            best = found;
        }
    });
    return best === undefined ? undefined : { id: best.id, span: best.span };
}

/** Step factor of the fastest holder of each layer. */
function listStepFactors(engines: readonly AssignableEngine[], layers: number): readonly number[] {
    return Array.from({ length: layers }, (_, layer) => {
        const holders = engines.filter(({ span }) => span !== undefined && span.first <= layer && layer < span.end);
        return Math.min(...holders.map(({ stepFactor }) => stepFactor));
    });
}

function chooseSpan(engine: AssignableEngine, factors: readonly number[]): Upgrade | undefined {
    const { layerCapacity: room, span, stepFactor, id } = engine;
    const firstStart = span === undefined ? 0 : Math.max(0, span.end - room);
    const lastStart = span === undefined ? factors.length - 1 : span.first;
    let best: Upgrade | undefined;
    for (let first = firstStart; first <= lastStart; first += 1) {
        const end = Math.min(factors.length, first + room);
        const gains = factors.slice(first, end).map((factor) => Math.max(0, factor - stepFactor));
        const gain = gains.reduce((sum, one) => sum + one, 0);
        if (gain > (best?.gain ?? 0)) {
            best = { id, span: trimSpan({ first, end }, span, gains), gain };
        }
    }
    return best;
}

/** Leaves out layers at both ends that the engine does not make faster, unless it holds them. */
function trimSpan(span: LayerSpan, held: LayerSpan | undefined, gains: readonly number[]): LayerSpan {
    const firstGain = span.first + gains.findIndex((gain) => gain > 0);
    const endGain = span.first + gains.findLastIndex((gain) => gain > 0) + 1;
    return {
        first: Math.min(firstGain, held?.first ?? firstGain),
        end: Math.max(endGain, held?.end ?? endGain),
    };
}
