/**
 * The replicated state: configuration, plans and claims, changed by commands in log order.
 */
import { parseCommand, type ParsedCommand, type StampedCommand, stampedCommandSchema } from "@crankfork/schemas";
import * as z from "zod";
import { claimListSchema, ClaimRegister } from "./claimRegister.js";
import { ConfigurationRegister, configurationStateSchema } from "./configurationRegister.js";

const replicatedStateSchema = z.object({ configuration: configurationStateSchema, claims: claimListSchema });

/** Configuration, plans and claims. */
export class ReplicatedState {
    readonly configurations = new ConfigurationRegister();
    readonly claims = new ClaimRegister();

    /**
     * Parses a command, as {@link ReplicatedState.apply} does before it changes anything.
     * @param raw - the command
     * @returns the command, or what is wrong with it
     */
    parse(raw: unknown): ParsedCommand<StampedCommand> {
        return parseCommand(stampedCommandSchema, raw);
    }

    /**
     * Applies a committed command. A command that is invalid has no effect: the log may hold any, from other builds.
     * @param raw - the command as stored in the log
     * @returns the result for the proposer
     */
    apply(raw: unknown): unknown {
        const parsed = this.parse(raw);
        if (parsed.kind === "invalid") {
            return parsed;
        }
        const { command, at_ms, claim_retention_ms } = parsed.command;
        switch (command.kind) {
            case "record-plan":
                return this.configurations.recordPlan(command.plan);
            case "confirm-plan":
                return this.configurations.confirmPlan(command.plan_id, at_ms);
            case "open-claim":
                return this.claims.open(command, at_ms, claim_retention_ms);
            case "settle-claim":
                return this.claims.settle(command);
            case "release-claim":
                return this.claims.release(command);
        }
    }

    /**
     * Gets the state for a snapshot.
     * @returns plain data that is not modified later
     */
    getState(): unknown {
        return { configuration: this.configurations.getState(), claims: this.claims.getState() };
    }

    /**
     * Replaces the state with that of a snapshot.
     * @param raw - the result of `getState`
     * @returns number of records that were left out: none, as every claim counts
     * @throws ZodError if a part of it cannot be parsed; the state is as before
     */
    restore(raw: unknown): number {
        const state = replicatedStateSchema.parse(raw);
        this.configurations.restore(state.configuration);
        this.claims.restore(state.claims);
        return 0;
    }
}
