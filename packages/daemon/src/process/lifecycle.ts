/**
 * The lifecycle of the process. It serves requests only once it knows the confirmed configuration.
 */
import { createMachine, interpret, state, transition } from "robot3";

/** Lifecycle states. */
export type LifecycleState = "starting" | "ready" | "draining" | "stopped";
/** Events that trigger transitions. */
export type LifecycleEvent = "configured" | "asked-to-stop" | "drained";

const lifecycleMachine = createMachine("starting", {
    starting: state(transition("configured", "ready"), transition("asked-to-stop", "stopped")),
    ready: state(transition("asked-to-stop", "draining")),
    draining: state(transition("drained", "stopped")),
    stopped: state(),
});

/** A running lifecycle state machine. */
export interface Lifecycle {
    readonly get: () => LifecycleState;
    readonly send: (event: LifecycleEvent) => void;
}

/**
 * Starts the state machine.
 * @param handleChange - called with each new state
 * @returns the state machine in state `starting`
 */
export function startLifecycle(handleChange: (state: LifecycleState) => void): Lifecycle {
    const service = interpret(lifecycleMachine, (changed) => {
        handleChange(changed.machine.current as LifecycleState);
    });
    return {
        get: () => service.machine.current as LifecycleState,
        send: (event) => {
            service.send(event);
        },
    };
}
