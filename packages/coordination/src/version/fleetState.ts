/**
 * Replicated state of a fleet: the operator's newest document, the registered upstreams, and crash records. Upstreams,
 * removals and crash records keep the log index of their last change, for incremental updates of entries. An incarnation
 * of an upstream is the time from one start of its process to the next; the latest incarnation of a name replaces
 * others.
 */
import {
    type FleetCommand,
    type FleetCommandResult,
    fleetCommandSchema,
    formatIncarnationId,
    getIncarnation,
    isEarlierIncarnation,
    parseCommand,
    type ParsedCommand,
    parseSegmentKey,
    type RegisteredUpstream,
    registeredUpstreamSchema,
    type SegmentStatus,
    type UpstreamIncarnation,
    upstreamIncarnationSchema,
} from "@crankfork/schemas";
import * as z from "zod";
import { type CrashChanges, CrashRegister, crashSnapshotSchema } from "./crashRegister.js";
import { SegmentRegister, segmentSnapshotSchema } from "./segmentRegister.js";
import { countRecords, createTolerantArray } from "./tolerantArray.js";

/** Maximum number of ended incarnations kept, so that a delayed heartbeat cannot register one of them again. */
const MAX_REMOVED_INCARNATIONS = 2_000;

const documentSchema = z.object({ version: z.int(), packed: z.string() });

const fleetSnapshotSchema = z.object({
    document: documentSchema.optional(),
    upstreams: createTolerantArray(z.object({ upstream: registeredUpstreamSchema, index: z.int() })),
    /** `life` is missing in snapshots written before upstreams reported incarnations. */
    removed: createTolerantArray(
        z.object({ id: z.string(), index: z.int(), life: upstreamIncarnationSchema.optional() }),
    ),
    /** Removals up to this index are no longer recorded. */
    forgotten_index: z.int(),
    index: z.int(),
    /** Missing in snapshots written before crashes were recorded. */
    crashes: crashSnapshotSchema.optional(),
    /** Missing in snapshots written before crashes were counted by segment. */
    segments: segmentSnapshotSchema.optional(),
});

type FleetSnapshot = z.infer<typeof fleetSnapshotSchema>;

/** The operator's document as stored in the log. */
export type StoredDocument = z.infer<typeof documentSchema>;

/** Changes after a log index. */
export interface FleetChanges {
    readonly index: number;
    /** Whether `upstreams` is the complete list rather than an increment. */
    readonly isFullState: boolean;
    readonly upstreams: readonly RegisteredUpstream[];
    readonly removed: readonly string[];
    /** Requests that were running when upstreams crashed. */
    readonly crashes: CrashChanges;
    /** All suspected prompt segments; undefined if none of them changed. */
    readonly segments: readonly SegmentStatus[] | undefined;
}

interface UpstreamEntry {
    readonly upstream: RegisteredUpstream;
    readonly index: number;
}

interface RemovedIncarnation {
    /** Named as in snapshots, which hold this record as it is. */
    readonly life: UpstreamIncarnation;
    readonly index: number;
}

/** The document, the upstreams and the crash records. */
export class FleetState {
    /** Crash records; changed by commands alone. */
    readonly crashes = new CrashRegister();
    /** Crash records by prompt segment; changed by commands alone. */
    readonly segments = new SegmentRegister();
    private document: StoredDocument | undefined;
    private upstreams = new Map<string, UpstreamEntry>();
    private removed = new Map<string, RemovedIncarnation>();
    /**
     * The latest incarnation of each name, running or ended. It follows from the records above at all times, since a snapshot holds
     * only those, and replicas that restored it must not differ from others.
     */
    private latest = new Map<string, UpstreamIncarnation>();
    private compactedIndex = 0;
    private index = 0;

    /**
     * Parses a command, as {@link FleetState.apply} does before it changes anything.
     * @param raw - the command
     * @returns the command, or what is wrong with it
     */
    parse(raw: unknown): ParsedCommand<FleetCommand> {
        return parseCommand(fleetCommandSchema, raw);
    }

    /**
     * Applies a committed command. A command that is invalid has no effect: the log may hold any, from other builds.
     * @param raw - the command as stored in the log
     * @param index - its log index
     * @returns whether it changed the state
     */
    apply(raw: unknown, index: number): FleetCommandResult {
        const parsed = this.parse(raw);
        if (parsed.kind === "invalid") {
            return parsed;
        }
        const isTaken = this.applyCommand(parsed.command, index);
        if (isTaken) {
            this.index = index;
        }
        return { kind: isTaken ? "taken" : "overtaken" };
    }

    /**
     * Gets the operator's document.
     * @returns the newest version, or undefined if there is none yet
     */
    getDocument(): StoredDocument | undefined {
        return this.document;
    }

