/**
 * Moves layers from slower engines to a faster one. A fast engine that returns empty finds its layers on the slow
 * engines that replaced it; since a chain is as slow as the sum of its stages, it takes them over again while the slow
 * ones keep serving.
 */
import type { LayerSpan } from "@crankfork/schemas";
import type { AssignableEngine, LayerOrder } from "./assignableEngine.js";

/** Share of a chain's step time that a move has to save to be worth loading the layers. */
const MIN_GAIN = 0.05;

interface Move extends LayerOrder {
    readonly gain: number;
}

/**
 * Chooses the engine and the layers that make the chains of a failure domain faster by the most. The engine keeps what
 * it holds, so that requests in flight are not disturbed.
 * @param engines - healthy engines of one failure domain
 * @param layers - layers of the model
 * @returns an order, or undefined where no move is worth its loads
 */
export function chooseFasterHolder(engines: readonly AssignableEngine[], layers: number): LayerOrder | undefined {
    const factors = listStepFactors(engines, layers);
    const minGain = MIN_GAIN * factors.reduce((sum, factor) => sum + factor, 0);
    let best: Move | undefined;
    engines.forEach((engine) => {
        const found = chooseSpan(engine, factors);
        if (found !== undefined && found.gain >= minGain && found.gain > (best?.gain ?? 0)) {
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

function chooseSpan(engine: AssignableEngine, factors: readonly number[]): Move | undefined {
    const { layerCapacity: room, span, stepFactor, id } = engine;
    const firstStart = span === undefined ? 0 : Math.max(0, span.end - room);
    const lastStart = span === undefined ? factors.length - 1 : span.first;
    let best: Move | undefined;
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

/** Drops layers at both ends that the engine does not make faster, unless it holds them. */
function trimSpan(span: LayerSpan, held: LayerSpan | undefined, gains: readonly number[]): LayerSpan {
    const firstGain = span.first + gains.findIndex((gain) => gain > 0);
    const endGain = span.first + gains.findLastIndex((gain) => gain > 0) + 1;
    return {
        first: Math.min(firstGain, held?.first ?? firstGain),
        end: Math.max(endGain, held?.end ?? endGain),
    };
}
