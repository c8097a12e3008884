import type { LogEntry, ReplicaAddress, ReplicaMessage, ReplicaMessageOf, ReplicaSet } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createLogStorage, Replica, type ReplicaEvent } from "../src/index.js";
import { MemoryFolder } from "./memoryFolder.js";
import type { InstalledClock } from "./simulation.js";

const timing = { heartbeatMs: 50, minElectionTimeoutMs: 300 };
const createAddress = (id: string): ReplicaAddress => ({ id, address: id });
const [self, left, right, learner] = ["self", "left", "right", "learner"].map(createAddress) as [
    ReplicaAddress,
    ReplicaAddress,
    ReplicaAddress,
    ReplicaAddress,
];
const replicas: ReplicaSet = { voters: [self, left, right], learners: [learner] };

/** A replica whose peers are scripted by the test. */
class ScriptedPeers {
    readonly sent: { readonly to: string; readonly message: ReplicaMessage; }[] = [];
    readonly applied: unknown[] = [];
    readonly events: ReplicaEvent[] = [];
    replica!: Replica;
    /** When the replica's machine last resumed. */
    lastResumeMs = Number.NEGATIVE_INFINITY;
    private folder = new MemoryFolder();

    constructor(private readonly clock: InstalledClock) {}

    async start(
        entries: readonly LogEntry[] = [],
        set: ReplicaSet = replicas,
        snapshotThreshold: number = 1_000,
        hardState: { readonly term: number; readonly voted_for?: string; } = { term: 0 },
    ): Promise<void> {
        this.folder = new MemoryFolder();
        const storage = createLogStorage(this.folder.open());
        await storage.read();
        const first: LogEntry = { index: 1, term: 0, payload: { kind: "replicas", replicas: set } };
        await storage.write([{ kind: "append", entries: [first, ...entries] }, {
            kind: "hard-state",
            state: hardState,
        }]);
        await this.open(snapshotThreshold);
    }

    /** Starts again from what is on disk. */
    async restart(): Promise<void> {
        this.replica.stop();
        await this.open(1_000);
    }

    private async open(snapshotThreshold: number): Promise<void> {
        this.replica = await Replica.start({
            self,
            timing,
            storage: createLogStorage(this.folder.open()),
            snapshotThreshold,
            functions: {
                send: (to, message) => this.sent.push({ to: to.id, message }),
                random: () => 0,
                applyCommand: (command) => this.applied.push(command),
                getState: () => [...this.applied],
                restoreState: () => undefined,
                handleEvent: (event) => this.events.push(event),
                clock: { getNowMs: () => performance.now(), getLastResumeMs: () => this.lastResumeMs },
            },
        });
    }

    /** Waits past the election timeout and grants the pre-vote and the vote. */
    async elect(): Promise<void> {
        await this.clock.tickAsync(timing.minElectionTimeoutMs + timing.heartbeatMs);
        this.replica.receive(left, {
            kind: "pre-vote-answer",
            term: this.term + 1,
            is_granted: true,
            round_ms: this.find("pre-vote", left.id)?.round_ms ?? 0,
        });
        await this.clock.tickAsync(1);
        this.replica.receive(left, { kind: "vote-answer", term: this.term, is_granted: true });
        await this.clock.tickAsync(1);
    }

    answerAppend(from: ReplicaAddress, match_index: number): void {
        const sent_ms = performance.now();
        this.replica.receive(from, { kind: "append-answer", term: this.term, is_accepted: true, match_index, sent_ms });
    }

    get term(): number {
        return this.replica.getStatus().term;
    }

    find<Kind extends ReplicaMessage["kind"]>(kind: Kind, to: string): ReplicaMessageOf<Kind> | undefined {
        const found = this.sent.findLast((sent) => sent.message.kind === kind && sent.to === to);
        return found?.message as ReplicaMessageOf<Kind> | undefined;
    }
}

