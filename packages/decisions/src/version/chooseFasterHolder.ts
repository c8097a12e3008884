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

/** Adjacent layers whose fastest holder has the same step factor. */
interface FactorRun extends LayerSpan {
    readonly factor: number;
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
    const minGain = MIN_GAIN * factors.reduce((sum, { first, end, factor }) => sum + (end - first) * factor, 0);
    let best: Move | undefined;
    engines.forEach((engine) => {
        const found = chooseSpan(engine, factors);
        if (found !== undefined && found.gain >= minGain && found.gain > (best?.gain ?? 0)) {
            best = found;
        }
    });
    return best === undefined ? undefined : { id: best.id, span: best.span };
}

/** Step factor of the fastest holder of each layer, as runs of layers that have the same holders. */
function listStepFactors(engines: readonly AssignableEngine[], layers: number): readonly FactorRun[] {
    const bounds = new Set([
        0,
        layers,
        ...engines.flatMap(({ span }) => span === undefined ? [] : [span.first, span.end]),
    ]);
    const sorted = [...bounds].filter((bound) => bound <= layers).sort((left, right) => left - right);
    return sorted.slice(1).map((end, index) => {
        const first = sorted[index] ?? 0;
        const factor = engines.reduce(
            (least, { span, stepFactor }) =>
                span !== undefined && span.first <= first && first < span.end ? Math.min(least, stepFactor) : least,
            Number.POSITIVE_INFINITY,
        );
        return { first, end, factor };
    });
}

function chooseSpan(engine: AssignableEngine, factors: readonly FactorRun[]): Move | undefined {
    const { layerCapacity: room, span, stepFactor, id } = engine;
    const layers = factors.at(-1)?.end ?? 0;
    const firstStart = span === undefined ? 0 : Math.max(0, span.end - room);
    const lastStart = span === undefined ? layers - 1 : span.first;
    // The gain is linear in the start between those at which either end of the span passes the end of a run.
    const starts = new Set([firstStart, lastStart, ...factors.flatMap(({ end }) => [end, end - room])]);
    let best: Move | undefined;
    for (const first of [...starts].sort((left, right) => left - right)) {
        if (first < firstStart || first > lastStart) {
            continue;
        }
        const chosen = { first, end: Math.min(layers, first + room) };
        const faster = listFaster(chosen, factors, stepFactor);
        const gain = faster.reduce((sum, one) => sum + (one.end - one.first) * (one.factor - stepFactor), 0);
        if (gain > (best?.gain ?? 0)) {
            best = { id, span: trimSpan(chosen, span, faster), gain };
        }
    }
    return best;
}

/** The parts of a span that the engine makes faster. */
function listFaster(span: LayerSpan, factors: readonly FactorRun[], stepFactor: number): readonly FactorRun[] {
    return factors.filter(({ first, end, factor }) => factor > stepFactor && first < span.end && end > span.first)
        .map(({ first, end, factor }) => ({
            first: Math.max(first, span.first),
            end: Math.min(end, span.end),
            factor,
        }));
}

/** Drops layers at both ends that the engine does not make faster, unless it holds them. */
function trimSpan(span: LayerSpan, held: LayerSpan | undefined, faster: readonly LayerSpan[]): LayerSpan {
    const firstGain = faster[0]?.first ?? span.first;
    const endGain = faster.at(-1)?.end ?? span.end;
    return {
        first: Math.min(firstGain, held?.first ?? firstGain),
        end: Math.max(endGain, held?.end ?? endGain),
    };
}
