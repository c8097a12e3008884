/**
 * The attempts of a request that are open at the same time. While all of them are silent, a backup attempt is started at
 * another upstream; the first attempt that delivers is kept, and the others are aborted. An attempt is never aborted for its
 * silence alone: a sound upstream may be silent for seconds and go on.
 */
import { type AttemptOutcome, findRetryObstacle, type RetryObstacle } from "@crankfork/decisions";
import type { AttemptOutput } from "../process/entry/crashTracker.js";
import { runForEach, startTask } from "../process/startTask.js";
import { waitMs } from "../process/waitMs.js";
import { checkSend } from "./checkSend.js";
import { runObservedAttempt } from "./observedAttempt.js";
import type { RequestContext } from "./requestContext.js";
import type { RoutedRequestFunctions } from "./requestFunctions.js";
import type { CallTarget } from "./routedCall.js";
import type { Silence } from "./stallWatch.js";
import type { StreamRelay } from "./streamRelay.js";
import type { AbortAttempt, AttemptResult } from "./upstreamAttempt.js";
import { isKeyUsable, isQuarantined } from "./waitForTarget.js";

/** Interval between checks whether a backup attempt can be started. */
const BACKUP_CHECK_INTERVAL_MS = 100;
/** Time after which an upstream that did not run the request may be sent it again. */
const DECLINE_MEMORY_MS = 1_000;
/** Time for an upstream to show that it responds before a backup attempt is sent there; a sound one needs milliseconds. */
const RESPONSE_CHECK_MS = 100;

/** Target of a backup attempt, for which a retry has been claimed, or why there is none. */
type BackupChoice =
    | { readonly kind: "target"; readonly target: CallTarget; }
    | { readonly kind: "none"; readonly obstacle: RetryObstacle; };

const NO_OUTPUT: AttemptOutput = { hadProgress: false, outputMs: 0 };

/** Result of the attempt that delivered, or of the last one that ended. */
export type GroupResult = Exclude<AttemptResult, { kind: "superseded"; }>;

/** One open attempt. */
interface OpenAttempt {
    readonly target: CallTarget;
    /** Whether it was started beside another one, with a retry from the budget. */
    readonly isBackup: boolean;
    abort: AbortAttempt;
    /** The evidence of its present silence, and what it had delivered before. */
    silence: Silence | undefined;
    output: AttemptOutput;
    /** The silence for which its upstream was probed. */
    checkedSilence?: Silence;
}

/**
 * Runs an attempt, and backup attempts while it is silent.
 * @param context - the request
 * @param target - target of the first attempt
 * @param relay - the stream, for a streamed response
 * @param functions - upstreams, budgets and clock
 * @returns the result of the attempt that delivered, or of the last one that ended; never rejects
 */
export function runAttemptGroup(
    context: RequestContext,
    target: CallTarget,
    relay: StreamRelay | undefined,
    functions: RoutedRequestFunctions,
): Promise<GroupResult> {
    return new Promise((resolve) => {
        new AttemptGroup(context, relay, functions, resolve).start(target);
    });
}

class AttemptGroup {
    private readonly open = new Set<OpenAttempt>();
    private backupTimer: NodeJS.Timeout | undefined;
    private isChoosingBackup = false;
    private isSettled = false;
    /** When the last attempt ended that did not run, on the monotonic clock; at first when the group was created. */
    private lastUnrunMs: number;
    /** The obstacle in the last log line, so that it is not repeated at each check. */
    private loggedObstacle: RetryObstacle | undefined;

    constructor(
        private readonly context: RequestContext,
        private readonly relay: StreamRelay | undefined,
        private readonly functions: RoutedRequestFunctions,
        private readonly resolve: (result: GroupResult) => void,
    ) {
        this.lastUnrunMs = functions.getNowMs();
    }