describe("a replica", () => {
    let clock: InstalledClock;
    let peers: ScriptedPeers;

    beforeEach(() => {
        clock = FakeTimers.install({
            toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
        });
        peers = new ScriptedPeers(clock);
    });

    afterEach(() => {
        peers.replica.stop();
        clock.uninstall();
    });

    it("commits an entry of an earlier term only together with one of its own (Raft, figure 8)", async () => {
        await peers.start([{ index: 2, term: 0, payload: { kind: "command", command: "old" } }]);
        await peers.elect();
        peers.answerAppend(left, 2);
        expect(peers.replica.getStatus().commitIndex).to.equal(0);
        peers.answerAppend(left, 3);
        expect([peers.replica.getStatus().commitIndex, peers.applied]).to.deep.equal([3, ["old"]]);
    });

    describe("counts votes that arrive after its election has timed out, until the term ends", () => {
        const answerVote = (term: number): void => {
            for (const voter of [left, right]) {
                peers.replica.receive(voter, { kind: "vote-answer", term, is_granted: true });
            }
        };
        const campaign = async (): Promise<void> => {
            await clock.tickAsync(timing.minElectionTimeoutMs + timing.heartbeatMs);
            const round_ms = peers.find("pre-vote", left.id)?.round_ms ?? 0;
            const term = peers.term + 1;
            peers.replica.receive(left, { kind: "pre-vote-answer", term, is_granted: true, round_ms });
            await clock.tickAsync(1);
        };

        it("of the election before the current pre-vote", async () => {
            await peers.start();
            await campaign();
            await clock.tickAsync(timing.minElectionTimeoutMs * 2);
            expect(peers.replica.getStatus().role).to.equal("pre-candidate");
            answerVote(1);
            expect(peers.replica.getStatus()).to.include({ role: "leader", term: 1 });
        });

        it("but not in a newer term", async () => {
            await peers.start();
            await campaign();
            peers.replica.receive(left, { kind: "vote-answer", term: 2, is_granted: false });
            await clock.tickAsync(timing.minElectionTimeoutMs * 3);
            answerVote(1);
            expect(peers.replica.getStatus().role).to.equal("pre-candidate");
        });

        // It may have led in that term, and have lost entries of it that others still have.
        it("but not of an election before it restarted", async () => {
            await peers.start([], replicas, 1_000, { term: 1, voted_for: self.id });
            await clock.tickAsync(timing.minElectionTimeoutMs);
            expect(peers.replica.getStatus()).to.include({ role: "pre-candidate", term: 1 });
            answerVote(1);
            expect(peers.replica.getStatus().role).to.equal("pre-candidate");
        });

        it("but not of a term in which it has led already", async () => {
            await peers.start();
            await peers.elect();
            await clock.tickAsync(timing.minElectionTimeoutMs * 4);
            expect(peers.replica.getStatus()).to.include({ role: "pre-candidate", term: 1 });
            answerVote(1);
            expect(peers.replica.getStatus().role).to.equal("pre-candidate");
        });
    });

    const refusals = [
        { title: "of a message sent after the acknowledgement", sentAfterMs: 1, isResent: true },
        { title: "of an earlier message, which arrives late", sentAfterMs: -1, isResent: false },
    ];
    for (const { title, sentAfterMs, isResent } of refusals) {
        it(`does not count entries that a follower has lost: a refusal ${title}`, async () => {
            const command = (index: number): LogEntry => ({
                index,
                term: 0,
                payload: { kind: "command", command: index },
            });
            await peers.start([command(2), command(3), command(4)]);
            await peers.elect();
            peers.answerAppend(left, 5);
            const acknowledgedMs = performance.now();
            await clock.tickAsync(timing.heartbeatMs);
            peers.replica.receive(left, {
                kind: "append-answer",
                term: peers.term,
                is_accepted: false,
                match_index: 2,
                sent_ms: acknowledgedMs + sentAfterMs,
            });
            await clock.tickAsync(timing.heartbeatMs);
            const sent = peers.sent.flatMap(({ to, message }) =>
                to === left.id && message.kind === "append" ? [[message.previous_index, message.entries.length]] : []
            );
            expect(sent.at(-2)).to.deep.equal(isResent ? [2, 3] : [5, 0]);
            const lost = peers.events.filter((event) => event.kind === "acknowledged-entries-lost");
            expect(lost).to.have.length(isResent ? 1 : 0);
            // Only the other follower can complete the quorum now.
            void peers.replica.propose("new");
            await clock.tickAsync(1);
            peers.answerAppend(right, 6);
            expect(peers.replica.getStatus().commitIndex).to.equal(6);
        });
    }

    it("has no lease when it continues after a freeze, even before any of its timers has run", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        expect(peers.replica.hasLeaderLease()).to.equal(true);
        const now = performance.now();
        const restoreClock = stubMonotonicClock(() => now + timing.minElectionTimeoutMs);
        expect(peers.replica.hasLeaderLease()).to.equal(false);
        restoreClock();
    });

    it("has no lease after a suspension until a quorum answers a message sent after the resume", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        const beforeMs = performance.now();
        await clock.tickAsync(1);
        // The monotonic clock did not advance during the suspension.
        peers.lastResumeMs = performance.now();
        expect(peers.replica.hasLeaderLease()).to.equal(false);
        const { term } = peers;
        peers.replica.receive(left, {
            kind: "append-answer",
            term,
            is_accepted: true,
            match_index: 2,
            sent_ms: beforeMs,
        });
        expect(peers.replica.hasLeaderLease()).to.equal(false);
        peers.answerAppend(left, 2);
        expect(peers.replica.hasLeaderLease()).to.equal(true);
    });

    for (const aheadMs of [1, 10_000, 1e300]) {
        it(`has no lease by an answer to a message that it has not sent yet, ${String(aheadMs)} ms ahead`, async () => {
            await peers.start();
            await peers.elect();
            peers.answerAppend(left, 2);
            const { leaseRemainingMs } = peers.replica.getStatus();
            peers.replica.receive(left, {
                kind: "append-answer",
                term: peers.term,
                is_accepted: true,
                match_index: 2,
                sent_ms: performance.now() + aheadMs,
            });
            expect(peers.replica.getStatus().leaseRemainingMs).to.equal(leaseRemainingMs);
            await clock.tickAsync(timing.minElectionTimeoutMs + timing.heartbeatMs);
            expect(peers.replica.getStatus().role).to.not.equal("leader");
        });
    }

    it("has no lease before it has committed an entry of its own term", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 1);
        expect(peers.replica.hasLeaderLease()).to.equal(false);
    });

    it("steps down when no quorum answers for the minimum election timeout", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        await clock.tickAsync(timing.minElectionTimeoutMs + timing.heartbeatMs);
        expect(peers.replica.getStatus().role).to.not.equal("leader");
    });

    it("reports the outcome of a proposal as unknown when it loses leadership before the commit", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        const proposed = peers.replica.propose("lost?");
        await clock.tickAsync(timing.minElectionTimeoutMs + timing.heartbeatMs);
        expect(await proposed).to.deep.equal({ kind: "unknown" });
    });

    // Guards against resending entries with each heartbeat that a follower answers while they are still in transit. On
    // a saturated link each follower received eight times the size of a change.
    const resendRows = [
        { title: "answers heartbeats while the entries are in transit", isAnswering: false, least: 2, most: 3 },
        { title: "answers the entries", isAnswering: true, least: 1, most: 1 },
    ];
    for (const { title, isAnswering, least, most } of resendRows) {
        it(`resends only unanswered entries, and not with each heartbeat, to a follower that ${title}`, async () => {
            await peers.start();
            await peers.elect();
            peers.answerAppend(left, 2);
            peers.answerAppend(right, 2);
            void peers.replica.propose("large");
            for (let heartbeat = 0; heartbeat < 10; heartbeat += 1) {
                peers.answerAppend(left, isAnswering ? 3 : 2);
                await clock.tickAsync(timing.heartbeatMs);
            }
            const copies = peers.sent.filter(({ to, message }) =>
                to === left.id && message.kind === "append" && message.entries.some((entry) => entry.index === 3)
            );
            expect(copies.length).to.be.within(least, most);
        });
    }

    // A follower that heard nothing for an election timeout while its snapshot was in transit started elections.
    it("sends heartbeats to a follower whose snapshot is in transit, and no more snapshots for their answers", async () => {
        const heartbeats = 8;
        await peers.start([], replicas, 5);
        await peers.elect();
        for (let index = 2; index <= 8; index += 1) {
            void peers.replica.propose(`entry ${String(index)}`);
            await clock.tickAsync(1);
            peers.answerAppend(left, index);
            await clock.tickAsync(1);
        }
        peers.answerAppend(right, 1);
        await clock.tickAsync(4 * timing.heartbeatMs);
        peers.sent.length = 0;
        for (let heartbeat = 0; heartbeat < heartbeats; heartbeat += 1) {
            peers.answerAppend(left, 9);
            // It has received the heartbeat, and not yet the snapshot.
            peers.answerAppend(right, 1);
            await clock.tickAsync(timing.heartbeatMs);
        }
        const kinds = peers.sent.filter(({ to }) => to === right.id).map(({ message }) => message.kind);
        expect(kinds.length).to.be.at.least(heartbeats);
        expect(kinds.filter((kind) => kind === "snapshot").length).to.be.at.most(2);
    });

    it("bounds the size of a message as well as its number of entries", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        peers.answerAppend(right, 2);
        const proposals = Array.from({ length: 20 }, () => peers.replica.propose("x".repeat(300_000)));
        await clock.tickAsync(timing.heartbeatMs);
        for (let heartbeat = 0; heartbeat < 20; heartbeat += 1) {
            const sent = peers.sent.findLast(({ to, message }) =>
                to === left.id && message.kind === "append" && message.entries.length > 0
            )?.message as ReplicaMessageOf<"append">;
            peers.replica.receive(left, {
                kind: "append-answer",
                term: peers.term,
                is_accepted: true,
                match_index: sent.previous_index + sent.entries.length,
                sent_ms: sent.sent_ms,
            });
            await clock.tickAsync(timing.heartbeatMs);
        }
        const sizes = peers.sent.filter(({ to }) => to === left.id).map(({ message }) =>
            JSON.stringify(message).length
        );
        expect(Math.max(...sizes)).to.be.below(1_500_000);
        expect((await Promise.all(proposals)).map((result) => result.kind)).to.deep.equal(
            proposals.map(() => "applied"),
        );
    });

    const restartReportRows = [
        {
            title: "all voters answered, one of them replaced",
            ages: [200, 200],
            isUpToDate: [true, false],
            votes: ["a"],
        },
        { title: "one voter has heard a leader", ages: [200, undefined], isUpToDate: [true, true], votes: [] },
        { title: "one voter started after the pre-vote", ages: [200, 0], isUpToDate: [true, true], votes: [] },
        { title: "no quorum considers this log up-to-date", ages: [200, 200], isUpToDate: [false, false], votes: [] },
    ] as const;
    for (const { title, ages, isUpToDate, votes } of restartReportRows) {
        it(`campaigns during the startup wait only if no lease can be held: ${title}`, async () => {
            await peers.start();
            await clock.tickAsync(timing.minElectionTimeoutMs / 2);
            const round_ms = peers.find("pre-vote", left.id)?.round_ms ?? 0;
            await clock.tickAsync(10);
            [left, right].forEach((from, index) => {
                const age_ms = ages[index];
                const incarnation = index === 0 ? "a" : "b";
                const report = { life: incarnation, age_ms: age_ms ?? 0, is_up_to_date: isUpToDate[index] ?? false };
                peers.replica.receive(from, {
                    kind: "pre-vote-answer",
                    term: 0,
                    is_granted: false,
                    round_ms,
                    ...(age_ms === undefined ? {} : { new_life: report }),
                });
            });
            await clock.tickAsync(1);
            const vote = peers.find("vote", left.id);
            expect(vote === undefined ? [] : [vote.life]).to.deep.equal(votes);
        });
    }

    it("grants no vote right after its start, since it may have answered a leader before the restart", async () => {
        await peers.start();
        peers.replica.receive(left, { kind: "vote", term: 9, last_index: 9, last_term: 9, is_transfer: false });
        await clock.tickAsync(10);
        expect([peers.find("vote-answer", "left"), peers.term]).to.deep.equal([undefined, 0]);
    });

    it("grants a vote for a leadership transfer even right after its start", async () => {
        await peers.start();
        peers.replica.receive(left, { kind: "vote", term: 9, last_index: 9, last_term: 9, is_transfer: true });
        await clock.tickAsync(10);
        expect(peers.find("vote-answer", "left")?.is_granted).to.equal(true);
    });

    const foreignTerms: readonly { readonly title: string; readonly message: ReplicaMessage; }[] = [
        { title: "a vote", message: { kind: "vote-answer", term: Number.MAX_SAFE_INTEGER, is_granted: false } },
        { title: "a transfer", message: { kind: "take-over", term: Number.MAX_SAFE_INTEGER } },
        {
            title: "an append",
            message: {
                kind: "append",
                term: 2 ** 48,
                previous_index: 0,
                previous_term: 0,
                entries: [],
                commit_index: 0,
                sent_ms: 0,
            },
        },
    ];
    for (const { title, message } of foreignTerms) {
        it(`keeps its term, and wins elections, after a message with a term that none has reached: ${title}`, async () => {
            await peers.start();
            peers.replica.receive(createAddress("unknown"), message);
            expect(peers.replica.getStatus().term).to.equal(0);
            await peers.elect();
            expect(peers.replica.getStatus()).to.include({ role: "leader", term: 1 });
        });
    }

    const far = Number.MAX_SAFE_INTEGER - 8;
    const createAppend = (changes: Partial<ReplicaMessageOf<"append">>): ReplicaMessage => ({
        kind: "append",
        term: 1,
        previous_index: 1,
        previous_term: 0,
        entries: [],
        commit_index: 0,
        sent_ms: 0,
        ...changes,
    });
    const createNone = (index: number, term = 1): LogEntry => ({ index, term, payload: { kind: "none" } });
    const createSnapshot = (index: number, term: number): ReplicaMessage => ({
        kind: "snapshot",
        term: 1,
        snapshot: { index, term, replicas, state: [] },
        sent_ms: 0,
    });
    const createVote = (last_index: number, last_term: number): ReplicaMessage => ({
        kind: "vote",
        term: 1,
        last_index,
        last_term,
        is_transfer: true,
    });
    const foreignPositions: readonly { readonly title: string; readonly message: ReplicaMessage; }[] = [
        { title: "a snapshot at a far index", message: createSnapshot(far, 1) },
        { title: "a snapshot at the shortest index that no log reaches", message: createSnapshot(2 ** 48 + 1, 1) },
        { title: "a snapshot of a term after the leader's", message: createSnapshot(5, far) },
        {
            title: "entries after a far index",
            message: createAppend({ previous_index: far, entries: [createNone(far + 1)] }),
        },
        { title: "a far entry after a known one", message: createAppend({ entries: [createNone(far)] }) },
        { title: "a gap between entries", message: createAppend({ entries: [createNone(2), createNone(4)] }) },
        { title: "an entry twice", message: createAppend({ entries: [createNone(2), createNone(2)] }) },
        { title: "an entry of a term after the leader's", message: createAppend({ entries: [createNone(2, far)] }) },
        { title: "a far commit index", message: createAppend({ commit_index: far }) },
        { title: "a negative previous index", message: createAppend({ previous_index: -1 }) },
        { title: "a far previous term", message: createAppend({ previous_term: far }) },
        { title: "a vote for a log with a far index", message: createVote(far, 1) },
        { title: "a vote for a log of a term after the candidate's", message: createVote(5, far) },
    ];
    for (const { title, message } of foreignPositions) {
        it(`keeps its state, and can restart and lead, after a message with a position that no log has reached: ${title}`, async () => {
            await peers.start();
            const before = peers.replica.getStatus();
            peers.replica.receive(createAddress("unknown"), message);
            await clock.tickAsync(1);
            expect(peers.replica.getStatus()).to.deep.equal(before);
            const ignored = { kind: "message-ignored", from: "unknown", message: message.kind, term: message.term };
            expect([peers.sent, peers.events]).to.deep.equal([[], [ignored]]);
            await peers.elect();
            expect(peers.replica.getStatus()).to.include({ role: "leader", term: 1, lastIndex: 2 });
            await peers.restart();
            expect(peers.replica.getStatus().lastIndex).to.equal(2);
        });
    }

    for (const match_index of [far, 2 ** 48, 4, -1]) {
        it(`counts no entries that a leader does not have as acknowledged: ${String(match_index)} of 3`, async () => {
            await peers.start();
            await peers.elect();
            peers.answerAppend(right, 2);
            void peers.replica.propose("command");
            peers.answerAppend(left, match_index);
            await clock.tickAsync(1);
            expect(peers.replica.getStatus()).to.include({ commitIndex: 2, lastIndex: 3 });
            peers.answerAppend(left, 2);
            await clock.tickAsync(timing.heartbeatMs * 4);
            expect(peers.find("append", left.id)).to.deep.include({ previous_index: 2 });
            peers.answerAppend(left, 3);
            expect(peers.replica.getStatus().commitIndex).to.equal(3);
        });
    }

    it("grants one vote per term", async () => {
        await peers.start();
        const message = { kind: "vote" as const, term: 9, last_index: 9, last_term: 9, is_transfer: true };
        peers.replica.receive(left, message);
        peers.replica.receive(right, message);
        await clock.tickAsync(10);
        expect(peers.find("vote-answer", "right")?.is_granted).to.equal(false);
    });

    it("does not campaign unless it is a voter", async () => {
        await peers.start([], { voters: [left, right], learners: [self] });
        await clock.tickAsync(timing.minElectionTimeoutMs * 10);
        expect(peers.sent).to.deep.equal([]);
    });

    it("does not campaign with an empty log, as after a disk loss", async () => {
        await peers.start([], { voters: [], learners: [] });
        await clock.tickAsync(timing.minElectionTimeoutMs * 10);
        expect(peers.sent).to.deep.equal([]);
    });

    const changes: readonly { readonly title: string; readonly next: ReplicaSet; readonly kind: string; }[] = [
        {
            title: "two voters at once",
            next: { voters: [self], learners: [learner] },
            kind: "more-than-one-voter-differs",
        },
        { title: "no voter left", next: { voters: [], learners: [] }, kind: "no-voter-left" },
        {
            title: "a new voter that is not a learner",
            next: { ...replicas, voters: [...replicas.voters, createAddress("stranger")] },
            kind: "not-a-learner",
        },
    ];
    for (const { title, next, kind } of changes) {
        it(`refuses an unsafe change of the replica set: ${title}`, async () => {
            await peers.start();
            await peers.elect();
            peers.answerAppend(left, 2);
            expect(await peers.replica.changeReplicas(next)).to.deep.equal({ kind: "refused", reason: kind });
        });
    }

    it("refuses a second change before the first is committed", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        void peers.replica.changeReplicas({ voters: [self, left], learners: [] });
        expect(await peers.replica.changeReplicas(replicas)).to.deep.equal({
            kind: "refused",
            reason: "another-change-is-open",
        });
    });

    it("gives up its lease before it transfers leadership", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        expect(peers.replica.transferLeadership()?.id).to.equal("left");
        expect(peers.replica.hasLeaderLease()).to.equal(false);
        expect((await peers.replica.propose("late")).kind).to.equal("not-leader");
    });

    it("sends a new commit index to its followers at once, not with the next heartbeat", async () => {
        await peers.start();
        await peers.elect();
        peers.answerAppend(left, 2);
        await clock.tickAsync(1);
        const proposed = peers.replica.propose("command");
        await clock.tickAsync(1);
        peers.answerAppend(left, 3);
        await clock.tickAsync(1);
        expect((await proposed).kind).to.equal("applied");
        expect(peers.find("append", right.id)?.commit_index).to.equal(3);
    });
});

/** Advances the monotonic clock without running timers, as seen by a process that was frozen. */
function stubMonotonicClock(now: () => number): () => void {
    const { performance } = globalThis;
    const original = performance.now.bind(performance);
    performance.now = now;
    return () => {
        performance.now = original;
    };
}
