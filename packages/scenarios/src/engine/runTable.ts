/**
 * The runs of a stand-in engine: their caches, and the positions that they accept.
 */
import type { ExportedCache, ModelLayerRange, Step, StepResponse } from "@crankfork/schemas";
import { computeActivation, computeCache, createToken } from "./referenceText.js";

interface RunState {
    epoch: number;
    /** Next expected position. */
    position: number;
    readonly caches: number[];
    lastStep: Step | undefined;
    lastResult: StepResponse["result"] | undefined;
}

/** All runs of an engine. */
export class RunTable {
    private readonly runs = new Map<string, Map<string, RunState>>();
    /** Ids of all runs of which the engine ever computed a step. */
    readonly seen = new Set<string>();
    /** Number of layer computations over all runs, one for each layer and position. */
    computed = 0;

    /**
     * @param modelLayers - number of layers of each model
     */
    constructor(private readonly modelLayers: Readonly<Record<string, number>>) {}

    /**
     * Tells whether a run has a cache on this engine.
     * @param run - the run
     * @returns true if it has
     */
    has(run: string): boolean {
        return this.runs.has(run);
    }

    /**
     * Removes a run with its caches.
     * @param run - the run
     */
    remove(run: string): void {
        this.runs.delete(run);
    }

    /**
     * Computes a step, or refuses it with a reason.
     * @param step - the step
     * @param holds - layers that the engine holds
     * @returns the result
     */
    run(step: Step, holds: readonly ModelLayerRange[]): StepResponse["result"] {
        if (!holds.some((range) => coversStep(range, step))) {
            return { kind: "refused", reason: "not-held" };
        }
        const state = this.getState(step);
        const refusal = this.checkPosition(step, state);
        if (refusal !== undefined) {
            return refusal;
        }
        const activeState = state !== undefined && isContinuation(step, state) ? state : this.createState(step);
        activeState.epoch = step.epoch;
        return this.compute(step, activeState);
    }

    /**
     * Exports the caches of a run.
     * @param run - the run
     * @returns one cache for each range of layers
     */
    exportRun(run: string): readonly ExportedCache[] {
        return [...this.runs.get(run)?.values() ?? []].flatMap((state) => {
            const step = state.lastStep;
            return step === undefined ? [] : [{
                run,
                epoch: state.epoch,
                position: state.position,
                model: step.model,
                version: step.version,
                first_layer: step.first_layer,
                end_layer: step.end_layer,
                layers: [...state.caches],
            }];
        });
    }

    /**
     * Imports a cache; the run continues at its position.
     * @param cache - the cache
     */
    importRun(cache: ExportedCache): void {
        this.setState(cache.run, formatRange(cache), {
            epoch: cache.epoch,
            position: cache.position,
            caches: [...cache.layers],
            lastStep: undefined,
            lastResult: undefined,
        });
    }

    private checkPosition(step: Step, state: RunState | undefined): StepResponse["result"] | undefined {
        if (state === undefined) {
            return step.position === 0 ? undefined : { kind: "refused", reason: "unknown-run" };
        }
        if (step.epoch < state.epoch) {
            return { kind: "refused", reason: "old-epoch" };
        }
        if (step.epoch > state.epoch && step.position === 0) {
            return undefined;
        }
        if (step.position === state.position) {
            return undefined;
        }
        const isRepeat = step.epoch === state.epoch && state.lastStep?.position === step.position
            && state.lastStep.inputs.length === step.inputs.length;
        return isRepeat && state.lastResult !== undefined
            ? state.lastResult
            : { kind: "refused", reason: "wrong-position" };
    }

    private compute(step: Step, state: RunState): StepResponse["result"] {
        this.seen.add(step.run);
        const outputs = step.inputs.map((input, offset) => this.runLayers(step, state, step.position + offset, input));
        state.position = step.position + step.inputs.length;
        const isLast = step.end_layer === this.modelLayers[step.model];
        const result: StepResponse["result"] = isLast
            ? { kind: "token", ...createToken(outputs.at(-1) ?? 0), is_end: false }
            : { kind: "activations", outputs };
        state.lastStep = step;
        state.lastResult = result;
        return result;
    }

    private runLayers(step: Step, state: RunState, position: number, token: number): number {
        const model = `${step.model}@${step.version}`;
        let input = token;
        for (let layer = step.first_layer; layer < step.end_layer; layer += 1) {
            const cacheIndex = layer - step.first_layer;
            const layerStep = { model, layer, position, cache: state.caches[cacheIndex] ?? 0, input };
            const cache = computeCache(layerStep);
            state.caches[cacheIndex] = cache;
            input = computeActivation(layerStep, cache);
            this.computed += 1;
        }
        return input;
    }

    private getState(step: Step): RunState | undefined {
        return this.runs.get(step.run)?.get(formatRange(step));
    }

    private createState(step: Step): RunState {
        const state: RunState = {
            epoch: step.epoch,
            position: 0,
            caches: new Array<number>(step.end_layer - step.first_layer).fill(0),
            lastStep: undefined,
            lastResult: undefined,
        };
        this.setState(step.run, formatRange(step), state);
        return state;
    }

    private setState(run: string, range: string, state: RunState): void {
        const ranges = this.runs.get(run) ?? new Map<string, RunState>();
        ranges.set(range, state);
        this.runs.set(run, ranges);
    }
}

function isContinuation(step: Step, state: RunState): boolean {
    return step.position === state.position && (step.epoch === state.epoch || step.position > 0);
}

function coversStep(range: ModelLayerRange, step: Step): boolean {
    return range.model === step.model && range.version === step.version
        && range.first_layer <= step.first_layer && range.end_layer >= step.end_layer;
}

function formatRange(range: { model: string; version: string; first_layer: number; end_layer: number; }): string {
    return `${range.model}@${range.version}:${String(range.first_layer)}-${String(range.end_layer)}`;
}
