/**
 * State machine of a replica's role.
 */
import { createMachine, interpret, state, transition } from "robot3";

/** Roles as in Ongaro and Ousterhout (2014); `pre-candidate` as in section 9.6 of Ongaro's thesis. */
export type Role = "follower" | "pre-candidate" | "candidate" | "leader";

/** Events that may change the role. */
export type RoleEvent = "timed-out" | "pre-elected" | "elected" | "stepped-down" | "asked-to-take-over";

const roleMachine = createMachine("follower", {
    "follower": state(
        transition("timed-out", "pre-candidate"),
        transition("asked-to-take-over", "candidate"),
        transition("stepped-down", "follower"),
    ),
    "pre-candidate": state(
        transition("timed-out", "pre-candidate"),
        transition("pre-elected", "candidate"),
        transition("elected", "leader"),
        transition("stepped-down", "follower"),
    ),
    "candidate": state(
        transition("timed-out", "pre-candidate"),
        transition("elected", "leader"),
        transition("stepped-down", "follower"),
    ),
    "leader": state(transition("stepped-down", "follower")),
});

/** The running role machine of a replica. */
export interface RoleService {
    readonly get: () => Role;
    readonly send: (event: RoleEvent) => void;
}

/**
 * Starts the role machine.
 * @param handleChange - called with the new role after each change
 * @returns the running machine, initially a follower
 */
export function startRoleMachine(handleChange: (role: Role) => void): RoleService {
    let role: Role = "follower";
    const service = interpret(roleMachine, (changed) => {
        const next = changed.machine.current as Role;
        if (next !== role) {
            role = next;
            handleChange(next);
        }
    });
    return {
        get: () => role,
        send: (event) => {
            service.send(event);
        },
    };
}
