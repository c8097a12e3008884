/**
 * What an entry knows of requests under which upstreams ended: its own tries, and what the voters added up over all entries.
 *
 * Load pattern: a request that ends whoever runs it comes again at all entries under new ids. Each entry sees a crash or two,
 * and 27 upstreams ended within a day. Held after the third crash, it is refused at once by every entry.
 *
 * Nobody else is held: a request that ran to an end, here or at another entry, is taken off the record. A request that
 * everybody asks for is in many crashes at once where a rack loses power, and has run well just before.
 */
import {
    crashesResultSchema,
    type CrashRecord,
    isRequestHeld,
    isTrialDue,
    type ReportedCrash,
    type SynchronisedState,
} from "@crankfork/schemas";
import type { AdmittedCall, RequestContext } from "../../request/requestContext.js";
import { computeFingerprint } from "../../request/requestFingerprint.js";
import type { EventLog } from "../eventLog.js";
import { LeaderNotifier } from "./leaderNotifier.js";

/** What the watch needs from the process. */
export interface CrashWatchOptions {
    readonly getNowMs: () => number;
    readonly getUnixMs: () => number;
    readonly log: EventLog;
    /** Asks the leader; rejects where there is none, or where it does not answer. */
    readonly askLeader: (method: "crashes" | "trial", parameters: object) => Promise<unknown>;
    /** Whether an upstream has ended, as the voters know. */
    readonly hasEnded: (id: string) => boolean;
}

/** A try that ended without an answer, at upstreams of which one may be found to have ended. */
export interface UnansweredTry {
    readonly upstreams: readonly string[];
    readonly hadProgress: boolean;
}

/** Crashes that are told together; 30 requests break with one engine. */
const TELL_AFTER_MS = 5;
/** Crashes that wait for a leader; the oldest are dropped. */
const MOST_UNTOLD = 500;
/** Requests that this entry saw in a crash itself; the oldest are dropped. */
const MOST_OWN = 500;
/** How long a request that ran well speaks for itself: it was under way in crashes that are reported seconds later. */
const RAN_WELL_MS = 10_000;
const MOST_RAN_WELL = 2_000;
/** What everybody asks for has a short body; longer ones are not worth the time to name them. */
const MOST_COMMON_BYTES = 4_096;
/** Upstreams that say nothing are found to have ended within so long: four heartbeats, and one to spare. */
const UNANSWERED_MS = 8_000;
const MOST_UNANSWERED = 300;

interface Unanswered extends UnansweredTry {
    readonly fingerprint: string;
    readonly origin: ReportedCrash["origin"];
    readonly atMs: number;
}

/** Watches requests. */
export class CrashWatch {
    /** What the voters added up. */
    private readonly told = new Map<string, CrashRecord>();
    /** What this entry saw. */
    private readonly own = new Map<string, CrashRecord>();
    /** Where requests on record go, so that others need no fingerprint. */
    private places = new Set<string>();
    private readonly ranWell = new Map<string, number>();
    private unanswered: Unanswered[] = [];
    private untoldCrashes: ReportedCrash[] = [];
    private untoldWell = new Set<string>();
    private readonly teller = new LeaderNotifier({
        hasUntold: () => this.untoldCrashes.length > 0 || this.untoldWell.size > 0,
        tell: () => this.tell(),
        gatherMs: TELL_AFTER_MS,
    });

    /**
     * @param options - clocks, log and the way to the leader
     */
    constructor(private readonly options: CrashWatchOptions) {}

    /**
     * Tells whether a request is not sent on.
     * @param admitted - the request
     * @returns true where it ended too many upstreams
     */
    isHeld(admitted: AdmittedCall): boolean {
        if (!this.places.has(getPlace(admitted))) {
            return false;
        }
        const fingerprint = computeFingerprint(admitted);
        const record = this.findRecord(fingerprint);
        return record !== undefined && isRequestHeld(record) && !this.ranWellLately(fingerprint);
    }

