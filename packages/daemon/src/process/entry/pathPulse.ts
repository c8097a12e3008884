/**
 * When the streams of each path moved last, as this entry reads them. A path whose streams are all silent is left at
 * once by those that can go on elsewhere, and by new requests for a while.
 */
import { isPathStill, isSurePath, type PathMovement } from "@crankfork/decisions";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import type { PathName } from "./pathName.js";

/** What a pulse needs from the process. */
export interface PathPulseOptions {
    readonly getNowMs: () => number;
    /** Told once of each path that begins to stand still. */
    readonly handleStill: (id: string, streams: number, silentMs: number) => void;
}

/** Called where a path stands still; `isSure` is false where few streams tell so, and packets may be lost. */
export type LeavePath = (isSure: boolean) => void;

/** One stream that a path carries. */
export interface StreamPulse {
    /** An event came. */
    readonly recordEvent: () => void;
    /** The stream is no longer read from this path. */
    readonly close: () => void;
}

/** Between two looks; an event comes every 15 to 60 ms. */
const LOOK_MS = 20;
/** A look that is so late says that this process did not run: what it has not read yet is no silence. */
const LATE_LOOK_MS = 60;
/** How long new requests go around a path that stood still; its engine at fault is known by then. */
const AVOID_MS = 600;
/** Part of a contracted pause that is taken as the longest gap of a path that is not known yet. */
const FIRST_GAP_SHARE = 0.4;
/** The longest gap of late counts half after so long. */
const GAP_HALF_LIFE_MS = 2_000;

interface Path {
    readonly name: PathName;
    /** What to call for each stream that may leave the path. */
    readonly leave: Map<object, LeavePath>;
    readonly begun: Set<object>;
    /** Shortest pause that the contracts of its streams allow. */
    pauseMs: number;
    movedMs: number;
    longestGapMs: number;
    isStill: boolean;
    avoidUntilMs: number;
}

/** Watches the paths. */
export class PathPulse {
    private readonly paths = new Map<string, Path>();
    private stopTicking: StopPeriodicTask | undefined;
    private lookedMs = 0;

    /**
     * @param options - the monotonic clock, and whom to tell
     */
    constructor(private readonly options: PathPulseOptions) {}

    /** Stops to look. */
    stop(): void {
        this.stopTicking?.();
        this.stopTicking = undefined;
    }

    /** Looks only while there is something to see: an idle entry is not woken fifty times a second. */
    private start(): void {
        this.lookedMs = this.options.getNowMs();
        this.stopTicking ??= startPeriodicTask(LOOK_MS, () => {
            this.look();
        });
    }

    /**
     * Follows a stream.
     * @param name - the path
     * @param pauseMs - longest pause between two events that the contract allows
     * @param leave - called where the path stands still; the stream then goes on elsewhere if it may
     * @returns takes what comes
     */
    follow(name: PathName, pauseMs: number, leave: LeavePath): StreamPulse {
        const path = this.getPath(name, pauseMs);
        const stream = {};
        path.leave.set(stream, leave);
        if (this.stopTicking === undefined) {
            this.start();
        }
        return {
            recordEvent: () => {
                path.begun.add(stream);
                this.recordMove(path);
            },
            close: () => {
                path.leave.delete(stream);
                path.begun.delete(stream);
            },
        };
    }

    /**
     * Tells whether new requests had better go around a path.
     * @param name - the path
     * @returns true for a while after it stood still, or one that shares its later stages did and none of these has moved
     * since
     */
    isAvoided(name: PathName): boolean {
        const nowMs = this.options.getNowMs();
        if ((this.paths.get(formatName(name))?.avoidUntilMs ?? 0) > nowMs) {
            return true;
        }
        const siblings = this.listSiblings(name);
        const avoided = siblings.filter((path) => path.avoidUntilMs > nowMs);
        const stillSinceMs = Math.max(...avoided.map((path) => path.avoidUntilMs - AVOID_MS));
        return avoided.length > 0 && !siblings.some((path) => path.movedMs > stillSinceMs && path.begun.size > 0);
    }

    /** Paths of one stage share nothing. */
    private listSiblings({ id, laterStages }: PathName): readonly Path[] {
        if (laterStages === "") {
            return [];
        }
        return [...this.paths.values()].filter(({ name }) => name.id !== id && name.laterStages === laterStages);
    }

    private getPath(name: PathName, pauseMs: number): Path {
        const known = this.paths.get(formatName(name));
        if (known !== undefined) {
            known.pauseMs = Math.min(known.pauseMs, pauseMs);
            return known;
        }
        const path: Path = {
            name,
            leave: new Map(),
            begun: new Set(),
            pauseMs,
            movedMs: this.options.getNowMs(),
            longestGapMs: pauseMs * FIRST_GAP_SHARE,
            isStill: false,
            avoidUntilMs: 0,
        };
        this.paths.set(formatName(name), path);
        return path;
    }

    private recordMove(path: Path): void {
        const nowMs = this.options.getNowMs();
        const gapMs = nowMs - path.movedMs;
        path.movedMs = nowMs;
        // A path that goes on by itself pauses so long at times; beyond a contracted pause it makes no difference.
        const recentMs = path.longestGapMs * 0.5 ** (gapMs / GAP_HALF_LIFE_MS);
        path.longestGapMs = Math.max(Math.min(gapMs, path.pauseMs), recentMs);
        path.isStill = false;
    }

    private look(): void {
        const nowMs = this.options.getNowMs();
        const isLate = nowMs - this.lookedMs > LATE_LOOK_MS;
        this.lookedMs = nowMs;
        for (const [key, path] of this.paths) {
            if (isLate) {
                path.movedMs = nowMs;
            }
            this.lookAt(path, nowMs);
            if (path.leave.size === 0 && path.avoidUntilMs <= nowMs) {
                this.paths.delete(key);
            }
        }
        if (this.paths.size === 0) {
            this.stop();
        }
    }

    private lookAt(path: Path, nowMs: number): void {
        if (path.begun.size === 0) {
            // What has not begun yet can't be silent.
            path.movedMs = nowMs;
        }
        const silentMs = nowMs - path.movedMs;
        const movement: PathMovement = {
            streams: path.begun.size,
            silentMs,
            longestGapMs: path.longestGapMs,
            siblingSilentMs: this.computeSiblingSilentMs(path.name, nowMs),
        };
        if (path.isStill || !isPathStill(movement, path.pauseMs)) {
            return;
        }
        path.isStill = true;
        path.avoidUntilMs = nowMs + AVOID_MS;
        this.options.handleStill(path.name.id, path.begun.size, silentMs);
        [...path.leave.values()].forEach((leave) => {
            leave(isSurePath(movement));
        });
    }

    private computeSiblingSilentMs(name: PathName, nowMs: number): number | undefined {
        const moved = this.listSiblings(name).filter((path) => path.begun.size > 0).map((path) => path.movedMs);
        return moved.length === 0 ? undefined : nowMs - Math.max(...moved);
    }
}

function formatName({ id, laterStages }: PathName): string {
    return `${id} ${laterStages}`;
}
