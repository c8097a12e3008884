/**
 * Detects stalled engine paths by the events of the streams read here. Streams leave a stalled path at once if they can
 * continue on another one, and new requests avoid it for a while.
 */
import { type ChainActivity, isChainStalled, isSilenceConclusive } from "@crankfork/decisions";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import type { PathKey } from "./pathKey.js";

/** Dependencies of the detector. */
export interface PathStallDetectorOptions {
    readonly getNowMs: () => number;
    /** Called once for each path that stalls. */
    readonly handleStall: (id: string, streams: number, silentMs: number) => void;
    /** Called when this process did not run for a while. */
    readonly handleProcessPause?: (durationMs: number) => void;
}

/** Called when a path stalls; `isCertain` is false where few streams show it, since lost packets could be the cause. */
export type PathStallHandler = (isCertain: boolean) => void;

/** One stream on a path. */
export interface StreamTracker {
    /** Records an event of the stream. */
    readonly recordEvent: () => void;
    /** Ends the tracking: the stream is no longer read from this path. */
    readonly close: () => void;
}

/** One stream whose caller may stop reading. */
export interface PausableTracker extends StreamTracker {
    /** Leaves the stream out until its next event, since its caller does not read. */
    readonly recordPause: () => void;
}

/** Interval between checks; events arrive every 15 to 60 ms. */
const CHECK_INTERVAL_MS = 20;
/** A check later than this means that this process was not scheduled: unread data must not count as silence. */
const LATE_CHECK_MS = 60;
/** How long new requests avoid a stalled path; by then the faulty engine is identified. */
const AVOID_MS = 600;
/** A path that delivered this recently is not silent: engines of a busy path pause for up to 60 ms between two passes. */
const ACTIVE_MS = 100;
/** Initial estimate of a path's longest gap, as a fraction of the pause that the contract allows. */
const INITIAL_GAP_SHARE = 0.4;
/** Half-life of the longest observed gap. */
const GAP_HALF_LIFE_MS = 2_000;

interface Path {
    readonly key: PathKey;
    /** Handlers of the streams that may leave the path. */
    readonly stallHandlers: Map<object, PathStallHandler>;
    readonly startedStreams: Set<object>;
    /** Shortest maximum pause in the contracts of its streams. */
    maxPauseMs: number;
    lastProgressMs: number;
    longestGapMs: number;
    isStalled: boolean;
    avoidUntilMs: number;
}

/** Tracks the progress of paths. */
export class PathStallDetector {
    private readonly paths = new Map<string, Path>();
    private stopTicking: StopPeriodicTask | undefined;
    private lastCheckMs = 0;

    /**
     * @param options - monotonic clock and stall handler
     */
    constructor(private readonly options: PathStallDetectorOptions) {}

    /** Stops the periodic checks. */
    stop(): void {
        this.stopTicking?.();
        this.stopTicking = undefined;
    }

    /** Forgets which paths stalled, because this entry's own links caused it. */
    clearStalls(): void {
        this.paths.forEach((path) => {
            path.avoidUntilMs = 0;
        });
    }

    /** Checks run only while a path is tracked, so that an idle entry does not wake up fifty times a second. */
    private start(): void {
        this.lastCheckMs = this.options.getNowMs();
        this.stopTicking ??= startPeriodicTask("path-check", CHECK_INTERVAL_MS, () => {
            this.checkPaths();
        });
    }

    /**
     * Tracks a stream.
     * @param key - the path
     * @param maxPauseMs - longest pause between two events that the contract allows
     * @param handleStall - called when the path stalls; the stream then moves to another path if it may
     * @returns receives the events of the stream
     */
    follow(key: PathKey, maxPauseMs: number, handleStall: PathStallHandler): PausableTracker {
        const path = this.getPath(key, maxPauseMs);
        const stream = {};
        path.stallHandlers.set(stream, handleStall);
        if (this.stopTicking === undefined) {
            this.start();
        }
        return {
            recordEvent: () => {
                path.startedStreams.add(stream);
                this.recordProgress(path);
            },
            recordPause: () => {
                path.startedStreams.delete(stream);
            },
            close: () => {
                path.stallHandlers.delete(stream);
                path.startedStreams.delete(stream);
            },
        };
    }