    /**
     * Describes why a request is held, for the log.
     * @param admitted - the request
     * @returns its fingerprint, and the lives of upstreams that ended under it
     */
    describe(admitted: AdmittedCall): { readonly fingerprint: string; readonly crashes: string; } {
        const fingerprint = computeFingerprint(admitted);
        const record = this.findRecord(fingerprint);
        return { fingerprint, crashes: [...record?.silent ?? [], ...record?.midway ?? []].join(",") };
    }

    /**
     * Asks for a trial of a request that is held: one send, to find out whether it still ends upstreams.
     * @param admitted - the request
     * @returns true where the voters granted it
     */
    async claimTrial(admitted: AdmittedCall): Promise<boolean> {
        const fingerprint = computeFingerprint(admitted);
        const record = this.told.get(fingerprint);
        if (record === undefined || !isTrialDue(record, this.options.getUnixMs())) {
            return false;
        }
        try {
            const raw = await this.options.askLeader("trial", { fingerprint });
            return crashesResultSchema.parse(raw).is_taken;
        }
        catch (error) {
            this.options.log.record("info", "trial-not-claimed", { fingerprint, reason: String(error) });
            return false;
        }
    }

    /**
     * Notes that an upstream ended its connection under a request.
     * @param run - the request
     * @param upstream - the life that it was sent to
     * @param hadProgress - whether it gave a part of the answer before
     */
    recordCrash(run: RequestContext, upstream: string, hadProgress: boolean): void {
        this.addCrash(createCrash(run.admitted, upstream, hadProgress));
    }

    /**
     * Notes a try that was given up in silence; where one of its upstreams is found to have ended, it counts as a crash.
     * @param run - the request
     * @param ended - where it was
     */
    recordUnanswered(run: RequestContext, { upstreams, hadProgress }: UnansweredTry): void {
        const { fingerprint, origin } = createCrash(run.admitted, "", hadProgress);
        const atMs = this.options.getNowMs();
        this.unanswered.push({ fingerprint, origin, upstreams, hadProgress, atMs });
        this.unanswered.splice(0, this.unanswered.length - MOST_UNANSWERED);
        this.judgeUnanswered();
    }

    /**
     * Notes that a request ran to its end at an upstream that outlived it.
     * @param admitted - the request
     */
    recordRanWell(admitted: AdmittedCall): void {
        const isWatched = this.places.has(getPlace(admitted));
        if (!isWatched && (admitted.body?.length ?? 0) > MOST_COMMON_BYTES) {
            return;
        }
        const fingerprint = computeFingerprint(admitted);
        this.rememberRanWell(fingerprint);
        if (isWatched && this.findRecord(fingerprint) !== undefined) {
            this.acquit(fingerprint);
        }
    }

    /**
     * Takes what a leader told.
     * @param state - records that changed, or all of them
     */
    applyState(state: Pick<SynchronisedState, "is_whole" | "crashes" | "crashes_forgotten">): void {
        const { is_whole, crashes = [], crashes_forgotten = [] } = state;
        if (is_whole) {
            this.told.clear();
        }
        crashes_forgotten.forEach((fingerprint) => {
            this.told.delete(fingerprint);
            this.own.delete(fingerprint);
        });
        crashes.forEach((record) => {
            this.told.set(record.fingerprint, record);
            if (this.ranWellLately(record.fingerprint)) {
                this.acquit(record.fingerprint);
            }
        });
        if (is_whole || crashes.length > 0 || crashes_forgotten.length > 0) {
            this.indexPlaces();
        }
        this.judgeUnanswered();
    }

    private addCrash(crash: ReportedCrash): void {
        const { fingerprint, upstream, had_progress, origin } = crash;
        const known = this.own.get(fingerprint);
        const record = known ?? { fingerprint, origin, silent: [], midway: [], trials: 0, changed_at_ms: 0 };
        if ([...record.silent, ...record.midway].includes(upstream)) {
            return;
        }
        (had_progress ? record.midway : record.silent).push(upstream);
        this.own.delete(fingerprint);
        this.own.set(fingerprint, record);
        if (this.own.size > MOST_OWN) {
            this.own.delete([...this.own.keys()][0] ?? "");
        }
        this.places.add(formatPlace(origin));
        this.untoldCrashes.push(crash);
        this.untoldCrashes.splice(0, this.untoldCrashes.length - MOST_UNTOLD);
        void this.teller.run();
    }