    /**
     * Starts an attempt.
     * @param target - where the request is sent
     */
    start(target: CallTarget): void {
        const isBackup = this.open.size > 0;
        const attempt: OpenAttempt = {
            target,
            isBackup,
            abort: () => undefined,
            silence: undefined,
            output: NO_OUTPUT,
        };
        this.open.add(attempt);
        const run = async (): Promise<void> => {
            const result = await runObservedAttempt(this.context, target, this.relay, this.functions, {
                handleStart: (abort) => {
                    attempt.abort = abort;
                },
                handleEvent: () => {
                    this.handleProgress(attempt);
                },
                handleSilence: (silence, output) => {
                    this.handleSilence(attempt, silence, output);
                },
            });
            this.handleEnd(attempt, result);
        };
        startTask("attempt", run, (error) => {
            this.handleEnd(attempt, { kind: "ended", end: "broken", reason: String(error) });
        });
    }

    private get isSilent(): boolean {
        return this.open.size > 0 && [...this.open].every(({ silence }) => silence !== undefined);
    }

    private hasStarted(): boolean {
        return (this.relay?.eventCount ?? 0) > 0;
    }

    private handleProgress(attempt: OpenAttempt): void {
        if (attempt.silence?.kind === "no-report") {
            this.functions.recordProgress(attempt.target.upstreamId);
        }
        if (attempt.silence !== undefined) {
            attempt.silence = undefined;
            this.context.unresponsiveUpstreams.clear();
        }
        if (this.open.size > 1) {
            this.abortOthers(attempt);
        }
    }

    private handleSilence(attempt: OpenAttempt, silence: Silence, output: AttemptOutput): void {
        if (this.isSettled) {
            return;
        }
        if (attempt.silence === undefined || isCertain(silence) || !isCertain(attempt.silence)) {
            attempt.silence = silence;
        }
        attempt.output = output;
        const { upstreamId } = attempt.target;
        if (silence.kind === "no-report" && silence.isCertain) {
            this.functions.recordMissingReport(upstreamId, formatSilence(silence));
        }
        else if (silence.kind === "stalled") {
            this.functions.suspect(this.findFaultyId(attempt) ?? upstreamId, formatSilence(silence));
        }
        this.startBackupCheck();
    }

    private findFaultyId({ silence }: OpenAttempt): string | undefined {
        return silence?.kind === "stalled" && silence.faultAddress !== undefined
            ? this.functions.findIdAt(silence.faultAddress)
            : undefined;
    }

    private handleEnd(attempt: OpenAttempt, result: AttemptResult): void {
        this.open.delete(attempt);
        if (this.isSettled || result.kind === "superseded") {
            return;
        }
        if (result.kind === "ended") {
            this.recordUnrun(attempt, result.end);
            if (this.open.size > 0) {
                this.scheduleBackup();
                return;
            }
        }
        this.isSettled = true;
        // The next attempt is not bound by what backup attempts found out.
        this.context.unresponsiveUpstreams.clear();
        clearTimeout(this.backupTimer);
        this.abortOthers(undefined);
        this.resolve(result);
    }

    private recordUnrun({ isBackup }: OpenAttempt, end: AttemptOutcome): void {
        const wasNotSent = end === "not-sent" || end === "kept-back";
        if (wasNotSent && isBackup) {
            this.releaseRetry();
        }
        if (wasNotSent || end === "declined") {
            this.lastUnrunMs = this.functions.getNowMs();
        }
    }

    /** An upstream that declined, or could not be reached, may be able to take the request later. */
    private forgetUnrun(): void {
        const { context, functions, open } = this;
        if (functions.getNowMs() - this.lastUnrunMs < DECLINE_MEMORY_MS) {
            return;
        }
        const running = new Set([...context.mayHaveRunOn, ...[...open].map(({ target }) => target.upstreamId)]);
        context.attemptedUpstreams.forEach((id) => {
            if (!running.has(id)) {
                context.attemptedUpstreams.delete(id);
            }
        });
    }

    private abortOthers(kept: OpenAttempt | undefined): void {
        [...this.open].filter((one) => one !== kept).forEach((one) => {
            this.open.delete(one);
            const reason = one.silence === undefined ? "another attempt delivered" : formatSilence(one.silence);
            one.abort({ kind: "superseded", reason });
        });
    }

    private scheduleBackup(): void {
        clearTimeout(this.backupTimer);
        this.backupTimer = setTimeout(() => {
            this.startBackupCheck();
        }, BACKUP_CHECK_INTERVAL_MS);
    }

