/**
 * Merging of two reports about one instance, and the choice of members to gossip.
 */
import type { Member, MemberStatus } from "@crankfork/schemas";

/** Local record of another instance. */
export interface MemberRecord {
    readonly member: Member;
    /** When its status last changed locally, by the monotonic clock. */
    readonly statusSinceMs: number;
    /** How often it was sent since it last changed. */
    timesGossiped: number;
}

/** Members piggybacked on one message, besides the sender. */
const MAX_GOSSIPED_MEMBERS = 4;

/**
 * A report whose incarnation or revision is further ahead is ignored: one near the end of the range of integers would leave none to
 * refute it with. An instance begins with its Unix time in milliseconds, and its clock may have been set since its last start.
 */
const MAX_REPORT_LEAD = 2 ** 42;

/** Of two reports of one incarnation the higher rank prevails; leaving prevails over alive and suspect. */
const statusRanks: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/**
 * Checks whether an instance can have come as far as a report says.
 * @param known - what was known of it, if anything
 * @param heard - the received report
 * @returns false if the report must be ignored
 */
export function isPossibleReport(known: Member | undefined, heard: Member): boolean {
    return heard.incarnation - (known?.incarnation ?? 0) <= MAX_REPORT_LEAD
        && heard.revision - (known?.revision ?? 0) <= MAX_REPORT_LEAD;
}

/**
 * Merges a received report into the local record.
 * @param known - the local record, if any
 * @param heard - the received report
 * @param nowMs - the monotonic clock
 * @returns `known` itself if nothing changed
 */
export function mergeMember(known: MemberRecord | undefined, heard: Member, nowMs: number): MemberRecord {
    if (known === undefined) {
        return { member: heard, statusSinceMs: nowMs, timesGossiped: 0 };
    }
    const { member } = known;
    const hasNewerAttributes = heard.incarnation > member.incarnation
        || (heard.incarnation === member.incarnation && heard.revision > member.revision);
    const hasNewerStatus = heard.incarnation > member.incarnation
        || (heard.incarnation === member.incarnation && statusRanks[heard.status] > statusRanks[member.status]);
    if (!hasNewerAttributes && !hasNewerStatus) {
        return known;
    }
    const status = hasNewerStatus ? heard.status : member.status;
    const attributes = hasNewerAttributes ? heard : member;
    const statusSinceMs = status === member.status ? known.statusSinceMs : nowMs;
    const incarnation = Math.max(heard.incarnation, member.incarnation);
    return { member: { ...attributes, incarnation, status }, statusSinceMs, timesGossiped: 0 };
}

/**
 * Chooses the members to gossip: those that were sent least often since they changed.
 * @param records - all known members
 * @returns a bounded list; increments `timesGossiped` of the chosen records
 */
export function chooseGossip(records: Iterable<MemberRecord>): readonly Member[] {
    const chosen = [...records].sort((left, right) => left.timesGossiped - right.timesGossiped).slice(
        0,
        MAX_GOSSIPED_MEMBERS,
    );
    return chosen.map((record) => {
        record.timesGossiped += 1;
        return record.member;
    });
}
