/**
 * How two statements about one instance are joined, and which are passed on.
 */
import type { Member, MemberStatus } from "@crankfork/schemas";

/** What one instance knows of another. */
export interface MemberRecord {
    readonly member: Member;
    /** When its status last changed here, by the monotonic clock. */
    readonly statusSinceMs: number;
    /** How often it was passed on since it last changed. */
    passedOn: number;
}

/** Members on one message besides the sender. */
const MOST_GOSSIP = 4;

/** Of two statements of one incarnation the higher rank holds; leaving goes before alive and suspect. */
const statusRanks: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/**
 * Joins what is known with what was heard.
 * @param known - what is known, if anything
 * @param heard - what was heard
 * @param nowMs - the monotonic clock
 * @returns `known` itself where nothing changed
 */
export function mergeMember(known: MemberRecord | undefined, heard: Member, nowMs: number): MemberRecord {
    if (known === undefined) {
        return { member: heard, statusSinceMs: nowMs, passedOn: 0 };
    }
    const { member } = known;
    const hasNewerFacts = heard.incarnation > member.incarnation
        || (heard.incarnation === member.incarnation && heard.revision > member.revision);
    const hasNewerStatus = heard.incarnation > member.incarnation
        || (heard.incarnation === member.incarnation && statusRanks[heard.status] > statusRanks[member.status]);
    if (!hasNewerFacts && !hasNewerStatus) {
        return known;
    }
    const status = hasNewerStatus ? heard.status : member.status;
    const facts = hasNewerFacts ? heard : member;
    const statusSinceMs = status === member.status ? known.statusSinceMs : nowMs;
    const incarnation = Math.max(heard.incarnation, member.incarnation);
    return { member: { ...facts, incarnation, status }, statusSinceMs, passedOn: 0 };
}

/**
 * Chooses what to pass on: what was passed on least often.
 * @param records - all that is known
 * @returns a bounded list; the records' counts go up
 */
export function chooseGossip(records: Iterable<MemberRecord>): readonly Member[] {
    const chosen = [...records].sort((left, right) => left.passedOn - right.passedOn).slice(0, MOST_GOSSIP);
    return chosen.map((record) => {
        record.passedOn += 1;
        return record.member;
    });
}
