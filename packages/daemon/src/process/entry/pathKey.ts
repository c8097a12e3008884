/**
 * Keys of engine paths, which show the paths that share their later stages.
 */
import type { ChainStage } from "@crankfork/decisions";

/** Identifies a path. */
export interface PathKey {
    /** Its first engine. */
    readonly id: string;
    /** The engines after the first; several paths may share all of them. */
    readonly laterStages: string;
}

/**
 * Creates the key of a path.
 * @param stages - its stages in order
 * @returns the key
 */
export function getPathKey(stages: readonly ChainStage[]): PathKey {
    const [first = "", ...later] = stages.map((stage) => stage.engine.id);
    return { id: first, laterStages: later.join("+") };
}
