import type { RegisteredUpstream, SynchronisedState } from "@crankfork/schemas";

/** Creates the full state that a leader sends to an entry without any state. */
export function createFullState(
    index: number,
    upstreams: readonly RegisteredUpstream[],
    entries: number = 1,
    voters: readonly string[] = [],
): SynchronisedState {
    return {
        kind: "state",
        index,
        is_whole: true,
        upstreams: [...upstreams],
        removed: [],
        entries,
        loads_elsewhere: {},
        voters: [...voters],
    };
}
