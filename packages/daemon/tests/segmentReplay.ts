/**
 * Prompts on engines, some of which hold a segment that crashes the engine. The entries' trackers, the replicated records and the
 * leader's grants are the real ones; messages and streams take a time drawn from a seed, on a simulated clock.
 */
import { SegmentRegister } from "@crankfork/coordination";
import { formatSegmentKey, SEGMENT_SCORE_LIMIT, type SegmentStatus } from "@crankfork/schemas";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SegmentTracker } from "../src/process/entry/segmentTracker.js";
import { ResendGrants } from "../src/process/voter/resendGrants.js";

/** What crashes of engines lead to. */
export interface QuarantineWay {
    /** Whether a completion clears the segments of its prompt. */
    readonly clears: boolean;
    /** Whether a segment is quarantined only for crashes that no other explains. */
    readonly explains: boolean;
    /** Score of a segment from which on the leader grants one prompt at a time. */
    readonly exclusiveScore: number;
    /** Output after which a crash counts less, in milliseconds. */
    readonly lateOutputMs: number;
}

/** Load and faults of a replay. */
export interface SegmentReplayOptions {
    readonly seed: number;
    readonly way: QuarantineWay;
    /** Time between two prompts with the crashing segment; undefined for none. */
    readonly crashingIntervalMs?: number;
    /** A sound segment that is in each of these prompts, too. */
    readonly companion?: string;
    /** Time between failures of engines by themselves, and how many fail at once. */
    readonly failures?: { readonly intervalMs: number; readonly count: number; };
}

/** Result of a replay. */
export interface SegmentReplayResult {
    /** Crashes caused by the segment. */
    readonly crashes: number;
    /** Prompts with it that reached engines later than the contact time after the fifth crash. */
    readonly laterSends: number;
    /** Sound segments that were quarantined at any time. */
    readonly soundQuarantined: readonly string[];
    /** Those that still are at the end. */
    readonly soundQuarantinedAtEnd: readonly string[];
    /** Sound prompts that were refused, of all. */
    readonly refused: number;
    readonly sent: number;
    /** Time for which sound prompts waited for a grant, in milliseconds. */
    readonly waitedMs: number;
}

interface Stream {
    readonly fingerprint: string;
    readonly segments: readonly string[];
    readonly entry: number;
    readonly isCrashing: boolean;
    sentMs: number;
    /** When it ends, or crashes its engine. */
    endMs: number;
    attempts: number;
}

interface Engine {
    id: string;
    streams: Stream[];
    upAtMs: number;
}

const ENTRIES = 6;
const ENGINES = 14;
const TOPICS = 120;
const RUN_MS = 30_000;
const STEP_MS = 10;
const SOUND_INTERVAL_MS = 30;
const MIN_STREAM_MS = 600;
const STREAM_SPAN_MS = 2_400;
const FIRST_EVENT_MS = 50;
const CRASH_MS = 60;
const DOWN_MS = 2_500;
/** A report, its commit, and the change that entries receive. */
const MIN_MESSAGE_MS = 20;
const MESSAGE_SPAN_MS = 60;
const MAX_ATTEMPTS = 3;
const CONTACT_MS = 3_000;
const CRASHING = "dead";

/** Runs one seed. */
export function runSegmentReplay(options: SegmentReplayOptions): SegmentReplayResult {
    return new SegmentReplay(options).run();
}

class SegmentReplay {
    private nowMs = 0;
    private index = 0;
    private engineCount = 0;
    private events: { readonly atMs: number; readonly run: () => void; }[] = [];
    private readonly draw: () => number;
    private readonly register = new SegmentRegister();
    private readonly grants = new ResendGrants(() => this.nowMs);
    private readonly engines: Engine[];
    private readonly trackers: readonly SegmentTracker[];
    private readonly soundQuarantined = new Set<string>();
    private readonly crashesMs: number[] = [];
    private readonly arrivalsMs: number[] = [];
    private refused = 0;
    private sent = 0;
    private waitedMs = 0;