    private startBackupCheck(): void {
        startTask("backup-attempt", () => this.checkBackup(), () => {
            this.scheduleBackup();
        });
    }

    private async checkBackup(): Promise<void> {
        if (!this.isBackupNeeded() || this.isChoosingBackup) {
            return;
        }
        this.isChoosingBackup = true;
        const choice = await this.chooseBackup().finally(() => {
            this.isChoosingBackup = false;
        });
        if (choice.kind === "none") {
            this.handleObstacle(choice.obstacle);
        }
        else if (this.isBackupNeeded()) {
            this.startBackup(choice.target);
        }
        else {
            this.releaseRetry();
        }
    }

    private handleObstacle(obstacle: RetryObstacle): void {
        if (this.isBackupNeeded()) {
            this.logObstacle(obstacle);
            this.scheduleBackup();
            runForEach("backup-attempt", this.open, (attempt) => this.checkReachable(attempt));
            this.endQuarantined();
        }
    }

    private startBackup(target: CallTarget): void {
        this.recordBackup();
        this.start({ ...target, needsNewConnection: this.context.contactedUpstreams.has(target.upstreamId) });
    }

    /** A caller that has received nothing need not wait for an upstream that accepts no connections. */
    private async checkReachable(attempt: OpenAttempt): Promise<void> {
        const { functions } = this;
        const { silence, target } = attempt;
        if (
            silence?.kind !== "no-report" || !silence.isCertain || attempt.checkedSilence === silence
            || this.hasStarted()
        ) {
            return;
        }
        attempt.checkedSilence = silence;
        const isReachable = await functions.isReachable?.(target) ?? true;
        if (!isReachable && attempt.silence !== undefined) {
            this.endStalled(attempt, `no connection, ${formatSilence(silence)}`);
        }
    }

    /** Ends the attempts of a quarantined request whose upstreams have ended: nothing else can answer it. */
    private endQuarantined(): void {
        const { context, functions, open } = this;
        if (
            isQuarantined(context, functions) && [...open].every(({ target }) => functions.hasEnded(target.upstreamId))
        ) {
            open.forEach((attempt) => {
                this.endStalled(attempt, "the request is quarantined and its upstream has ended");
            });
        }
    }

    private endStalled(attempt: OpenAttempt, reason: string): void {
        if (!this.hasStarted()) {
            attempt.abort({ kind: "ended", end: "stalled", reason });
        }
    }

    private isBackupNeeded(): boolean {
        return !this.isSettled && this.isSilent && this.context.stopReason === undefined
            && this.relay?.isPaused !== true;
    }

    private async chooseBackup(): Promise<BackupChoice> {
        const { context, functions } = this;
        // A trial of a quarantined request is sent only once.
        const isClosing = functions.acceptsRequests?.() === false && !this.hasStarted();
        if (isClosing || context.isTrial || isQuarantined(context, functions) || !isKeyUsable(context, functions)) {
            return { kind: "none", obstacle: "permission" };
        }
        this.forgetUnrun();
        context.unresponsiveUpstreams.clear();
        const obstacle = this.findObstacle();
        const target = obstacle === undefined ? this.chooseUntried() : undefined;
        if (target === undefined) {
            return { kind: "none", obstacle: obstacle ?? "upstream" };
        }
        if (!functions.claimRetry(context.admitted.service.name, this.hasStarted() && this.isCertain)) {
            return { kind: "none", obstacle: "retry" };
        }
        const choice = await this.checkTarget(target);
        if (choice.kind === "none") {
            this.releaseRetry();
        }
        return choice;
    }

    /** Finds the next target that responds; an attempt at another one would use up one of the route's attempts. */
    private async checkTarget(first: CallTarget): Promise<BackupChoice> {
        const { context, functions } = this;
        let target: CallTarget | undefined = first;
        while (target !== undefined && !await this.isResponsive(target)) {
            context.unresponsiveUpstreams.add(target.upstreamId);
            target = this.isBackupNeeded() ? this.chooseUntried() : undefined;
        }
        if (target === undefined) {
            return { kind: "none", obstacle: "upstream" };
        }
        const check = await checkSend(context, { kind: "target", target }, functions);
        if (check === "send") {
            return { kind: "target", target };
        }
        const next = check === "choose-again" ? this.chooseUntried() : undefined;
        return next === undefined ? { kind: "none", obstacle: "permission" } : { kind: "target", target: next };
    }

