/**
 * Names paths, so that those can be told which share their later stages.
 */
import type { ChainStage } from "@crankfork/decisions";

/** What tells one path from another. */
export interface PathKey {
    /** Its first engine. */
    readonly id: string;
    /** The engines after it; other paths may share all of them. */
    readonly laterStages: string;
}

/**
 * Names a path.
 * @param stages - its stages in order
 * @returns its name
 */
export function getPathKey(stages: readonly ChainStage[]): PathKey {
    const [first = "", ...later] = stages.map((stage) => stage.engine.id);
    return { id: first, laterStages: later.join("+") };
}