    constructor(private readonly options: SegmentReplayOptions) {
        const generator = xoroshiro128plus(options.seed);
        this.draw = () => uniformFloat64(generator);
        this.engines = Array.from({ length: ENGINES }, () => ({ id: this.createId(), streams: [], upAtMs: 0 }));
        this.trackers = Array.from({ length: ENTRIES }, () =>
            new SegmentTracker({
                getNowMs: () => this.nowMs,
                reportCompletion: (key) => {
                    this.schedule(this.drawMessageMs(), () => {
                        this.grants.releaseCompleted([key]);
                        this.commit(() => this.register.forget([key], this.index));
                    });
                },
            }));
    }

    run(): SegmentReplayResult {
        const { crashingIntervalMs, failures, companion } = this.options;
        for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) {
            if (this.nowMs % SOUND_INTERVAL_MS === 0) {
                this.arrive([this.draw() < 0.5 ? "first" : "other", this.drawTopic()], false);
            }
            if (companion !== undefined && this.nowMs % 2_000 === 0) {
                this.arrive(["first", companion], false);
            }
            if (crashingIntervalMs !== undefined && this.nowMs > 5_000 && this.nowMs % crashingIntervalMs === 0) {
                this.arrive(["first", this.drawTopic(), ...companion === undefined ? [] : [companion], CRASHING], true);
            }
            if (failures !== undefined && this.nowMs > 5_000 && this.nowMs % failures.intervalMs === 0) {
                this.listUp().sort(() => this.draw() - 0.5).slice(0, failures.count).forEach((engine) => {
                    this.crash(engine);
                });
            }
            this.runEvents();
            this.endStreams();
        }
        const quarantined = this.listQuarantined();
        return {
            crashes: this.crashesMs.length,
            laterSends: this.countLaterSends(),
            soundQuarantined: [...this.soundQuarantined],
            soundQuarantinedAtEnd: quarantined.filter((segment) => segment !== CRASHING),
            refused: this.refused,
            sent: this.sent,
            waitedMs: this.waitedMs,
        };
    }

    private arrive(segments: readonly string[], isCrashing: boolean): void {
        const entry = Math.floor(this.draw() * ENTRIES);
        this.sent += isCrashing ? 0 : 1;
        this.send(
            { fingerprint: this.createId(), segments, entry, isCrashing, sentMs: 0, endMs: 0, attempts: 0 },
            this.nowMs,
        );
    }

    private send(stream: Stream, sinceMs: number): void {
        const tracker = this.trackers[stream.entry]!;
        if (tracker.findQuarantining(stream.segments) !== undefined) {
            this.refused += stream.isCrashing ? 0 : 1;
            return;
        }
        if (tracker.needsGrant(stream.segments) && !this.claim(stream)) {
            this.schedule(50, () => {
                this.waitedMs += stream.isCrashing ? 0 : this.nowMs - sinceMs;
                this.send(stream, this.nowMs);
            });
            return;
        }
        const [engine] = this.listUp().sort((left, right) => left.streams.length - right.streams.length);
        stream.attempts += 1;
        stream.sentMs = this.nowMs;
        stream.endMs = this.nowMs + (stream.isCrashing ? CRASH_MS : MIN_STREAM_MS + this.draw() * STREAM_SPAN_MS);
        engine?.streams.push(stream);
        if (stream.isCrashing && engine !== undefined) {
            this.arrivalsMs.push(this.nowMs);
        }
    }

    private countLaterSends(): number {
        const fifthMs = this.crashesMs[SEGMENT_SCORE_LIMIT - 1] ?? Number.POSITIVE_INFINITY;
        return this.arrivalsMs.filter((atMs) => atMs > fifthMs + CONTACT_MS).length;
    }

    private claim({ fingerprint, segments }: Stream): boolean {
        const { exclusiveScore } = this.options.way;
        const exclusive = segments.filter((one) => (this.register.getStatus(one)?.score ?? 0) >= exclusiveScore);
        return this.grants.claim(fingerprint, exclusive.map(formatSegmentKey));
    }

    private endStreams(): void {
        for (const engine of this.listUp()) {
            const ended = engine.streams.filter(({ endMs }) => endMs <= this.nowMs);
            if (ended.some(({ isCrashing }) => isCrashing)) {
                this.crashesMs.push(this.nowMs);
                this.crash(engine);
                continue;
            }
            engine.streams = engine.streams.filter((stream) => !ended.includes(stream));
            ended.filter(() => this.options.way.clears).forEach(({ entry, segments }) => {
                this.trackers[entry]!.recordCompletion(segments);
            });
        }
    }

    /** Each entry reports its broken streams, and sends them to another engine. */
    private crash(engine: Engine): void {
        const { streams, id } = engine;
        engine.streams = [];
        engine.id = this.createId();
        engine.upAtMs = this.nowMs + DOWN_MS;
        this.trackers.forEach((tracker, entry) => {
            const broken = streams.filter((stream) => stream.entry === entry);
            [false, true].forEach((isLate) => {
                this.reportCrash(tracker, id, isLate, broken.filter((stream) => this.isLate(stream) === isLate));
            });
            broken.filter(({ attempts }) => attempts < MAX_ATTEMPTS).forEach((stream) => {
                this.schedule(this.drawMessageMs(), () => {
                    this.send(stream, this.nowMs);
                });
            });
        });
    }

    private reportCrash(tracker: SegmentTracker, upstream: string, isLate: boolean, streams: readonly Stream[]): void {
        const segments = tracker.recordCrash([...new Set(streams.flatMap((one) => one.segments))], upstream, isLate);
        if (segments.length === 0) {
            return;
        }
        const origin = { host: "h", target: "/" };
        const crash = {
            fingerprint: "f",
            upstream,
            had_progress: true,
            origin,
            segments: [...segments],
            is_late: isLate,
        };
        this.schedule(this.drawMessageMs(), () => {
            this.grants.releaseCrashed(streams.map(({ fingerprint }) => fingerprint));
            this.commit(() => this.register.add([crash], this.nowMs, this.index));
        });
    }

    private isLate({ sentMs }: Stream): boolean {
        return this.nowMs - sentMs > FIRST_EVENT_MS + this.options.way.lateOutputMs;
    }

    private commit(apply: () => boolean): void {
        this.index += 1;
        if (!apply()) {
            return;
        }
        const statuses = this.listStatuses();
        this.listQuarantined().filter((segment) => segment !== CRASHING).forEach((segment) =>
            this.soundQuarantined.add(segment)
        );
        this.trackers.forEach((tracker) => {
            this.schedule(this.drawMessageMs(), () => {
                tracker.applyStatuses(statuses);
            });
        });
    }

    private listStatuses(): readonly SegmentStatus[] {
        const statuses = this.register.listStatuses();
        return this.options.way.explains ? statuses : statuses.map(({ segment, score, trials }, group) => ({
            segment,
            score,
            trials,
            ...(score >= SEGMENT_SCORE_LIMIT ? { quarantine: { group, size: 1 } } : {}),
        }));
    }

    private listQuarantined(): readonly string[] {
        return this.listStatuses().filter((status) => status.quarantine !== undefined).map(({ segment }) => segment);
    }

    private listUp(): Engine[] {
        return this.engines.filter(({ upAtMs }) => upAtMs <= this.nowMs);
    }

    private schedule(inMs: number, run: () => void): void {
        this.events.push({ atMs: this.nowMs + inMs, run });
    }

    private runEvents(): void {
        const due = this.events.filter(({ atMs }) => atMs <= this.nowMs).sort((left, right) => left.atMs - right.atMs);
        this.events = this.events.filter(({ atMs }) => atMs > this.nowMs);
        due.forEach(({ run }) => {
            run();
        });
    }

    private drawMessageMs(): number {
        return MIN_MESSAGE_MS + this.draw() * MESSAGE_SPAN_MS;
    }

    /** The square of a uniform number makes some topics rare. */
    private drawTopic(): string {
        return `topic-${String(Math.floor(this.draw() ** 2 * TOPICS))}`;
    }

    private createId(): string {
        this.engineCount += 1;
        return `engine-${String(this.engineCount)}`;
    }
}