    private async isResponsive(target: CallTarget): Promise<boolean> {
        const { isPathResponsive } = this.functions;
        return isPathResponsive === undefined
            || await Promise.race([isPathResponsive(target), waitMs(RESPONSE_CHECK_MS).then(() => false)]);
    }

    private releaseRetry(): void {
        const { context, functions } = this;
        functions.releaseRetry(context.admitted.service.name);
    }

    private findObstacle(): RetryObstacle | undefined {
        const { context, functions, open } = this;
        const { route } = context.admitted;
        const runs = new Set([...context.mayHaveRunOn, ...[...open].map(({ target }) => target.upstreamId)]);
        const obstacle = findRetryObstacle({
            isRepeatable: route.is_repeatable,
            executions: [...runs].filter((id) => !functions.hasEnded(id)).length,
            attempts: context.attempts,
            isStreamWaiting: this.hasStarted(),
            maxExecutions: route.most_attempts,
            remainingMs: context.remainingMs,
            hasAlternative: true,
        });
        return obstacle ?? (functions.hasOtherPath(context) ? undefined : "upstream");
    }

    private chooseUntried(): CallTarget | undefined {
        const { context, functions, relay } = this;
        context.hasSilentAttempt = true;
        const choice = functions.chooseTarget(context, relay?.lastEventId, this.hasStarted());
        context.hasSilentAttempt = false;
        const isUntried = choice.kind === "target" && !context.attemptedUpstreams.has(choice.target.upstreamId)
            && !context.unresponsiveUpstreams.has(choice.target.upstreamId);
        return isUntried ? choice.target : undefined;
    }

    private get isCertain(): boolean {
        return [...this.open].every(({ silence }) => silence === undefined || isCertain(silence));
    }

    /** A silent upstream may have crashed; the request must not be sent to others without this being counted. */
    private recordBackup(): void {
        const { context, functions } = this;
        this.open.forEach((attempt) => {
            const { target, silence, output } = attempt;
            const faultyId = this.findFaultyId(attempt);
            const passed = target.stages?.map(({ engine }) => engine.id) ?? [target.upstreamId];
            const upstreams = faultyId === undefined ? passed : [faultyId];
            functions.crashes.recordUnanswered(context, { upstreams, ...output });
            if (silence?.kind === "late") {
                functions.suspect(target.upstreamId, formatSilence(silence));
            }
        });
        functions.record("backup-attempt", this.describe());
    }

    private logObstacle(obstacle: RetryObstacle): void {
        if (obstacle !== this.loggedObstacle) {
            this.loggedObstacle = obstacle;
            this.functions.record("attempt-silent", { ...this.describe(), obstacle });
        }
    }

    private describe(): Readonly<Record<string, string | number>> {
        const { context, open } = this;
        return {
            request: context.admitted.call.requestId,
            peer: [...open].map(({ target }) => target.upstreamId).join(","),
            reason: [...open].flatMap(({ silence }) => silence === undefined ? [] : formatSilence(silence)).join("; "),
            tries: context.attempts,
            left_ms: Math.round(context.remainingMs),
        };
    }
}

/** Whether the silence is more than that of a few streams, which may be waiting for lost packets, or a late report. */
function isCertain(silence: Silence): boolean {
    return silence.kind === "path" || silence.kind === "no-report" ? silence.isCertain : true;
}

function formatSilence(silence: Silence): string {
    const ms = String(Math.round(silence.silentMs));
    switch (silence.kind) {
        case "path":
            return `path silent for ${ms} ms`;
        case "stalled":
            return `stalled, silent for ${ms} ms`;
        case "no-report":
            return `no report, silent for ${ms} ms`;
        case "late":
            return `no response for ${ms} ms`;
    }
}
