import type { RegisteredUpstream, SynchronisedState } from "@crankfork/schemas";

/** Creates what a leader tells an entry that knows nothing: all upstreams there are. */
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