    /**
     * Gets an upstream.
     * @param id - identifies one incarnation of it
     * @returns the upstream, or undefined if it is not registered
     */
    getUpstream(id: string): RegisteredUpstream | undefined {
        return this.upstreams.get(id)?.upstream;
    }

    /**
     * Lists the upstreams.
     * @returns all registered upstreams
     */
    listUpstreams(): readonly RegisteredUpstream[] {
        return [...this.upstreams.values()].map((entry) => entry.upstream);
    }

    /**
     * Gets the latest incarnation of a name.
     * @param name - what an upstream registers under
     * @returns the incarnation, which may have ended, or undefined if none is known
     */
    getLatestIncarnation(name: string): UpstreamIncarnation | undefined {
        return this.latest.get(name);
    }

    /**
     * Returns whether an incarnation has ended: it was removed, or a later one of the same name is known.
     * @param incarnation - the incarnation
     * @returns true if its messages must be ignored
     */
    hasEnded(incarnation: UpstreamIncarnation): boolean {
        const latest = this.latest.get(incarnation.name);
        return this.removed.has(formatIncarnationId(incarnation))
            || (latest !== undefined && isEarlierIncarnation(incarnation, latest));
    }

    /** Log index of the last command that changed the state. */
    get lastChangeIndex(): number {
        return this.index;
    }

    /**
     * Gets the changes after a log index.
     * @param after - the last index known to the recipient; 0 if none
     * @returns the changes, or the full state if the recipient is too far behind
     */
    getChanges(after: number): FleetChanges {
        const compactedIndex = Math.max(this.compactedIndex, this.crashes.compactedIndex);
        const isFullState = after < compactedIndex || after === 0 || after > this.index;
        const from = isFullState ? -1 : after;
        const changed = [...this.upstreams.values()].filter((entry) => entry.index > from);
        const removed = isFullState
            ? []
            : [...this.removed].filter(([, removal]) => removal.index > from).map(([id]) => id);
        return {
            index: this.index,
            isFullState,
            upstreams: changed.map((entry) => entry.upstream),
            removed,
            crashes: this.crashes.getChanges(from),
            segments: this.segments.lastChangeIndex > from ? this.segments.listStatuses() : undefined,
        };
    }

    /**
     * Gets the state for a snapshot.
     * @returns plain data that is not modified later
     */
    getState(): unknown {
        return {
            document: this.document,
            upstreams: [...this.upstreams.values()],
            removed: [...this.removed].map(([id, removal]) => ({ id, ...removal })),
            forgotten_index: this.compactedIndex,
            index: this.index,
            crashes: this.crashes.getState(),
            segments: this.segments.getState(),
        };
    }

