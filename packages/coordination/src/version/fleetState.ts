/**
 * The state of a fleet that every voter holds: the operator's newest document, and the upstreams that registered.
 * Each part remembers the position of the log that changed it, so that others can be told only what they lack.
 */
import {
    type FleetCommand,
    type FleetCommandResult,
    fleetCommandSchema,
    formatIncarnationId,
    getIncarnation,
    isEarlierIncarnation,
    type RegisteredUpstream,
    registeredUpstreamSchema,
    type UpstreamIncarnation,
    upstreamIncarnationSchema,
} from "@crankfork/schemas";
import * as z from "zod";
import { type CrashChanges, CrashRegister, crashSnapshotSchema } from "./crashRegister.js";

/** Lives that are over and remembered, so that a late heartbeat can't bring one back. */
const MOST_REMOVED = 2_000;

const documentSchema = z.object({ version: z.int(), packed: z.string() });

const fleetSnapshotSchema = z.object({
    document: documentSchema.optional(),
    upstreams: z.array(z.object({ upstream: registeredUpstreamSchema, index: z.int() })),
    /** Snapshots from before lives were told have none. */
    removed: z.array(z.object({ id: z.string(), index: z.int(), life: upstreamIncarnationSchema.optional() })),
    /** Removals up to here are forgotten. */
    forgotten_index: z.int(),
    index: z.int(),
    /** Snapshots from before crashes were recorded have none. */
    crashes: crashSnapshotSchema.optional(),
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
    /** Requests under which upstreams ended. */
    readonly crashes: CrashChanges;
}

interface HeldUpstream {
    readonly upstream: RegisteredUpstream;
    readonly index: number;
}

interface RemovedLife {
    readonly life: UpstreamIncarnation;
    readonly index: number;
}

/** Document, upstreams, and requests under which these ended. */
export class FleetState {
    /** Requests under which upstreams ended; changed by commands alone. */
    readonly crashes = new CrashRegister();
    private document: HeldDocument | undefined;
    private upstreams = new Map<string, HeldUpstream>();
    private removed = new Map<string, RemovedLife>();
    /** The latest life of each name, whether it runs or is over. */
    private latest = new Map<string, UpstreamIncarnation>();
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
     * @param id - names one life of it
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
     * Gets the latest life of a name.
     * @param name - what an upstream registers under
     * @returns the life, which may be over, or undefined where none is remembered
     */
    getLatestLife(name: string): UpstreamIncarnation | undefined {
        return this.latest.get(name);
    }

    /**
     * Tells whether a life is over: it was removed, or a later one of its name was heard.
     * @param life - the life
     * @returns true where nothing that it says counts any more
     */
    isOver(life: UpstreamIncarnation): boolean {
        const latest = this.latest.get(life.name);
        return this.removed.has(formatIncarnationId(life))
            || (latest !== undefined && isEarlierIncarnation(life, latest));
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
        const leastIndex = Math.max(this.forgottenIndex, this.crashes.leastIndex);
        const isWhole = after < leastIndex || after === 0 || after > this.index;
        const from = isWhole ? -1 : after;
        const changed = [...this.upstreams.values()].filter((held) => held.index > from);
        const removed = isWhole ? [] : [...this.removed].filter(([, one]) => one.index > from).map(([id]) => id);
        return {
            index: this.index,
            isWhole,
            upstreams: changed.map((held) => held.upstream),
            removed,
            crashes: this.crashes.getChanges(from),
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
            removed: [...this.removed].map(([id, one]) => ({ id, ...one })),
            forgotten_index: this.forgottenIndex,
            index: this.index,
            crashes: this.crashes.getState(),
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
        this.removed = new Map(state.removed.map((one) => [one.id, { life: getIncarnation(one), index: one.index }]));
        this.latest = new Map();
        this.removed.forEach(({ life }) => {
            this.recordLife(life);
        });
        this.upstreams.forEach(({ upstream }) => {
            this.recordLife(getIncarnation(upstream));
        });
        this.forgottenIndex = state.forgotten_index;
        this.index = state.index;
        this.crashes.restore(state.crashes);
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
            case "put-upstream":
                return this.putUpstream({ ...command.facts, status: command.status }, index);
            case "remove-upstream": {
                const life = command.life ?? getIncarnation(this.getUpstream(command.id) ?? command);
                this.removeEarlierLife(life, index);
                this.removeLife(life, index);
                return true;
            }
            case "record-crashes":
                return this.crashes.add(command.crashes, command.at_ms, index);
            case "forget-crashes":
                return this.crashes.forget(command.fingerprints, index);
            case "claim-trial":
                return this.crashes.claimTrial(command.fingerprint, command.at_ms, index);
        }
    }

    private putUpstream(upstream: RegisteredUpstream, index: number): boolean {
        const life = getIncarnation(upstream);
        const present = this.upstreams.get(upstream.id)?.upstream;
        // Leaving is final for a life: a heartbeat from before it may come later.
        const isStale = present?.status === "leaving" && upstream.status === "ready";
        if (isStale || this.isOver(life)) {
            return false;
        }
        this.removeEarlierLife(life, index);
        this.recordLife(life);
        this.upstreams.set(upstream.id, { upstream, index });
        return true;
    }

    private removeEarlierLife(life: UpstreamIncarnation, index: number): void {
        const latest = this.latest.get(life.name);
        if (
            latest !== undefined && isEarlierIncarnation(latest, life)
            && this.upstreams.has(formatIncarnationId(latest))
        ) {
            this.removeLife(latest, index);
        }
    }

    private removeLife(life: UpstreamIncarnation, index: number): void {
        const id = formatIncarnationId(life);
        this.upstreams.delete(id);
        this.removed.set(id, { life, index });
        this.recordLife(life);
        this.forgetOldRemovals();
    }

    private recordLife(life: UpstreamIncarnation): void {
        const latest = this.latest.get(life.name);
        if (latest === undefined || isEarlierIncarnation(latest, life)) {
            this.latest.set(life.name, life);
        }
    }

    private forgetOldRemovals(): void {
        for (const [id, { life, index }] of this.removed) {
            if (this.removed.size <= MOST_REMOVED) {
                return;
            }
            this.removed.delete(id);
            this.forgottenIndex = Math.max(this.forgottenIndex, index);
            const latest = this.latest.get(life.name);
            if (latest !== undefined && formatIncarnationId(latest) === id) {
                this.latest.delete(life.name);
            }
        }
    }
}