    /**
     * Checks whether new requests should avoid a path.
     * @param key - the path
     * @returns true for a while after it stalled, or after a path with the same later stages stalled and no such path
     * has progressed since
     */
    isAvoided(key: PathKey): boolean {
        const nowMs = this.options.getNowMs();
        if ((this.paths.get(formatKey(key))?.avoidUntilMs ?? 0) > nowMs) {
            return true;
        }
        const siblings = this.listSiblings(key);
        const avoided = siblings.filter((path) => path.avoidUntilMs > nowMs);
        const stalledSinceMs = Math.max(...avoided.map((path) => path.avoidUntilMs - AVOID_MS));
        return avoided.length > 0
            && !siblings.some((path) => path.lastProgressMs > stalledSinceMs && path.startedStreams.size > 0);
    }

    /**
     * Checks whether a path delivered events a moment ago.
     * @param key - the path
     * @returns false also where no stream here is on it
     */
    isActive(key: PathKey): boolean {
        const path = this.paths.get(formatKey(key));
        return path !== undefined && path.startedStreams.size > 0
            && this.options.getNowMs() - path.lastProgressMs <= ACTIVE_MS;
    }

    /** Single-stage paths share no engine with others. */
    private listSiblings({ id, laterStages }: PathKey): readonly Path[] {
        if (laterStages === "") {
            return [];
        }
        return [...this.paths.values()].filter(({ key }) => key.id !== id && key.laterStages === laterStages);
    }

    private getPath(key: PathKey, maxPauseMs: number): Path {
        const existing = this.paths.get(formatKey(key));
        if (existing !== undefined) {
            existing.maxPauseMs = Math.min(existing.maxPauseMs, maxPauseMs);
            return existing;
        }
        const path: Path = {
            key,
            stallHandlers: new Map(),
            startedStreams: new Set(),
            maxPauseMs,
            lastProgressMs: this.options.getNowMs(),
            longestGapMs: maxPauseMs * INITIAL_GAP_SHARE,
            isStalled: false,
            avoidUntilMs: 0,
        };
        this.paths.set(formatKey(key), path);
        return path;
    }

    private recordProgress(path: Path): void {
        const nowMs = this.options.getNowMs();
        const gapMs = nowMs - path.lastProgressMs;
        path.lastProgressMs = nowMs;
        // Healthy paths pause for this long at times. A gap beyond the contracted pause makes no difference.
        const decayedGapMs = path.longestGapMs * 0.5 ** (gapMs / GAP_HALF_LIFE_MS);
        path.longestGapMs = Math.max(Math.min(gapMs, path.maxPauseMs), decayedGapMs);
        path.isStalled = false;
    }

    private checkPaths(): void {
        const nowMs = this.options.getNowMs();
        const isLate = nowMs - this.lastCheckMs > LATE_CHECK_MS;
        if (isLate) {
            this.options.handleProcessPause?.(nowMs - this.lastCheckMs);
        }
        this.lastCheckMs = nowMs;
        for (const [key, path] of this.paths) {
            if (isLate) {
                path.lastProgressMs = nowMs;
            }
            this.checkPath(path, nowMs);
            if (path.stallHandlers.size === 0 && path.avoidUntilMs <= nowMs) {
                this.paths.delete(key);
            }
        }
        if (this.paths.size === 0) {
            this.stop();
        }
    }

    private checkPath(path: Path, nowMs: number): void {
        if (path.startedStreams.size === 0) {
            // Streams that have not started can't stall.
            path.lastProgressMs = nowMs;
        }
        const silentMs = nowMs - path.lastProgressMs;
        const movement: ChainActivity = {
            streams: path.startedStreams.size,
            silentMs,
            longestGapMs: path.longestGapMs,
            siblingSilentMs: this.computeSiblingSilentMs(path.key, nowMs),
        };
        if (path.isStalled || !isChainStalled(movement, path.maxPauseMs)) {
            return;
        }
        path.isStalled = true;
        path.avoidUntilMs = nowMs + AVOID_MS;
        this.options.handleStall(path.key.id, path.startedStreams.size, silentMs);
        [...path.stallHandlers.values()].forEach((handleStall) => {
            handleStall(isSilenceConclusive(movement));
        });
    }

    private computeSiblingSilentMs(key: PathKey, nowMs: number): number | undefined {
        const progressMs = this.listSiblings(key).filter((path) => path.startedStreams.size > 0).map((path) =>
            path.lastProgressMs
        );
        return progressMs.length === 0 ? undefined : nowMs - Math.max(...progressMs);
    }
}

function formatKey({ id, laterStages }: PathKey): string {
    return `${id} ${laterStages}`;
}