    /**
     * Replaces the state with that of a snapshot.
     * @param raw - the result of `getState`
     * @param snapshotIndex - log index of the snapshot; changes after it are taken as made by its last command
     * @returns number of records that cannot be parsed and were left out
     * @throws ZodError if it is no snapshot; the state is as before
     */
    restore(raw: unknown, snapshotIndex: number = Number.MAX_SAFE_INTEGER): number {
        const state = limitIndexes(fleetSnapshotSchema.parse(raw), snapshotIndex);
        this.document = state.document;
        this.upstreams = new Map(state.upstreams.map((entry) => [entry.upstream.id, entry]));
        this.removed = new Map(
            state.removed.map((removal) => [removal.id, { life: getIncarnation(removal), index: removal.index }]),
        );
        this.latest = new Map();
        this.removed.forEach(({ life: incarnation }) => {
            this.recordIncarnation(incarnation);
        });
        this.upstreams.forEach(({ upstream }) => {
            this.recordIncarnation(getIncarnation(upstream));
        });
        this.compactedIndex = state.forgotten_index;
        this.index = state.index;
        this.crashes.restore(state.crashes, state.index);
        this.segments.restore(state.segments);
        return countRecords(raw as object) - countRecords(state);
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
                const incarnation = command.life ?? getIncarnation(this.getUpstream(command.id) ?? command);
                this.removeEarlierIncarnation(incarnation, index);
                this.removeIncarnation(incarnation, index);
                return true;
            }
            case "record-crashes": {
                const areAdded = this.crashes.add(command.crashes, command.at_ms, index);
                return this.segments.add(command.crashes, command.at_ms, index) || areAdded;
            }
            case "forget-crashes": {
                const areForgotten = this.crashes.forget(command.fingerprints, index);
                return this.segments.forget(command.fingerprints, index) || areForgotten;
            }
            case "claim-trial": {
                const segment = parseSegmentKey(command.fingerprint);
                return segment === undefined
                    ? this.crashes.claimTrial(command.fingerprint, command.at_ms, index)
                    : this.segments.claimTrial(segment, index);
            }
        }
    }

    private putUpstream(upstream: RegisteredUpstream, index: number): boolean {
        const incarnation = getIncarnation(upstream);
        const existing = this.upstreams.get(upstream.id)?.upstream;
        // Leaving is final for an incarnation: a heartbeat sent earlier may arrive later.
        const isStale = existing?.status === "leaving" && upstream.status === "ready";
        if (isStale || this.hasEnded(incarnation)) {
            return false;
        }
        this.removeEarlierIncarnation(incarnation, index);
        const replaced = this.upstreams.get(upstream.id);
        this.upstreams.set(upstream.id, { upstream, index });
        this.recordIncarnation(incarnation);
        this.replaceIncarnation(replaced === undefined ? undefined : getIncarnation(replaced.upstream), incarnation);
        return true;
    }

    private removeEarlierIncarnation(incarnation: UpstreamIncarnation, index: number): void {
        const latest = this.latest.get(incarnation.name);
        if (
            latest !== undefined && isEarlierIncarnation(latest, incarnation)
            && this.upstreams.has(formatIncarnationId(latest))
        ) {
            this.removeIncarnation(latest, index);
        }
    }

    private removeIncarnation(incarnation: UpstreamIncarnation, index: number): void {
        const id = formatIncarnationId(incarnation);
        const upstream = this.upstreams.get(id)?.upstream;
        const removed = this.removed.get(id)?.life;
        this.upstreams.delete(id);
        this.removed.set(id, { life: incarnation, index });
        this.recordIncarnation(incarnation);
        this.replaceIncarnation(upstream === undefined ? undefined : getIncarnation(upstream), incarnation);
        this.replaceIncarnation(removed, incarnation);
        this.evictOldRemovals();
    }

    /** Records without incarnations may share an id with those of another name. */
    private replaceIncarnation(former: UpstreamIncarnation | undefined, next: UpstreamIncarnation): void {
        if (former !== undefined && !isSameIncarnation(former, next)) {
            this.dropIncarnations([former]);
        }
    }

    /** Finds the latest incarnations of names again, once the records of those that were the latest are gone. */
    private dropIncarnations(former: readonly UpstreamIncarnation[]): void {
        const dropped = former.filter((incarnation) => {
            const latest = this.latest.get(incarnation.name);
            return latest !== undefined && isSameIncarnation(latest, incarnation);
        });
        const names = new Set(dropped.map(({ name }) => name));
        if (names.size === 0) {
            return;
        }
        names.forEach((name) => this.latest.delete(name));
        const left = [
            ...[...this.removed.values()].map(({ life: incarnation }) => incarnation),
            ...this.listUpstreams().map(getIncarnation),
        ];
        left.filter(({ name }) => names.has(name)).forEach((incarnation) => {
            this.recordIncarnation(incarnation);
        });
    }

    private recordIncarnation(incarnation: UpstreamIncarnation): void {
        const latest = this.latest.get(incarnation.name);
        if (latest === undefined || isEarlierIncarnation(latest, incarnation)) {
            this.latest.set(incarnation.name, incarnation);
        }
    }

    private evictOldRemovals(): void {
        const evicted: UpstreamIncarnation[] = [];
        for (const [id, { life: incarnation, index }] of this.removed) {
            if (this.removed.size <= MAX_REMOVED_INCARNATIONS) {
                break;
            }
            this.removed.delete(id);
            this.compactedIndex = Math.max(this.compactedIndex, index);
            evicted.push(incarnation);
        }
        this.dropIncarnations(evicted);
    }
}

/** Entries are sent what changed after the index that they have, so that a far index would be sent to them each time. */
function limitIndexes(state: FleetSnapshot, max: number): FleetSnapshot {
    const limit = (index: number): number => Math.min(index, max);
    const limitAll = <Entry extends { readonly index: number; }>(entries: readonly Entry[]): Entry[] =>
        entries.map((entry) => ({ ...entry, index: limit(entry.index) }));
    const { crashes, segments } = state;
    return {
        ...state,
        upstreams: limitAll(state.upstreams),
        removed: limitAll(state.removed),
        forgotten_index: limit(state.forgotten_index),
        index: limit(state.index),
        crashes: crashes === undefined ? undefined : {
            records: limitAll(crashes.records),
            forgotten: limitAll(crashes.forgotten),
            forgotten_index: limit(crashes.forgotten_index),
        },
        segments: segments === undefined ? undefined : { ...segments, index: limit(segments.index) },
    };
}

function isSameIncarnation(one: UpstreamIncarnation, other: UpstreamIncarnation): boolean {
    return one.name === other.name && one.started_at_ms === other.started_at_ms;
}
