/**
 * The state of a fleet that every voter holds: the operator's newest document, and the upstreams that registered.
 * Each part remembers the position of the log that changed it, so that others can be told only what they lack.
 */
import {
    type FleetCommand,
    type FleetCommandResult,
    fleetCommandSchema,
    type RegisteredUpstream,
    registeredUpstreamSchema,
} from "@crankfork/schemas";
import * as z from "zod";

/** Removed upstreams that are remembered, so that a late heartbeat can't bring one back. */
const MOST_REMOVED = 2_000;

const documentSchema = z.object({ version: z.int(), packed: z.string() });

const fleetSnapshotSchema = z.object({
    document: documentSchema.optional(),
    upstreams: z.array(z.object({ upstream: registeredUpstreamSchema, index: z.int() })),
    removed: z.array(z.object({ id: z.string(), index: z.int() })),
    /** Removals up to here are forgotten. */
    forgotten_index: z.int(),
    index: z.int(),
});

/** The operator's document as the log holds it. */
export type HeldDocument = z.infer<typeof documentSchema>;

/** What changed after a position of the log. */
export interface FleetChanges {
    readonly index: number;
    /** Whether `upstreams` are all there are. */
    readonly isWhole: boolean;
    readonly upstreams: readonly RegisteredUpstream[];
    readonly removed: readonly string[];
}

interface HeldUpstream {
    readonly upstream: RegisteredUpstream;
    readonly index: number;
}

/** Document and upstreams. */
export class FleetState {
    private document: HeldDocument | undefined;
    private upstreams = new Map<string, HeldUpstream>();
    private removed = new Map<string, number>();
    private forgottenIndex = 0;
    private index = 0;

    /**
     * Applies a committed command.
     * @param raw - the command as it stands in the log
     * @param index - its position
     * @returns whether it changed the state
     */
    apply(raw: unknown, index: number): FleetCommandResult {
        const command = fleetCommandSchema.parse(raw);
        const isTaken = this.applyCommand(command, index);
        if (isTaken) {
            this.index = index;
        }
        return { kind: isTaken ? "taken" : "overtaken" };
    }

    /**
     * Gets the operator's document.
     * @returns the newest one, or undefined before the first
     */
    getDocument(): HeldDocument | undefined {
        return this.document;
    }

    /**
     * Gets an upstream.
     * @param id - names one start of it
     * @returns what is known, or undefined
     */
    getUpstream(id: string): RegisteredUpstream | undefined {
        return this.upstreams.get(id)?.upstream;
    }

    /**
     * Lists the upstreams.
     * @returns all that are not removed
     */
    listUpstreams(): readonly RegisteredUpstream[] {
        return [...this.upstreams.values()].map((held) => held.upstream);
    }

    /**
     * Tells whether an upstream is gone for good.
     * @param id - names one start of it
     * @returns true where it was removed
     */
    isRemoved(id: string): boolean {
        return this.removed.has(id);
    }

    /** Position of the last command that changed the state. */
    get lastChange(): number {
        return this.index;
    }

    /**
     * Gets what changed after a position.
     * @param after - the position that the asker knows; 0 for nothing
     * @returns the changes, or everything where the asker is too far behind
     */
    getChanges(after: number): FleetChanges {
        const isWhole = after < this.forgottenIndex || after === 0 || after > this.index;
        const from = isWhole ? -1 : after;
        const changed = [...this.upstreams.values()].filter((held) => held.index > from);
        const removed = isWhole ? [] : [...this.removed].filter(([, index]) => index > from).map(([id]) => id);
        return {
            index: this.index,
            isWhole,
            upstreams: changed.map((held) => held.upstream),
            removed,
        };
    }

    /**
     * Gets the whole state for a snapshot.
     * @returns plain data that is not changed later
     */
    getState(): unknown {
        return {
            document: this.document,
            upstreams: [...this.upstreams.values()],
            removed: [...this.removed].map(([id, index]) => ({ id, index })),
            forgotten_index: this.forgottenIndex,
            index: this.index,
        };
    }

    /**
     * Puts a snapshot's state in the place of the present one.
     * @param raw - what `getState` gave
     */
    restore(raw: unknown): void {
        const state = fleetSnapshotSchema.parse(raw);
        this.document = state.document;
        this.upstreams = new Map(state.upstreams.map((held) => [held.upstream.id, held]));
        this.removed = new Map(state.removed.map(({ id, index }) => [id, index]));
        this.forgottenIndex = state.forgotten_index;
        this.index = state.index;
    }

    private applyCommand(command: FleetCommand, index: number): boolean {
        switch (command.kind) {
            case "put-document": {
                if (this.document !== undefined && command.version <= this.document.version) {
                    return false;
                }
                this.document = { version: command.version, packed: command.packed };
                return true;
            }
            case "put-upstream": {
                const { id } = command.facts;
                const present = this.upstreams.get(id)?.upstream;
                // Leaving is final: a heartbeat from before it may come later.
                const isStale = present?.status === "leaving" && command.status === "ready";
                if (this.removed.has(id) || isStale) {
                    return false;
                }
                this.upstreams.set(id, { upstream: { ...command.facts, status: command.status }, index });
                return true;
            }
            case "remove-upstream": {
                this.upstreams.delete(command.id);
                this.removed.set(command.id, index);
                this.forgetOldRemovals();
                return true;
            }
        }
    }

    private forgetOldRemovals(): void {
        for (const [id, index] of this.removed) {
            if (this.removed.size <= MOST_REMOVED) {
                return;
            }
            this.removed.delete(id);
            this.forgottenIndex = Math.max(this.forgottenIndex, index);
        }
    }
}