    /** What the voters added up, with what this entry saw and they may not have heard yet. */
    private findRecord(fingerprint: string): CrashRecord | undefined {
        const told = this.told.get(fingerprint);
        const own = this.own.get(fingerprint);
        if (told === undefined || own === undefined) {
            return told ?? own;
        }
        const silent = new Set([...told.silent, ...own.silent]);
        const midway = [...told.midway, ...own.midway].filter((life) => !silent.has(life));
        return { ...told, silent: [...silent], midway: [...new Set(midway)] };
    }

    private judgeUnanswered(): void {
        const sinceMs = this.options.getNowMs() - UNANSWERED_MS;
        const waiting = this.unanswered.filter((one) => one.atMs >= sinceMs);
        this.unanswered = waiting.filter((one) => {
            const ended = one.upstreams.find((id) => this.options.hasEnded(id));
            if (ended !== undefined) {
                const { fingerprint, origin, hadProgress } = one;
                this.addCrash({ fingerprint, origin, upstream: ended, had_progress: hadProgress });
            }
            return ended === undefined;
        });
    }

    private rememberRanWell(fingerprint: string): void {
        this.ranWell.delete(fingerprint);
        this.ranWell.set(fingerprint, this.options.getNowMs());
        if (this.ranWell.size > MOST_RAN_WELL) {
            this.ranWell.delete([...this.ranWell.keys()][0] ?? "");
        }
    }

    private ranWellLately(fingerprint: string): boolean {
        const atMs = this.ranWell.get(fingerprint);
        return atMs !== undefined && this.options.getNowMs() - atMs <= RAN_WELL_MS;
    }

    private acquit(fingerprint: string): void {
        this.own.delete(fingerprint);
        this.untoldCrashes = this.untoldCrashes.filter((one) => one.fingerprint !== fingerprint);
        if (this.told.delete(fingerprint)) {
            this.untoldWell.add(fingerprint);
            void this.teller.run();
        }
        this.indexPlaces();
    }

    private indexPlaces(): void {
        const records = [...this.told.values(), ...this.own.values()];
        this.places = new Set(records.map(({ origin }) => formatPlace(origin)));
    }

    private async tell(): Promise<boolean> {
        const crashes = this.untoldCrashes;
        const well = this.untoldWell;
        this.untoldCrashes = [];
        this.untoldWell = new Set();
        const isTaken = await this.notifyOnce(crashes, well);
        if (!isTaken) {
            this.untoldCrashes = [...crashes, ...this.untoldCrashes].slice(-MOST_UNTOLD);
            well.forEach((one) => this.untoldWell.add(one));
        }
        return isTaken;
    }

    private async notifyOnce(crashes: readonly ReportedCrash[], well: ReadonlySet<string>): Promise<boolean> {
        try {
            const raw = await this.options.askLeader("crashes", { crashes, ran_well: [...well] });
            return crashesResultSchema.parse(raw).is_taken;
        }
        catch (error) {
            this.options.log.record("info", "crashes-not-reported", { crashes: crashes.length, reason: String(error) });
            return false;
        }
    }
}

function createCrash(admitted: AdmittedCall, upstream: string, hadProgress: boolean): ReportedCrash {
    const { call, organisation } = admitted;
    const origin = { host: call.host, target: call.target };
    return {
        fingerprint: computeFingerprint(admitted),
        upstream,
        had_progress: hadProgress,
        origin: organisation === undefined ? origin : { ...origin, organisation: organisation.name },
    };
}

function getPlace({ call, organisation }: AdmittedCall): string {
    return formatPlace({ organisation: organisation?.name, host: call.host, target: call.target });
}

function formatPlace(
    { organisation, host, target }: { organisation?: string | undefined; host: string; target: string; },
): string {
    return `${organisation ?? ""}\0${host}${target}`;
}
